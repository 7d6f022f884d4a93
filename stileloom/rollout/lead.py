"""Estimate of the lead time of a generation: steps between its start and its hand-over."""

from __future__ import annotations

import math

SMOOTHING = 0.2
DURATION_MARGIN = 1.5
"""Safety factor on the expected duration, as lengths vary within a group."""


class LeadEstimate:
    """Moving averages of the step time and the time per token of one round.

    A generation with n expected tokens takes n * token_time. If it starts `lead` steps before
    the hand-over of its step, it has lead * step_time, so

        lead = ceil(DURATION_MARGIN * n * token_time / step_time), at least 1.

    A longer lead increases sample staleness; a shorter one makes the trainer wait.
    """

    def __init__(self) -> None:
        self._step_time_s: float | None = None
        self._token_time_s: float | None = None
        self._step: int | None = None
        self._step_started_at = 0.0

    def observe_step(self, now: float, step: int) -> None:
        """Records which step is currently being collected."""
        if self._step is None:
            self._step, self._step_started_at = step, now
            return
        if step > self._step:
            elapsed_s = (now - self._step_started_at) / (step - self._step)
            self._step_time_s = _smooth(self._step_time_s, elapsed_s)
            self._step, self._step_started_at = step, now

    def observe_generation(self, duration_s: float, tokens: int) -> None:
        """Records the duration and token count of a finished generation."""
        if tokens > 0 and duration_s > 0:
            self._token_time_s = _smooth(self._token_time_s, duration_s / tokens)

    def lead_steps(self, expected_tokens: float, max_steps: int) -> int:
        """Returns the lead in steps, from 1 to `max_steps`; `max_steps` without measurements."""
        if self._step_time_s is None or self._token_time_s is None:
            return max(1, max_steps)
        duration_s = DURATION_MARGIN * expected_tokens * self._token_time_s
        lead = math.ceil(duration_s / max(1e-6, self._step_time_s))
        return max(1, min(max(1, max_steps), lead))


def _smooth(previous: float | None, value: float) -> float:
    return value if previous is None else previous + SMOOTHING * (value - previous)
