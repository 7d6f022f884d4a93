"""Fences of this process that a service has refused because it knows a higher one."""

from __future__ import annotations


class LostFences:
    """Outlives a leadership: a lease that is regained in the same epoch has the same fence."""

    def __init__(self) -> None:
        self._lost: set[tuple[str, int]] = set()

    def add(self, duty: str, fence: int) -> None:
        """Records that a duty may not be carried out with a fence again."""
        self._lost.add((duty, fence))

    def __contains__(self, duty_and_fence: tuple[str, int]) -> bool:
        return duty_and_fence in self._lost
