"""Limits on objects that other writers put into the object store.

An object beyond them is read as one without content, so that it replaces what its name stood for
and costs no other object.
"""

from __future__ import annotations

from typing import Any

MAX_OBJECT_BYTES = 4 * 1024 * 1024
"""Stores keep objects of about 1 MiB at most; their encoding may add to that."""
MAX_OBJECT_DEPTH = 32
MAX_LISTED_OBJECTS = 50_000
"""Objects of one kind; the others are ignored. Far more than a deployment has samplers."""
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
"""Integers beyond 64 bits cannot be passed on to other nodes."""


def has_unsupported_integer(value: Any) -> bool:
    """Whether a plain value contains an integer of more than 64 bits."""
    pending = [value]
    while pending:
        current = pending.pop()
        if isinstance(current, dict):
            pending += current.values()
        elif isinstance(current, list):
            pending += current
        elif isinstance(current, int) and not MIN_INTEGER <= current <= MAX_INTEGER:
            return True
    return False
