"""Specification of the leader's lease: elections, transfers of leadership and restarts.

Logs are omitted (see `tests/ledger_spec.py`). A promise is a voter's commitment to elect no other
leader for a time. Time is abstract: a confirmation held by a leader may expire at any step, and
the matching promise expires at the voter only later, because a lease is shorter than a promise.
Actions:

    Confirm              a voter replies to a leader's heartbeat and makes a promise
    ConfirmUnlogged      the same, but the leader's first entry is not yet in the voter's log
    ExpireConfirmation   a confirmation expires at the leader
    ExpirePromise        a promise expires at the voter
    StartElection        a replica without a promise requests votes
    HandOver             a leader steps down and asks a follower to start an election
    AcceptHandOver       the follower requests votes that override promises
    Vote                 a replica replies to a vote request
    BecomeLeader         a candidate has the votes of a majority
    Restart              a replica loses its role and assumes that it made a promise just before;
                         until that expires it votes only for the leader of the epoch on its disk

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


class State(NamedTuple):
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
    """The leader that a restarted replica may vote for despite a promise, or none."""
    confirmed: tuple[frozenset[int], ...]
    """The voters whose confirmations are valid at a leader."""
    promise: tuple[bool, ...]
    """Whether a voter is bound by a promise."""
    confirmed_leaders: tuple[frozenset[int], ...]
    """The leaders that still hold a confirmation of this voter."""
    requests: frozenset[tuple[int, int, bool]]
    """Vote requests in transit: epoch, candidate, whether they override promises."""
    votes: frozenset[tuple[int, int, int]]
    """Epoch, candidate, voter."""
    hand_overs: frozenset[tuple[int, int, int]]
    """Hand-overs in transit: epoch, leader, successor."""
    hand_overs_left: int
    restarts_left: int


def active_leaders(state: State) -> list[int]:
    """The active leaders."""
    return [
        replica
        for replica in range(REPLICAS)
        if state.is_leader[replica] and len(state.confirmed[replica] | {replica}) >= MAJORITY
    ]


def enter_epoch(state: State, replica: int, epoch: int) -> State:
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


def start_election(state: State, replica: int, overrides_promises: bool) -> State:
    """A replica enters the next epoch as a candidate and requests votes."""
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
    initial = State(
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
        state = State(*raw)
        found: list[tuple[str, State]] = []
        for replica in range(REPLICAS):
            found += elections(state, replica)
            found += leases(state, replica)
            found += hand_overs(state, replica)
            found += restarts(state, replica)
        return [(label, tuple(after)) for label, after in found if after != state]

    def elections(state: State, replica: int) -> list[tuple[str, State]]:
        found: list[tuple[str, State]] = []
        bound = state.promise[replica] and rules.promises_are_binding
        bound = bound and state.previous_leader[replica] != replica
        may_start_election = not state.is_leader[replica] and not bound
        if may_start_election and state.epoch[replica] < bounds.epochs:
            found.append((f"StartElection({replica})", start_election(state, replica, False)))
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
            found.append((f"BecomeLeader({replica})", elected))
        return found

    def vote(state: State, replica: int, request: tuple[int, int, bool]) -> list[tuple[str, State]]:
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

    def leases(state: State, replica: int) -> list[tuple[str, State]]:
        found: list[tuple[str, State]] = []
        for voter in set(range(REPLICAS)) - {replica}:
            if state.is_leader[replica] and state.epoch[voter] <= state.epoch[replica]:
                confirmed = confirm(state, replica, voter)
                found.append((f"Confirm({replica}, {voter})", confirmed))
                if bounds.restarts:
                    # The voter's disk has the epoch, but not yet the entry that names the leader.
                    unlogged = confirmed._replace(logged_leader=state.logged_leader)
                    found.append((f"ConfirmUnlogged({replica}, {voter})", unlogged))
        for voter in state.confirmed[replica]:
            expired = state._replace(
                confirmed=put(state.confirmed, replica, state.confirmed[replica] - {voter}),
                confirmed_leaders=put(
                    state.confirmed_leaders, voter, state.confirmed_leaders[voter] - {replica}
                ),
            )
            found.append((f"ExpireConfirmation({replica}, {voter})", expired))
        if state.promise[replica] and not state.confirmed_leaders[replica]:
            expired = state._replace(promise=put(state.promise, replica, False))
            found.append((f"ExpirePromise({replica})", expired))
        return found

    def confirm(state: State, leader: int, voter: int) -> State:
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

    def hand_overs(state: State, replica: int) -> list[tuple[str, State]]:
        found: list[tuple[str, State]] = []
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
                found.append((f"AcceptHandOver({replica})", start_election(taken, replica, True)))
        return found

    def restarts(state: State, replica: int) -> list[tuple[str, State]]:
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
            # Promises are not on disk, so the replica assumes that it made one.
            promise=put(state.promise, replica, rules.restart_waits),
            restarts_left=state.restarts_left - 1,
        )
        return [(f"Restart({replica})", restarted)]

    return Protocol(
        name="lease",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "at_most_one_active_leader": lambda state: len(active_leaders(State(**state))) <= 1,
        },
    )
