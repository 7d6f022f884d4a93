"""Virtual time: one event queue, one clock, one source of random numbers."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable


class World:
    """Runs events in the order of their times; equal times in the order of scheduling."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.events_run = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action `delay_s` from now."""
        heapq.heappush(self._queue, (self.now + max(0.0, delay_s), next(self._order), action))

    def run_until(self, until: float) -> None:
        """Runs every event up to a time, then stands at it."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            self.events_run += 1
            action()
        self.now = max(self.now, until)

    def run_for(self, seconds: float) -> None:
        """Runs for some virtual seconds."""
        self.run_until(self.now + seconds)
