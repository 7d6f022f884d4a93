"""Tenants: credentials of callers, and which tenant holds an API key. Performs no I/O."""
