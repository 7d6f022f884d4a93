"""Replicas outside the voter set, and which of them the leader feeds.

A deployment may have many more disks than voters. A replica that no voter set needs holds no
copy of the ledger: it says hello now and then, is told who leads, and gets the log only once
a voter is silent, lost its disk or is to be emptied.
"""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.ledger.commands import Voter


class VoterHealth(msgspec.Struct, frozen=True):
    """What the leader knows of the voters."""

    voters: list[Voter]
    silent: set[str]
    """Nodes that do not answer."""
    lost_disks: set[Voter]
    """Voters whose node came back with another disk."""
    leaving: frozenset[str]
    """Nodes that are to be emptied."""

    @property
    def sound(self) -> list[Voter]:
        """Voters that need no successor."""
        gone = self.silent | self.leaving
        return [
            voter
            for voter in self.voters
            if voter not in self.lost_disks and voter.node_id not in gone
        ]


class StandbyPool:
    """Standbys that were heard of lately."""

    def __init__(self) -> None:
        self._heard_at: dict[Voter, float] = {}

    def heard(self, standby: Voter, now: float) -> None:
        """A standby said hello; a node's earlier disk is forgotten."""
        for known in list(self._heard_at):
            if known.node_id == standby.node_id:
                del self._heard_at[known]
        self._heard_at[standby] = now

    def present(self, now: float) -> list[Voter]:
        """All standbys that were heard of lately."""
        return [
            standby
            for standby, heard_at in self._heard_at.items()
            if now < heard_at + constants.STANDBY_FORGOTTEN_S
        ]

    def wanted(self, now: float, health: VoterHealth, target_count: int) -> list[Voter]:
        """The standbys to feed: as many as the voter set lacks sound members.

        A node whose own earlier disk was a voter comes first, so that the set keeps its nodes.
        """
        missing = target_count - len(health.sound)
        if missing <= 0:
            return []
        sound_nodes = {voter.node_id for voter in health.sound}
        voting_nodes = {voter.node_id for voter in health.voters}
        candidates = [
            standby
            for standby in self.present(now)
            if standby.node_id not in sound_nodes | health.leaving and standby not in health.voters
        ]
        # Disk ids are drawn at random: the order favours no zone.
        candidates.sort(key=lambda standby: (standby.node_id not in voting_nodes, standby.disk_id))
        return candidates[:missing]
