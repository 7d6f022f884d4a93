"""Tracks the ledger's leader as known to one node."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

LEADER_HINT_TTL_S = 3.0


class LeaderHint(msgspec.Struct, frozen=True, tag=True):
    """Reply of a node that is not the leader; `leader` is empty if unknown."""

    leader: str
    epoch: int


class LeaderTracker:
    """The leader of the highest known epoch. Hints from lower epochs are ignored."""

    def __init__(self, voters: Callable[[], list[str]]) -> None:
        self._voters = voters
        self._leader: str | None = None
        self._epoch = 0
        self._last_report_at = float("-inf")
        self._rotation = 0

    def update(self, now: float, leader: str, epoch: int) -> None:
        """Records the leader of an epoch as reported by a node."""
        if not leader or epoch < self._epoch:
            return
        self._leader = leader
        self._epoch = epoch
        self._last_report_at = now

    def mark_unresponsive(self, leader: str) -> None:
        """The node did not reply; if it is the known leader, the leader becomes unknown."""
        if leader == self._leader:
            self._leader = None

    def leader(self, now: float) -> str | None:
        """The leader, or None if it is unknown or its last report is too old."""
        if now >= self._last_report_at + LEADER_HINT_TTL_S:
            return None
        return self._leader

    def next_target(self, now: float) -> str | None:
        """The node to contact: the leader if known, else the voters in rotation."""
        known = self.leader(now)
        if known is not None:
            return known
        voters = sorted(self._voters())
        if not voters:
            return None
        self._rotation += 1
        return voters[self._rotation % len(voters)]
