"""Specification of the leader's lease: elections, hand-over and restarts.

Logs are omitted (see `tests/ledger_spec.py`). A promise is a voter's commitment to elect no other
leader for a time. Time is abstract: a confirmation held by a leader may expire at any step, and
the matching promise expires at the voter only later, because a lease is shorter than a promise.
Actions are named after the messages in the code:

    Confirm          a voter replies to a leader's heartbeat and makes a promise
    LapseConfirmed   a confirmation expires at the leader
    LapsePromise     a promise expires at the voter
    Campaign         a replica without a promise requests votes
    HandOver         a leader steps down and asks a follower to start an election
    TakeOver         the follower requests votes that override promises
    Vote             a replica replies to a vote request
    Restart          a replica loses its role and the end of its promise; until a full promise
                     period has passed it votes only for the leader on its disk, if current

Invariant: at most one replica is active, that is, a leader with confirmations of a majority.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from minicheck import Protocol

from tests.ledger_spec import put

REPLICAS = 3
MAJORITY = 2
NO_NODE = -1


class LeaseRules(msgspec.Struct, frozen=True):
    """Rules of the code; the checker must refute the protocol without any one of them."""

    stops_before_hand_over: bool = True
    hand_over_matches_epoch: bool = True
    promises_are_binding: bool = True
    restart_waits: bool = True
    disk_leader_is_current: bool = True
    """The leader on disk is used only if it belongs to the epoch on disk."""


class LeaseBounds(msgspec.Struct, frozen=True):
    """Limits of the explored state space."""

    epochs: int = 3
    hand_overs: int = 1
    restarts: int = 1


class Spec(NamedTuple):
    """One state. Tuples are indexed by replica."""

    epoch: tuple[int, ...]
    voted_for: tuple[int, ...]
    """The candidate voted for in this epoch, or none."""
    candidate: tuple[bool, ...]
    """Whether it is a candidate in this epoch."""
    is_leader: tuple[bool, ...]
    known_leader: tuple[int, ...]
    """The leader that a replica knows in its epoch, or none."""
    logged_leader: tuple[tuple[int, int], ...]
    """Recorded on disk: the last leader that a replica followed, and its epoch."""
    previous_leader: tuple[int, ...]
    """The leader that a restarted replica may vote for immediately, or none."""
    confirmed: tuple[frozenset[int], ...]
    """The voters whose confirmations are valid at a leader."""
    promise: tuple[bool, ...]
    """Whether a voter is bound by a promise."""
    confirmed_leaders: tuple[frozenset[int], ...]
    """The leaders at which a confirmation of this voter may still be valid."""
    requests: frozenset[tuple[int, int, bool]]
    """Vote requests in transit: epoch, candidate, whether they override promises."""
    votes: frozenset[tuple[int, int, int]]
    """Epoch, candidate, voter."""
    hand_overs: frozenset[tuple[int, int, int]]
    """Hand-overs in transit: epoch, leader, successor."""
    hand_overs_left: int
    restarts_left: int


def active_leaders(state: Spec) -> list[int]:
    """The active leaders."""
    return [
        replica
        for replica in range(REPLICAS)
        if state.is_leader[replica] and len(state.confirmed[replica] | {replica}) >= MAJORITY
    ]


def enter_epoch(state: Spec, replica: int, epoch: int) -> Spec:
    """A replica steps down and enters a later epoch."""
    return state._replace(
        epoch=put(state.epoch, replica, epoch),
        voted_for=put(state.voted_for, replica, NO_NODE),
        known_leader=put(state.known_leader, replica, NO_NODE),
        candidate=put(state.candidate, replica, False),
        is_leader=put(state.is_leader, replica, False),
        confirmed=put(state.confirmed, replica, frozenset()),
        confirmed_leaders=tuple(leaders - {replica} for leaders in state.confirmed_leaders),
    )


def campaign(state: Spec, replica: int, overrides_promises: bool) -> Spec:
    """A replica requests votes in the next epoch."""
    epoch = state.epoch[replica] + 1
    entered = enter_epoch(state, replica, epoch)
    return entered._replace(
        voted_for=put(entered.voted_for, replica, replica),
        candidate=put(entered.candidate, replica, True),
        requests=entered.requests | {(epoch, replica, overrides_promises)},
        votes=entered.votes | {(epoch, replica, replica)},
    )


def make_lease_protocol(bounds: LeaseBounds, rules: LeaseRules) -> Protocol:
    """The protocol within these bounds, under these rules."""
    # Replica 0 was just elected with the vote of replica 1.
    initial = Spec(
        epoch=(1, 1, 0),
        voted_for=(0, 0, NO_NODE),
        candidate=(False,) * REPLICAS,
        is_leader=(True, False, False),
        known_leader=(0, NO_NODE, NO_NODE),
        logged_leader=((0, 1), (NO_NODE, 0), (NO_NODE, 0)),
        previous_leader=(NO_NODE,) * REPLICAS,
        confirmed=(frozenset(),) * REPLICAS,
        promise=(False,) * REPLICAS,
        confirmed_leaders=(frozenset(),) * REPLICAS,
        requests=frozenset(),
        votes=frozenset(),
        hand_overs=frozenset(),
        hand_overs_left=bounds.hand_overs,
        restarts_left=bounds.restarts,
    )

    def transitions(raw: tuple) -> list[tuple[str, tuple]]:
        state = Spec(*raw)
        found: list[tuple[str, Spec]] = []
        for replica in range(REPLICAS):
            found += elections(state, replica)
            found += leases(state, replica)
            found += hand_overs(state, replica)
            found += restarts(state, replica)
        return [(label, tuple(after)) for label, after in found if after != state]

    def elections(state: Spec, replica: int) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        bound = state.promise[replica] and rules.promises_are_binding
        bound = bound and state.previous_leader[replica] != replica
        may_campaign = not state.is_leader[replica] and not bound
        if may_campaign and state.epoch[replica] < bounds.epochs:
            found.append((f"Campaign({replica})", campaign(state, replica, False)))
        for request in state.requests:
            found += vote(state, replica, request)
        epoch = state.epoch[replica]
        voters = {
            voter for at, candidate, voter in state.votes if (at, candidate) == (epoch, replica)
        }
        if state.candidate[replica] and len(voters) >= MAJORITY:
            elected = state._replace(
                candidate=put(state.candidate, replica, False),
                is_leader=put(state.is_leader, replica, True),
                known_leader=put(state.known_leader, replica, replica),
                logged_leader=put(state.logged_leader, replica, (replica, epoch)),
                previous_leader=put(state.previous_leader, replica, NO_NODE),
            )
            found.append((f"Win({replica})", elected))
        return found

    def vote(state: Spec, replica: int, request: tuple[int, int, bool]) -> list[tuple[str, Spec]]:
        epoch, candidate, overrides_promises = request
        bound = state.promise[replica] and state.previous_leader[replica] != candidate
        bound = bound or replica in active_leaders(state)
        if candidate == replica or (
            bound and rules.promises_are_binding and not overrides_promises
        ):
            return []
        if epoch > state.epoch[replica]:
            state = enter_epoch(state, replica, epoch)
        if epoch != state.epoch[replica] or state.voted_for[replica] not in (NO_NODE, candidate):
            return [("Vote: none", state)]
        granted = state._replace(
            voted_for=put(state.voted_for, replica, candidate),
            votes=state.votes | {(epoch, candidate, replica)},
        )
        return [(f"Vote({replica} for {candidate})", granted)]

    def leases(state: Spec, replica: int) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        for voter in set(range(REPLICAS)) - {replica}:
            if state.is_leader[replica] and state.epoch[voter] <= state.epoch[replica]:
                confirmed = confirm(state, replica, voter)
                found.append((f"Confirm({replica}, {voter})", confirmed))
                if bounds.restarts:
                    # Its log does not match the leader's yet; only the epoch is on its disk.
                    unlogged = confirmed._replace(logged_leader=state.logged_leader)
                    found.append((f"ConfirmUnlogged({replica}, {voter})", unlogged))
        for voter in state.confirmed[replica]:
            lapsed = state._replace(
                confirmed=put(state.confirmed, replica, state.confirmed[replica] - {voter}),
                confirmed_leaders=put(
                    state.confirmed_leaders, voter, state.confirmed_leaders[voter] - {replica}
                ),
            )
            found.append((f"LapseConfirmed({replica}, {voter})", lapsed))
        if state.promise[replica] and not state.confirmed_leaders[replica]:
            released = state._replace(promise=put(state.promise, replica, False))
            found.append((f"LapsePromise({replica})", released))
        return found

    def confirm(state: Spec, leader: int, voter: int) -> Spec:
        if state.epoch[voter] < state.epoch[leader]:
            state = enter_epoch(state, voter, state.epoch[leader])
        return state._replace(
            known_leader=put(state.known_leader, voter, leader),
            logged_leader=put(state.logged_leader, voter, (leader, state.epoch[leader])),
            previous_leader=put(state.previous_leader, voter, NO_NODE),
            promise=put(state.promise, voter, True),
            confirmed_leaders=put(
                state.confirmed_leaders, voter, state.confirmed_leaders[voter] | {leader}
            ),
            confirmed=put(state.confirmed, leader, state.confirmed[leader] | {voter}),
        )

    def hand_overs(state: Spec, replica: int) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        if state.is_leader[replica] and state.hand_overs_left:
            for successor in set(range(REPLICAS)) - {replica}:
                message = (state.epoch[replica], replica, successor)
                sent = state._replace(
                    hand_overs=state.hand_overs | {message},
                    hand_overs_left=state.hand_overs_left - 1,
                )
                if rules.stops_before_hand_over:
                    sent = sent._replace(
                        is_leader=put(sent.is_leader, replica, False),
                        confirmed=put(sent.confirmed, replica, frozenset()),
                        confirmed_leaders=tuple(
                            leaders - {replica} for leaders in sent.confirmed_leaders
                        ),
                    )
                found.append((f"HandOver({replica}, {successor})", sent))
        for message in state.hand_overs:
            epoch, leader, successor = message
            current = (epoch, leader) == (state.epoch[replica], state.known_leader[replica])
            is_valid = current or not rules.hand_over_matches_epoch
            if successor == replica and is_valid and state.epoch[replica] < bounds.epochs:
                taken = state._replace(hand_overs=state.hand_overs - {message})
                found.append((f"TakeOver({replica})", campaign(taken, replica, True)))
        return found

    def restarts(state: Spec, replica: int) -> list[tuple[str, Spec]]:
        if not state.restarts_left:
            return []
        leader, epoch = state.logged_leader[replica]
        is_current = epoch == state.epoch[replica] or not rules.disk_leader_is_current
        restarted = state._replace(
            previous_leader=put(state.previous_leader, replica, leader if is_current else NO_NODE),
            candidate=put(state.candidate, replica, False),
            is_leader=put(state.is_leader, replica, False),
            known_leader=put(state.known_leader, replica, NO_NODE),
            confirmed=put(state.confirmed, replica, frozenset()),
            confirmed_leaders=tuple(leaders - {replica} for leaders in state.confirmed_leaders),
            # Confirmations are not on disk, so it assumes that it made a promise.
            promise=put(state.promise, replica, rules.restart_waits),
            restarts_left=state.restarts_left - 1,
        )
        return [(f"Restart({replica})", restarted)]

    return Protocol(
        name="lease",
        candidate=False,
        fields=Spec._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "at_most_one_active_leader": lambda state: len(active_leaders(Spec(**state))) <= 1,
        },
    )
