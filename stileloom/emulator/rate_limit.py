"""The weight store's rate limit."""

from __future__ import annotations


class RateLimit:
    """First come, first served at a total rate."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def finished_at(self, now: float, size_bytes: int) -> float:
        """When a transfer that is asked for now ends."""
        self._free_at = max(now, self._free_at) + size_bytes / self._bytes_per_s
        return self._free_at
