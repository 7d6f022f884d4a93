"""Tenants of a configuration and their API keys."""

from __future__ import annotations

import msgspec


class Tenant(msgspec.Struct, frozen=True):
    """A tenant; its API keys are known by their digests only."""

    name: str
    key_digests: list[bytes]
    """SHA-256 of each API key."""
    priority: int | None = None
    """Takes precedence over the priority of the route; None if the tenant has none."""


ANONYMOUS = ""
"""The tenant of requests that need no key."""
