"""Quorum rules for elections and commits.

The quorum is usually a majority of the voter set. With two voters both must agree, so each disk
holds every committed entry. Once one of the two disks is proved lost, the other voter is a quorum
by itself, provided that it knows that the set of two is committed. Otherwise the previous set
could still form a quorum, so a majority of the previous set is required as well.

The specification is `tests/two_voter_spec.py`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from stileloom.ledger.commands import Voter
from stileloom.ledger.log import LedgerLog

NONCE_BITS = 62


class Electorate:
    """One or more voter sets; a quorum needs a majority of each."""

    def __init__(self, sets: list[list[Voter]]) -> None:
        self._sets = sets

    @property
    def members(self) -> list[Voter]:
        """All voters of these sets, without duplicates."""
        return list(dict.fromkeys(voter for voters in self._sets for voter in voters))

    def has_quorum(self, votes: set[Voter]) -> bool:
        """Whether the votes include a majority of each set."""
        return all(2 * len(votes.intersection(voters)) > len(voters) for voters in self._sets)

    def quorum_index(self, durable_index: Callable[[Voter], int]) -> int:
        """The highest index that is durable on a majority of each set."""
        return min(_majority_index(map(durable_index, voters)) for voters in self._sets)

    def lease_expires_at(self, expires_at: Callable[[list[str]], float]) -> float:
        """When the lease confirmed by a majority of each set expires."""
        return min(expires_at([voter.node_id for voter in voters]) for voters in self._sets)


def _majority_index(indexes: Iterable[int]) -> int:
    ordered = sorted(indexes, reverse=True)
    return ordered[len(ordered) // 2]


def current_electorate(log: LedgerLog, commit_index: int, lost_disks: set[Voter]) -> Electorate:
    """The electorate for this log, given the voters whose disks are proved lost."""
    voters = log.voters
    remaining = [voter for voter in voters if voter not in lost_disks]
    if len(voters) != 2 or len(remaining) != 1:
        return Electorate([voters])
    if log.voters_at(commit_index) == voters:
        return Electorate([remaining])
    return Electorate([remaining, log.voters_before_change])


class LostDiskDetector:
    """Detects voters whose node is running with a different disk.

    An unsolicited hello is no proof: it may be a delayed message from before the voter's disk was
    in use. The node is therefore challenged with a random nonce and must return it.
    """

    def __init__(self, rng: random.Random) -> None:
        self.lost_disks: set[Voter] = set()
        self._rng = rng
        self._nonces: dict[Voter, int] = {}

    def handle_hello(self, voter: Voter, answer_to: int) -> int | None:
        """Handles a hello from the voter's node that names another disk.

        Returns the nonce for a challenge, or None if the voter's disk is proved lost.
        """
        if voter in self.lost_disks:
            return None
        if answer_to and answer_to == self._nonces.get(voter):
            self.lost_disks.add(voter)
            return None
        if voter not in self._nonces:
            # Never 0: an `answer_to` of 0 means that the hello is unsolicited.
            self._nonces[voter] = self._rng.getrandbits(NONCE_BITS) + 1
        return self._nonces[voter]
