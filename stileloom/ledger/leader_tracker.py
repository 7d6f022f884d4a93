"""Who leads the ledger, as far as a node knows, and whom to ask where it does not."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

LEADER_FORGOTTEN_S = 3.0


class LeaderHint(msgspec.Struct, frozen=True, tag=True):
    """Answer of a node that is not the leader; `leader` is empty where it knows none."""

    leader: str
    epoch: int


class LeaderTracker:
    """The newest leader heard of. A hint of a lower epoch is ignored."""

    def __init__(self, voters: Callable[[], list[str]]) -> None:
        self._voters = voters
        self._leader: str | None = None
        self._epoch = 0
        self._heard_at = float("-inf")
        self._turn = 0

    def heard(self, now: float, leader: str, epoch: int) -> None:
        """Some node said who leads in an epoch."""
        if not leader or epoch < self._epoch:
            return
        self._leader = leader
        self._epoch = epoch
        self._heard_at = now

    def silent(self, leader: str) -> None:
        """The believed leader did not answer."""
        if leader == self._leader:
            self._leader = None

    def leader(self, now: float) -> str | None:
        """The leader, or None where nothing was heard of it lately."""
        if now >= self._heard_at + LEADER_FORGOTTEN_S:
            return None
        return self._leader

    def ask(self, now: float) -> str | None:
        """The leader, or the next voter in turn, which can tell."""
        known = self.leader(now)
        if known is not None:
            return known
        voters = sorted(self._voters())
        if not voters:
            return None
        self._turn += 1
        return voters[self._turn % len(voters)]
