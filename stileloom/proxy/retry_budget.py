"""Limits repeats and hedges of lookups. Performs no I/O.

Answers the load of samplers that fail or are slow: without a limit, each lookup is sent up to
`max_attempts` times, and the samplers that still work receive a multiple of the usual load.
"""

from __future__ import annotations

from collections import deque

WINDOW_S = 5.0
REPEATS_PER_FIRST_SEND = 0.2
FREE_REPEATS = 10
"""Repeats in each window that need no first sends: a gateway with one lookup in ten seconds could
otherwise never repeat one."""


class RetryBudget:
    """Repeats and hedges of the lookups of one service at one process.

    A repeat is a send after an attempt of the same lookup that ran or may have run. A send after a
    refusal without a run is none: the admission queue limits those.
    """

    def __init__(self) -> None:
        self._first_sends: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_first_send(self, now: float) -> None:
        """Records the first send of a lookup."""
        self._first_sends.append(now)
        _drop_before(self._first_sends, now - WINDOW_S)

    def record_repeat(self, now: float) -> None:
        """Records a repeat or a hedge."""
        self._repeats.append(now)

    def allows_repeat(self, now: float) -> bool:
        """Whether another repeat or hedge may be sent now."""
        _drop_before(self._first_sends, now - WINDOW_S)
        _drop_before(self._repeats, now - WINDOW_S)
        limit = max(FREE_REPEATS, len(self._first_sends) * REPEATS_PER_FIRST_SEND)
        return len(self._repeats) + 1 <= limit


def _drop_before(moments: deque[float], start: float) -> None:
    while moments and moments[0] <= start:
        moments.popleft()
