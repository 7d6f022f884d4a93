"""Which change of the voter set is due next: one voter at a time.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 4.1, with the
correction that a leader first commits an entry of its own epoch. A voter whose disk is
lost is removed first and its successor added after, never both in one step: the
majorities of both sets must meet.
"""

from __future__ import annotations

from stileloom.ledger.commands import Voter


def next_voter_set(
    voters: list[Voter],
    caught_up_learners: list[Voter],
    unavailable: set[str],
    target_count: int,
    leaving: frozenset[str] = frozenset(),
) -> list[Voter] | None:
    """The next voter set, one step from `voters`, or None where nothing is to change.

    `unavailable` names nodes that do not answer, `leaving` those that are to be emptied.
    """
    for learner in caught_up_learners:
        for voter in voters:
            lost_disk = voter.node_id == learner.node_id and voter.disk_id != learner.disk_id
            if lost_disk and len(voters) > 1:
                return [other for other in voters if other != voter]
    held_by = {voter.node_id for voter in voters}
    newcomers = [
        learner
        for learner in caught_up_learners
        if learner.node_id not in held_by and learner.node_id not in leaving
    ]
    going = [voter for voter in voters if voter.node_id in leaving]
    staying = len(voters) - len(going)
    if newcomers and staying < target_count:
        return sorted([*voters, newcomers[0]], key=lambda voter: voter.node_id)
    if going and staying > 0:
        return [other for other in voters if other != going[0]]
    if newcomers:
        for voter in voters:
            if voter.node_id in unavailable:
                return [other for other in voters if other != voter]
    return None
