"""Replicas outside the voter set, and which of them receive the log.

A deployment may have many more disks than voters. A standby holds no copy of the ledger: it
sends a hello periodically and is told who leads. The leader replicates the log to it only when
a voter is unresponsive, has lost its disk or is being retired.
"""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.ledger.commands import Voter


class VoterHealth(msgspec.Struct, frozen=True):
    """State of the voters as observed by the leader."""

    voters: list[Voter]
    unresponsive: set[str]
    """Nodes that do not reply."""
    lost_disks: set[Voter]
    """Voters whose node is running with a different disk."""
    retiring: frozenset[str]
    """Nodes that are being retired."""

    @property
    def healthy(self) -> list[Voter]:
        """Voters that need no replacement."""
        excluded = self.unresponsive | self.retiring
        return [
            voter
            for voter in self.voters
            if voter not in self.lost_disks and voter.node_id not in excluded
        ]


class StandbyPool:
    """Standbys that sent a hello recently."""

    def __init__(self) -> None:
        self._last_hello_at: dict[Voter, float] = {}

    def record_hello(self, standby: Voter, now: float) -> None:
        """Records a hello; replaces the record of the node's previous disk."""
        for known in list(self._last_hello_at):
            if known.node_id == standby.node_id:
                del self._last_hello_at[known]
        self._last_hello_at[standby] = now

    def recently_seen(self, now: float) -> list[Voter]:
        """All standbys that sent a hello within `STANDBY_EXPIRY_S`."""
        return [
            standby
            for standby, last_hello_at in self._last_hello_at.items()
            if now < last_hello_at + constants.STANDBY_EXPIRY_S
        ]

    def select_replacements(
        self, now: float, health: VoterHealth, target_count: int
    ) -> list[Voter]:
        """The standbys to replicate to: one for each healthy voter that is missing.

        Nodes whose previous disk is a voter come first, so that the set of nodes stays stable.
        """
        missing = target_count - len(health.healthy)
        if missing <= 0:
            return []
        healthy_nodes = {voter.node_id for voter in health.healthy}
        voting_nodes = {voter.node_id for voter in health.voters}
        candidates = [
            standby
            for standby in self.recently_seen(now)
            if standby.node_id not in healthy_nodes | health.retiring
            and standby not in health.voters
        ]
        # Disk ids are random, so this order favours no zone.
        candidates.sort(key=lambda standby: (standby.node_id not in voting_nodes, standby.disk_id))
        return candidates[:missing]
