"""Batch jobs: replicated registry, scheduling, item runs and weight loads."""
