"""An estimate of how many tokens a generation will have, by prompt group."""

from __future__ import annotations

SMOOTHING = 0.2
UNSEEN_FRACTION = 0.5
"""Of `max_tokens`, for a group of which no sample is finished yet."""


class LengthEstimate:
    """An exponentially smoothed mean of the finished lengths of each group."""

    def __init__(self) -> None:
        self._mean: dict[str, float] = {}

    def observe(self, group: str, token_count: int) -> None:
        """A generation of the group finished at this length."""
        known = self._mean.get(group)
        if known is None:
            self._mean[group] = float(token_count)
        else:
            self._mean[group] = known + SMOOTHING * (token_count - known)

    def expected(self, group: str, max_tokens: int, so_far: int) -> float:
        """Expected final length of a generation that has `so_far` tokens already."""
        mean = self._mean.get(group, max_tokens * UNSEEN_FRACTION)
        # With a heavy tail, what has outgrown the mean can be expected to grow on as much.
        expected = mean if so_far < mean else so_far * 2.0
        return min(float(max_tokens), expected)
