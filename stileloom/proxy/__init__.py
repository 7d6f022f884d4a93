"""Opaque HTTP lookups: routes, choice of samplers, attempts."""
