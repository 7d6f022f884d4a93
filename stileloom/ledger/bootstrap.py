"""The first voter set, agreed on by compare-and-swap in the object API.

A node with a data folder draws a disk id at its first start and enters itself, until the set
has its size and is sealed. A sealed set never changes here: later changes go through the
ledger itself. A node that finds a sealed set without its own disk is a learner, whatever it
was before: it may have voted in a life that it does not remember.
"""

from __future__ import annotations

import msgspec

from stileloom.ledger.commands import Voter


class VoterSetRecord(msgspec.Struct, frozen=True):
    """The object that all nodes with a data folder agree on."""

    target_count: int
    voters: list[Voter]

    @property
    def sealed(self) -> bool:
        """Whether the set has its size; a sealed set is the ledger's first voter set."""
        return len(self.voters) >= self.target_count


def enter_voter_set(
    current: VoterSetRecord | None, me: Voter, target_count: int
) -> VoterSetRecord | None:
    """The record to write in place of `current`, or None where nothing is to be written."""
    if current is None:
        return VoterSetRecord(target_count, [me])
    if current.sealed or me in current.voters:
        return None
    others = [voter for voter in current.voters if voter.node_id != me.node_id]
    return VoterSetRecord(current.target_count, [*others, me])
