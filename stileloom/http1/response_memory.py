"""Memory of the responses that a process is receiving. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable

from stileloom.http1.limits import MAX_RESPONSE_BYTES

MEMORY_SHARE = 0.125
"""Of a process's memory, for responses in progress. A complete one is copied twice on its way to
the caller, and requests and the state of the process need the rest."""
BYTES_PER_MEGABYTE = 1_000_000


class ResponseMemory:
    """Limits the total size of responses in progress by cutting off the largest one.

    Many endless responses at once would exceed the memory of the process, although each is limited.
    """

    def __init__(self, max_bytes: float = float("inf")) -> None:
        self._max_bytes = max_bytes
        self._total = 0
        self._sizes: dict[Callable[[], None], int] = {}

    @classmethod
    def of_process(cls, memory_mb: float) -> ResponseMemory:
        """The share of a process's memory in megabytes, at least the largest response.

        0 means that the limit of the process is not known.
        """
        if not memory_mb:
            return cls()
        return cls(max(MAX_RESPONSE_BYTES, memory_mb * BYTES_PER_MEGABYTE * MEMORY_SHARE))

    def grow(self, cut: Callable[[], None], count: int) -> None:
        """Counts bytes of the response that `cut` ends; may call `cut` of this or another one."""
        self._sizes[cut] = self._sizes.get(cut, 0) + count
        self._total += count
        if self._total > self._max_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.release(largest)
            largest()

    def release(self, cut: Callable[[], None]) -> None:
        """Stops counting a response that has ended."""
        self._total -= self._sizes.pop(cut, 0)
