"""Initial voter set, agreed on by compare-and-swap in the object API.

A node with a data folder generates a disk id at its first start and adds itself until the set is
complete and thereby sealed. A sealed set is never changed here; later changes go through the
ledger. A node whose disk is not in the sealed set starts as a standby: it may have voted earlier
with a disk that it has lost.

A fleet may have fewer disks than the voter set is meant to have. A set that gets no further voter
for a while is therefore sealed with the voters it has, and the leader adds later disks through the
ledger. All nodes seal by compare-and-swap on the one record, so there is never a second set. With n
voters a committed entry is on n // 2 + 1 disks:

    voters   disks with each entry   losses after which entries are kept   and commits go on
    1        1                       0                                     0
    2        2                       1                                     1, once proved
    3        2                       1                                     1
    4        3                       2                                     1
    5        3                       2                                     2
"""

from __future__ import annotations

import msgspec

from stileloom.ledger.commands import Voter

INCOMPLETE_SET_WAIT_S = 4.0
"""Time without a further voter after which an incomplete set is sealed. A process that ends is back
after 2 to 4 s."""
FEW_VOTERS_WAIT_S = 10.0
"""The same while entries would be on fewer disks than the losses that must be borne, and one more:
waiting costs callers time, but sealing could cost acknowledged entries."""


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


def seal_voter_set(current: VoterSetRecord) -> VoterSetRecord:
    """The record that makes the voters that have joined the ledger's initial voter set."""
    return VoterSetRecord(len(current.voters), current.voters)


class IncompleteSetTimer:
    """Decides when an incomplete voter set is sealed. Performs no I/O and reads no clock.

    Only time during which the record could be read counts: while the store is unavailable, nobody
    can join.
    """

    def __init__(self) -> None:
        self._voters: list[Voter] = []
        self._since: float | None = None

    def reset(self) -> None:
        """Starts the wait anew, because the record could not be read."""
        self._since = None

    def is_due(self, now: float, record: VoterSetRecord) -> bool:
        """Whether no voter has joined for so long that the set is to be sealed."""
        if self._since is None or record.voters != self._voters:
            self._since = now
            self._voters = record.voters
        tolerated = record.target_count // 2
        is_durable = len(record.voters) // 2 >= tolerated
        wait_s = INCOMPLETE_SET_WAIT_S if is_durable else FEW_VOTERS_WAIT_S
        return now >= self._since + wait_s
