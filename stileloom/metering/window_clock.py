"""Estimates true time from a machine's time of day, which may jump. Performs no I/O."""

from __future__ import annotations

import collections

HISTORY_S = 60.0
"""A jump is ignored until the time of day has kept it for half of this time."""
SAMPLE_INTERVAL_S = 1.0
MAX_SAMPLES = int(HISTORY_S / SAMPLE_INTERVAL_S)


class WindowClock:
    """True time as the steady clock plus the median of recent offsets of the time of day."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._offsets: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        self._next_sample_at = float("-inf")

    def observe(self, steady_s: float, time_of_day_s: float) -> None:
        """Records the time of day at a moment of the steady clock."""
        if steady_s >= self._next_sample_at:
            self._next_sample_at = steady_s + SAMPLE_INTERVAL_S
            self._offsets.append(time_of_day_s - steady_s)

    def true_time(self, steady_s: float) -> float:
        """Estimated Unix time at a moment of the steady clock; needs an earlier `observe`."""
        offsets = sorted(self._offsets)
        return steady_s + offsets[len(offsets) // 2]

    def window_at(self, steady_s: float) -> int:
        """Number of the window that contains a moment of the steady clock."""
        return int(self.true_time(steady_s) // self._window_s)

    def seconds_into(self, window: int, steady_s: float) -> float:
        """Seconds from the start of a window; negative before it."""
        return self.true_time(steady_s) - window * self._window_s
