"""The speed of a sampler as measured over seconds. Performs no I/O and reads no clock.

Answers a load in which samplers differ steadily in speed and each is also disturbed by others on
its machine for periods of about 0.6 s. An average over a few events follows the disturbances, so
that items are sent to, and runs moved between, samplers whose order has changed a moment later.
"""

from __future__ import annotations

import math
from statistics import median_low

from stileloom.jobs.open_items import INITIAL_INTERVAL_S

WINDOW_S = 0.6
WINDOWS = 5
"""The speed is measured over 3 s."""
MIN_CHANGE = 0.2
"""Relative difference from which a speed may replace the rated one."""


class SamplerSpeed:
    """The rated event interval of a sampler.

    The measured interval is the median of the windows' medians. It replaces the rated one once it
    and the window's own median have differed from it by `MIN_CHANGE` to the same side in two
    consecutive windows. Until the first two
    consecutive windows are complete, the rated interval follows each gap. Medians of an even count
    are the lower of the two middle values, because disturbances only lengthen gaps.
    """

    def __init__(self, initial_s: float = INITIAL_INTERVAL_S) -> None:
        """`initial_s` is used until the first gap."""
        self._rated_s = initial_s
        self._is_rated = False
        self._medians: dict[int, float] = {}
        """Median gap by window, of the last windows that had gaps."""
        self._window = 0
        self._gaps: list[float] = []
        """Gaps of the current window."""
        self._deviation = 0
        """Side to which the interval of the previous window differed, 0 if it did not."""

    def record_gap(self, gap_s: float, now: float) -> None:
        """Records the time between two events of a run, of which the second arrived at `now`."""
        window = math.floor(now / WINDOW_S)
        if window != self._window:
            self._close_window()
            self._window = window
        self._gaps.append(gap_s)
        if not self._is_rated:
            self._rated_s = median_low([*self._medians.values(), median_low(self._gaps)])

    def interval_s(self) -> float:
        """Returns the rated time between two events of a run."""
        return self._rated_s

    def _close_window(self) -> None:
        if not self._gaps:
            return
        window = self._window
        is_consecutive = window - 1 in self._medians
        oldest = window - WINDOWS + 1
        self._medians = {number: gap for number, gap in self._medians.items() if number >= oldest}
        self._medians[window] = median_low(self._gaps)
        self._gaps = []
        interval_s = median_low(self._medians.values())
        if not self._is_rated:
            self._is_rated = is_consecutive
            self._rated_s = interval_s
            return
        deviation = self._side(interval_s)
        if deviation != self._side(self._medians[window]):
            # Disturbances of earlier windows are still in the median of all.
            deviation = 0
        if deviation and is_consecutive and deviation == self._deviation:
            self._rated_s = interval_s
            deviation = 0
        self._deviation = deviation

    def _side(self, interval_s: float) -> int:
        if interval_s >= self._rated_s * (1.0 + MIN_CHANGE):
            return 1
        return -1 if interval_s <= self._rated_s * (1.0 - MIN_CHANGE) else 0
