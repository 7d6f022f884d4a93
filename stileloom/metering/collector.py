"""Totals of all gateways at the leader, and when a window is closed. No I/O, no clock."""

from __future__ import annotations

from stileloom.metering.messages import WindowCounts

CLOSE_DELAY_FRACTION = 0.45
"""A window is closed after this share of the time in which its report is due.

Before that, requests that began late in the window are still counted and gateways that lost the
leader repeat their totals. The rest is for the commit, and for repeated calls to the service.
"""
FIRST_CLOSE_DELAY_S = 2.5
"""A new leader waits this long for the totals of all gateways, which report every second."""


class UsageCollector:
    """Totals received by one leader."""

    def __init__(self, started_at: float) -> None:
        self._may_close_at = started_at + FIRST_CLOSE_DELAY_S
        self._totals: dict[int, dict[str, dict[str, int]]] = {}
        """By window, source and tenant."""

    def add(self, source: str, totals: WindowCounts) -> None:
        """Merges the totals of a gateway process."""
        for window, counts in totals.items():
            merge_totals(self._totals.setdefault(window, {}), source, counts)

    def remove_before(self, window: int) -> None:
        """Drops closed windows."""
        for closed in [known for known in self._totals if known < window]:
            del self._totals[closed]

    def first_window(self) -> int | None:
        """The earliest window with a count."""
        return min(self._totals, default=None)

    def counts(self, window: int, committed: dict[str, dict[str, int]]) -> dict[str, int]:
        """Requests by tenant in a window, of received and of committed totals."""
        sources = {source: dict(counts) for source, counts in committed.items()}
        for source, counts in self._totals.get(window, {}).items():
            merge_totals(sources, source, counts)
        summed: dict[str, int] = {}
        for counts in sources.values():
            for tenant, count in counts.items():
                summed[tenant] = summed.get(tenant, 0) + count
        return dict(sorted(summed.items()))

    def is_due(self, seconds_after_end: float, report_due_s: float, now: float) -> bool:
        """Whether a window is closed now, that long after its end."""
        return now >= self._may_close_at and seconds_after_end >= (
            report_due_s * CLOSE_DELAY_FRACTION
        )


def merge_totals(by_source: dict[str, dict[str, int]], source: str, counts: dict[str, int]) -> None:
    """Raises the totals of a source to those given; totals never decrease."""
    known = by_source.setdefault(source, {})
    for tenant, count in counts.items():
        known[tenant] = max(known.get(tenant, 0), count)
