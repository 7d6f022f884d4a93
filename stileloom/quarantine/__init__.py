"""Quarantines requests that repeatedly crash the samplers that run them.

A request is recognized by its identity, a digest of its content: retries carry new request ids and
may arrive at any gateway.
"""
