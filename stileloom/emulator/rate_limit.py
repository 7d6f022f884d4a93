"""Rate limit of the weight store."""

from __future__ import annotations


class RateLimit:
    """A FIFO queue of transfers with a fixed total rate."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._idle_at = 0.0

    def finished_at(self, now: float, size_bytes: int) -> float:
        """Queues a transfer and returns the time at which it finishes."""
        self._idle_at = max(now, self._idle_at) + size_bytes / self._bytes_per_s
        return self._idle_at
