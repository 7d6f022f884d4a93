"""Batch jobs: replicated record, scheduling, runs of items, loads of weight versions."""
