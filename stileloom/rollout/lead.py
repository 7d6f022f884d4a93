"""How many steps ahead of its hand-over a generation has to start."""

from __future__ import annotations

import math

SMOOTHING = 0.2
MARGIN = 1.5
"""On the expected duration: lengths within a group differ."""


class LeadEstimate:
    """Measured pace of one round: time of a step, time of a token.

    A generation of n expected tokens takes n * token_time. Started `lead` steps before the
    hand-over of its own step, it has lead * step_time; so

        lead = ceil(MARGIN * n * token_time / step_time), at least 1.

    More lead makes a sample older than need be, less lets the trainer wait for it.
    """

    def __init__(self) -> None:
        self._step_time_s: float | None = None
        self._token_time_s: float | None = None
        self._step: int | None = None
        self._step_began_at = 0.0

    def observe_step(self, now: float, step: int) -> None:
        """The step that is being gathered, at each look."""
        if self._step is None:
            self._step, self._step_began_at = step, now
            return
        if step > self._step:
            taken_s = (now - self._step_began_at) / (step - self._step)
            self._step_time_s = _smooth(self._step_time_s, taken_s)
            self._step, self._step_began_at = step, now

    def observe_generation(self, seconds: float, tokens: int) -> None:
        """A generation made so many tokens in so long."""
        if tokens > 0 and seconds > 0:
            self._token_time_s = _smooth(self._token_time_s, seconds / tokens)

    def lead_steps(self, expected_tokens: float, most: int) -> int:
        """Steps ahead, from 1 to `most`; `most` while nothing was measured."""
        if self._step_time_s is None or self._token_time_s is None:
            return max(1, most)
        duration_s = MARGIN * expected_tokens * self._token_time_s
        lead = math.ceil(duration_s / max(1e-6, self._step_time_s))
        return max(1, min(max(1, most), lead))


def _smooth(known: float | None, value: float) -> float:
    return value if known is None else known + SMOOTHING * (value - known)
