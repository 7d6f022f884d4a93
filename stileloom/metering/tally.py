"""Counts of one gateway process. Performs no I/O and reads no clock."""

from __future__ import annotations

from stileloom.metering.messages import WindowCounts

MAX_WINDOWS = 720
"""Bounds memory while no leader closes windows; the oldest windows are dropped."""


class UsageTally:
    """Requests that samplers began for callers of this process, by window and tenant."""

    def __init__(self) -> None:
        self.dropped = 0
        """Requests that are missing from all reports."""
        self._totals: WindowCounts = {}
        self._closed_before = 0

    def count(self, tenant: str, window: int) -> bool:
        """Counts a request; returns False if its window is already closed."""
        if window < self._closed_before:
            self.dropped += 1
            return False
        counts = self._totals.setdefault(window, {})
        counts[tenant] = counts.get(tenant, 0) + 1
        if len(self._totals) > MAX_WINDOWS:
            self.dropped += sum(self._totals.pop(min(self._totals)).values())
        return True

    def totals(self) -> WindowCounts:
        """All windows that are not known to be closed."""
        return {window: dict(counts) for window, counts in self._totals.items()}

    def close_before(self, window: int) -> None:
        """Drops the windows below one, which the leader has closed."""
        self._closed_before = max(self._closed_before, window)
        for closed in [known for known in self._totals if known < self._closed_before]:
            del self._totals[closed]
