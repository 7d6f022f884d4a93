"""Initial voter set, agreed on by compare-and-swap in the object API.

A node with a data folder generates a disk id at its first start and adds itself until the set is
complete and thereby sealed. A sealed set is never changed here; later changes go through the
ledger. A node whose disk is not in the sealed set is a learner: it may have voted earlier with a
disk that it has lost.
"""

from __future__ import annotations

import msgspec

from stileloom.ledger.commands import Voter


class VoterSetRecord(msgspec.Struct, frozen=True):
    """The stored voter set."""

    target_count: int
    voters: list[Voter]

    @property
    def sealed(self) -> bool:
        """Whether the set is complete and therefore the ledger's initial voter set."""
        return len(self.voters) >= self.target_count


def join_voter_set(
    current: VoterSetRecord | None, local_voter: Voter, target_count: int
) -> VoterSetRecord | None:
    """The record that replaces `current`, or None if no write is needed."""
    if current is None:
        return VoterSetRecord(target_count, [local_voter])
    if current.sealed or local_voter in current.voters:
        return None
    others = [voter for voter in current.voters if voter.node_id != local_voter.node_id]
    return VoterSetRecord(current.target_count, [*others, local_voter])
