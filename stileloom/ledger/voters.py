"""Selects the next voter set change; one voter changes at a time.

Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), section 4.1, with the
correction that a leader first commits an entry of its own epoch. A voter whose disk is lost is
removed before its replacement is added: the majorities of consecutive sets must overlap.
"""

from __future__ import annotations

from stileloom.ledger.commands import Voter


def next_voter_set(
    voters: list[Voter],
    caught_up_learners: list[Voter],
    unavailable: set[str],
    target_count: int,
    retiring: frozenset[str] = frozenset(),
    lagging: frozenset[str] = frozenset(),
) -> list[Voter] | None:
    """The next voter set, or None if no change is due.

    `unavailable` are the nodes that do not reply, `retiring` those that are being retired,
    `lagging` those that reply and lack entries. A retiring voter stays while the set without it
    would have no majority that can store entries.
    """
    for learner in caught_up_learners:
        for voter in voters:
            disk_replaced = voter.node_id == learner.node_id and voter.disk_id != learner.disk_id
            if disk_replaced and len(voters) > 1:
                return [other for other in voters if other != voter]
    voter_nodes = {voter.node_id for voter in voters}
    candidates = [
        learner
        for learner in caught_up_learners
        if learner.node_id not in voter_nodes and learner.node_id not in retiring
    ]
    to_remove = [voter for voter in voters if voter.node_id in retiring]
    remaining = len(voters) - len(to_remove)
    if candidates and remaining < target_count:
        return sorted([*voters, candidates[0]], key=lambda voter: voter.node_id)
    if to_remove and remaining > 0:
        smaller = [other for other in voters if other != to_remove[0]]
        able = [v for v in smaller if v.node_id not in unavailable and v.node_id not in lagging]
        if 2 * len(able) > len(smaller):
            return smaller
    if candidates:
        for voter in voters:
            if voter.node_id in unavailable:
                return [other for other in voters if other != voter]
    return None
