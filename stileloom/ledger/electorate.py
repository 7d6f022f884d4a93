"""Whose agreement decides elections and commits.

Usually that is a majority of the voter set. Of two voters both must agree, so what was committed
stands on either disk; once one disk is proved lost the other decides alone, since nobody else
ever can. It must know that the set of two is committed; until then the set before it might
still decide something, and a majority of that set has to agree as well.

`tests/two_voter_spec.py` is the specification.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from stileloom.ledger.commands import Voter
from stileloom.ledger.log import LedgerLog

NONCE_BITS = 62


class Electorate:
    """The sets of which each needs a majority."""

    def __init__(self, sets: list[list[Voter]]) -> None:
        self._sets = sets

    @property
    def members(self) -> list[Voter]:
        """All voters of these sets, once each."""
        return list(dict.fromkeys(voter for voters in self._sets for voter in voters))

    def agrees(self, votes: set[Voter]) -> bool:
        """Whether each set has a majority among these votes."""
        return all(2 * len(votes.intersection(voters)) > len(voters) for voters in self._sets)

    def agreed_index(self, durable_index: Callable[[Voter], int]) -> int:
        """The highest index that a majority of each set holds on disk."""
        return min(_majority_index(map(durable_index, voters)) for voters in self._sets)

    def lease_end(self, expires_at: Callable[[list[str]], float]) -> float:
        """When the lease ends that a majority of each set confirmed."""
        return min(expires_at([voter.node_id for voter in voters]) for voters in self._sets)


def _majority_index(indexes: Iterable[int]) -> int:
    ordered = sorted(indexes, reverse=True)
    return ordered[len(ordered) // 2]


def electorate(log: LedgerLog, commit_index: int, lost_disks: set[Voter]) -> Electorate:
    """Who decides, by this log and with these disks proved lost."""
    voters = log.voters
    remaining = [voter for voter in voters if voter not in lost_disks]
    if len(voters) != 2 or len(remaining) != 1:
        return Electorate([voters])
    if log.voters_at(commit_index) == voters:
        return Electorate([remaining])
    return Electorate([remaining, log.voters_before_change])


class DiskProofs:
    """Which voters' disks are proved lost: their node runs now and has another disk.

    A greeting alone proves nothing, since it may come late, from a life before the voter's. So
    the node is asked who it is, with a number drawn for this voter; its answer is a proof.
    """

    def __init__(self, rng: random.Random) -> None:
        self.lost: set[Voter] = set()
        self._rng = rng
        self._questions: dict[Voter, int] = {}

    def greeted(self, voter: Voter, answer_to: int) -> int | None:
        """A node says that it is not this voter of its name, but has another disk.

        Returns the number to ask it with, or None where it is proved.
        """
        if voter in self.lost:
            return None
        if answer_to and answer_to == self._questions.get(voter):
            self.lost.add(voter)
            return None
        if voter not in self._questions:
            self._questions[voter] = self._rng.getrandbits(NONCE_BITS) + 1
        return self._questions[voter]
