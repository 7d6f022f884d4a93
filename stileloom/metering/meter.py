"""Counts the requests that samplers begin for the callers of a gateway."""

from __future__ import annotations

import time
from collections.abc import Callable

from stileloom.clock import steady_time
from stileloom.events import LogEvent
from stileloom.logging import EventLog
from stileloom.metering.tally import UsageTally
from stileloom.metering.window_clock import WindowClock


class UsageMeter:
    """The tally of a gateway, fed with moments of the steady clock."""

    def __init__(
        self, window_s: float, log: EventLog, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self.tally = UsageTally()
        self._clock = WindowClock(window_s)
        self._wall_clock = wall_clock
        self._log = log
        self.observe_clock()

    def observe_clock(self) -> None:
        """Compares the time of day with the steady clock."""
        self._clock.observe(steady_time(), self._wall_clock())

    def count(self, tenant: str, began_at: float) -> None:
        """Counts a request that a sampler began at a moment of the steady clock."""
        if not tenant:
            return
        window = self._clock.window_at(began_at)
        if not self.tally.count(tenant, window):
            self._log.emit(LogEvent.USAGE_DROPPED, {"tenant": tenant, "window": window})
