"""Closes usage windows at the leader. Performs no I/O; the caller commits the commands."""

from __future__ import annotations

from collections.abc import Callable

from stileloom.ledger.commands import CloseUsageWindow
from stileloom.metering.book import UsageRegistry
from stileloom.metering.collector import UsageCollector
from stileloom.metering.window_clock import WindowClock


class UsageAuthority:
    """The usage windows of one leadership."""

    def __init__(
        self,
        registry: Callable[[], UsageRegistry],
        clock: WindowClock,
        window_s: float,
        report_due_s: float,
        started_at: float,
    ) -> None:
        self.collector = UsageCollector(started_at)
        self._registry = registry
        self._clock = clock
        self._window_s = window_s
        self._report_due_s = report_due_s

    @property
    def closed_before(self) -> int:
        """Windows below this one are closed."""
        return self._registry().closed_before

    def next_close(self, now: float) -> CloseUsageWindow | None:
        """The command that closes the earliest open window, or None if none is due.

        Windows without requests are closed too, except before the first request of all.
        """
        registry = self._registry()
        self.collector.remove_before(registry.closed_before)
        window = registry.closed_before or self._first_window(registry)
        if window is None:
            return None
        after_end_s = self._clock.seconds_into(window, now) - self._window_s
        if not self.collector.is_due(after_end_s, self._report_due_s, now):
            return None
        committed = registry.final_totals.get(window, {})
        return CloseUsageWindow(window, self.collector.counts(window, committed))

    def _first_window(self, registry: UsageRegistry) -> int | None:
        known = (self.collector.first_window(), registry.first_open_window())
        return min((window for window in known if window is not None), default=None)
