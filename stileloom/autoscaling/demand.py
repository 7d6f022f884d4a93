"""Demand for slots over recent time. Performs no I/O and reads no clock."""

from __future__ import annotations

import collections


class PeakDemand:
    """The largest demand within a sliding window."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._peaks: collections.deque[tuple[float, float]] = collections.deque()
        """Times and values; values decrease, since an earlier smaller one is never the peak."""

    def record(self, now: float, demand: float) -> None:
        """Records the demand at a moment."""
        while self._peaks and self._peaks[-1][1] <= demand:
            self._peaks.pop()
        self._peaks.append((now, demand))
        self._drop_old(now)

    def peak(self, now: float) -> float:
        """The largest demand within the window that ends now; 0 if there was none."""
        self._drop_old(now)
        return self._peaks[0][1] if self._peaks else 0.0

    def _drop_old(self, now: float) -> None:
        while self._peaks and self._peaks[0][0] < now - self._window_s:
            self._peaks.popleft()
