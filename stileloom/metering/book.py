"""Replicated record of usage. Deterministic: it reads no clock."""

from __future__ import annotations

import msgspec

from stileloom.metering.collector import merge_totals
from stileloom.metering.messages import WindowCounts

MAX_UNSENT_WINDOWS = 20_000
"""Bounds the state while the accounting service cannot be reached; the oldest are dropped."""


class UsageRegistry(msgspec.Struct):
    """Closed windows that are not reported yet, and totals of gateways that have ended."""

    closed_before: int = 0
    """Windows below this one are closed: their counts never change. 0 before the first."""
    unsent: WindowCounts = msgspec.field(default_factory=dict)
    """Closed windows that the accounting service has not acknowledged, oldest first."""
    final_totals: dict[int, dict[str, dict[str, int]]] = msgspec.field(default_factory=dict)
    """Totals of ended processes for open windows, by window, source and tenant."""

    def record(self, source: str, totals: WindowCounts) -> None:
        """Records the totals of a process that is about to end."""
        for window, counts in totals.items():
            if window >= self.closed_before:
                merge_totals(self.final_totals.setdefault(window, {}), source, counts)

    def close(self, window: int, counts: dict[str, int]) -> bool:
        """Closes a window; returns False if it was closed before, with the earlier counts."""
        if window < self.closed_before:
            return False
        self.closed_before = window + 1
        self.unsent[window] = counts
        if len(self.unsent) > MAX_UNSENT_WINDOWS:
            del self.unsent[next(iter(self.unsent))]
        for closed in [known for known in self.final_totals if known <= window]:
            del self.final_totals[closed]
        return True

    def mark_sent(self, window: int) -> None:
        """Drops a window that the accounting service has acknowledged."""
        self.unsent.pop(window, None)

    def first_open_window(self) -> int | None:
        """The earliest open window with totals of an ended process."""
        return min(self.final_totals, default=None)
