"""Estimate of generation lengths by prompt group."""

from __future__ import annotations

SMOOTHING = 0.2
DEFAULT_LENGTH_FRACTION = 0.5
"""Expected length as a fraction of `max_tokens` for groups without finished samples."""


class LengthEstimate:
    """Exponential moving average of the finished lengths of each group."""

    def __init__(self) -> None:
        self._mean: dict[str, float] = {}

    def observe(self, group: str, token_count: int) -> None:
        previous = self._mean.get(group)
        if previous is None:
            self._mean[group] = float(token_count)
        else:
            self._mean[group] = previous + SMOOTHING * (token_count - previous)

    def expected(self, group: str, max_tokens: int, token_count: int) -> float:
        """Returns the expected final length of a generation that has `token_count` tokens."""
        mean = self._mean.get(group, max_tokens * DEFAULT_LENGTH_FRACTION)
        # Lengths are heavy-tailed: a generation longer than the mean is expected to double.
        expected = mean if token_count < mean else token_count * 2.0
        return min(float(max_tokens), expected)
