"""A small specification of the leader's lease: elections, hand-over, restarts.

Logs are left out (`tests/ledger_spec.py` has them). Time is abstract: a confirmation that a leader
counts may lapse at any step, and the promise behind it lapses at its voter only after that, since
a lease is shorter than the time for which a voter sticks to its leader. Actions are named after
the code's messages:

    Confirm          a voter answers a leader's heartbeat and sticks to it
    LapseConfirmed   a leader counts a confirmation no more
    LapsePromise     a voter sticks to its leader no more
    Campaign         a replica that sticks to nobody asks for votes
    HandOver         a leader stops, and asks a follower to be elected now
    TakeOver         the follower gets that and asks for votes that break promises
    Vote             a replica answers a request for its vote
    Restart          a replica forgets its role, and for how long it has to stick; it sticks to
                     nobody but the leader that its disk is sure of

Invariant: at most one replica may act, which is a leader with confirmations of a majority.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec
from minicheck import Protocol

from tests.ledger_spec import put

REPLICAS = 3
MAJORITY = 2
NOBODY = -1


class LeaseRules(msgspec.Struct, frozen=True):
    """The rules as the code has them; each one switched off must be refuted."""

    stops_before_hand_over: bool = True
    hand_over_is_of_this_epoch: bool = True
    promises_bind: bool = True
    restart_waits: bool = True
    disk_is_sure: bool = True
    """The leader on disk is that of the epoch on disk, not of an earlier one."""


class LeaseBounds(msgspec.Struct, frozen=True):
    """How far the checker goes."""

    epochs: int = 3
    hand_overs: int = 1
    restarts: int = 1


class Spec(NamedTuple):
    """One state. Tuples are indexed by replica."""

    epoch: tuple[int, ...]
    voted: tuple[int, ...]
    """For whom in this epoch, or nobody."""
    candidate: tuple[bool, ...]
    """Whether it counts votes for this epoch."""
    leads: tuple[bool, ...]
    follows: tuple[int, ...]
    """The leader that a replica knows in its epoch, or nobody."""
    logged: tuple[tuple[int, int], ...]
    """On disk: the last leader that a replica followed, and its epoch."""
    before: tuple[int, ...]
    """The leader that a restarted replica may vote for at once, or nobody."""
    confirmed: tuple[frozenset[int], ...]
    """The voters whose confirmations a leader still counts."""
    promise: tuple[bool, ...]
    """Whether a voter sticks to a leader."""
    backs: tuple[frozenset[int], ...]
    """The leaders that may still count a confirmation of this voter."""
    requests: frozenset[tuple[int, int, bool]]
    """Requests for votes on their way: epoch, candidate, whether they break promises."""
    votes: frozenset[tuple[int, int, int]]
    """Epoch, candidate, voter."""
    hand_overs: frozenset[tuple[int, int, int]]
    """Hand-overs on their way: epoch, leader, successor."""
    hand_overs_left: int
    restarts_left: int


def acting(state: Spec) -> list[int]:
    """The replicas that may act."""
    return [
        replica
        for replica in range(REPLICAS)
        if state.leads[replica] and len(state.confirmed[replica] | {replica}) >= MAJORITY
    ]


def enter_epoch(state: Spec, replica: int, epoch: int) -> Spec:
    """A replica steps down into a later epoch."""
    return state._replace(
        epoch=put(state.epoch, replica, epoch),
        voted=put(state.voted, replica, NOBODY),
        follows=put(state.follows, replica, NOBODY),
        candidate=put(state.candidate, replica, False),
        leads=put(state.leads, replica, False),
        confirmed=put(state.confirmed, replica, frozenset()),
        backs=tuple(leaders - {replica} for leaders in state.backs),
    )


def campaign(state: Spec, replica: int, breaks_promises: bool) -> Spec:
    """A replica asks for votes in the next epoch."""
    epoch = state.epoch[replica] + 1
    entered = enter_epoch(state, replica, epoch)
    return entered._replace(
        voted=put(entered.voted, replica, replica),
        candidate=put(entered.candidate, replica, True),
        requests=entered.requests | {(epoch, replica, breaks_promises)},
        votes=entered.votes | {(epoch, replica, replica)},
    )


def make_lease_protocol(bounds: LeaseBounds, rules: LeaseRules) -> Protocol:
    """The protocol within bounds, or a mutation of it."""
    # Replica 0 has just been elected by 1.
    initial = Spec(
        epoch=(1, 1, 0),
        voted=(0, 0, NOBODY),
        candidate=(False,) * REPLICAS,
        leads=(True, False, False),
        follows=(0, NOBODY, NOBODY),
        logged=((0, 1), (NOBODY, 0), (NOBODY, 0)),
        before=(NOBODY,) * REPLICAS,
        confirmed=(frozenset(),) * REPLICAS,
        promise=(False,) * REPLICAS,
        backs=(frozenset(),) * REPLICAS,
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
        sticks = state.promise[replica] and rules.promises_bind
        sticks = sticks and state.before[replica] != replica
        may_campaign = not state.leads[replica] and not sticks
        if may_campaign and state.epoch[replica] < bounds.epochs:
            found.append((f"Campaign({replica})", campaign(state, replica, False)))
        for request in state.requests:
            found += vote(state, replica, request)
        epoch = state.epoch[replica]
        voters = {
            voter for at, candidate, voter in state.votes if (at, candidate) == (epoch, replica)
        }
        if state.candidate[replica] and len(voters) >= MAJORITY:
            leads = state._replace(
                candidate=put(state.candidate, replica, False),
                leads=put(state.leads, replica, True),
                follows=put(state.follows, replica, replica),
                logged=put(state.logged, replica, (replica, epoch)),
                before=put(state.before, replica, NOBODY),
            )
            found.append((f"Win({replica})", leads))
        return found

    def vote(state: Spec, replica: int, request: tuple[int, int, bool]) -> list[tuple[str, Spec]]:
        epoch, candidate, breaks_promises = request
        bound = state.promise[replica] and state.before[replica] != candidate
        bound = bound or replica in acting(state)
        if candidate == replica or (bound and rules.promises_bind and not breaks_promises):
            return []
        if epoch > state.epoch[replica]:
            state = enter_epoch(state, replica, epoch)
        if epoch != state.epoch[replica] or state.voted[replica] not in (NOBODY, candidate):
            return [("Vote: none", state)]
        given = state._replace(
            voted=put(state.voted, replica, candidate),
            votes=state.votes | {(epoch, candidate, replica)},
        )
        return [(f"Vote({replica} for {candidate})", given)]

    def leases(state: Spec, replica: int) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        for voter in set(range(REPLICAS)) - {replica}:
            if state.leads[replica] and state.epoch[voter] <= state.epoch[replica]:
                confirmed = confirm(state, replica, voter)
                found.append((f"Confirm({replica}, {voter})", confirmed))
                if bounds.restarts:
                    # Its log does not meet the leader's yet: only the epoch is on its disk.
                    unlogged = confirmed._replace(logged=state.logged)
                    found.append((f"ConfirmUnlogged({replica}, {voter})", unlogged))
        for voter in state.confirmed[replica]:
            lapsed = state._replace(
                confirmed=put(state.confirmed, replica, state.confirmed[replica] - {voter}),
                backs=put(state.backs, voter, state.backs[voter] - {replica}),
            )
            found.append((f"LapseConfirmed({replica}, {voter})", lapsed))
        if state.promise[replica] and not state.backs[replica]:
            free = state._replace(promise=put(state.promise, replica, False))
            found.append((f"LapsePromise({replica})", free))
        return found

    def confirm(state: Spec, leader: int, voter: int) -> Spec:
        if state.epoch[voter] < state.epoch[leader]:
            state = enter_epoch(state, voter, state.epoch[leader])
        return state._replace(
            follows=put(state.follows, voter, leader),
            logged=put(state.logged, voter, (leader, state.epoch[leader])),
            before=put(state.before, voter, NOBODY),
            promise=put(state.promise, voter, True),
            backs=put(state.backs, voter, state.backs[voter] | {leader}),
            confirmed=put(state.confirmed, leader, state.confirmed[leader] | {voter}),
        )

    def hand_overs(state: Spec, replica: int) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        if state.leads[replica] and state.hand_overs_left:
            for successor in set(range(REPLICAS)) - {replica}:
                message = (state.epoch[replica], replica, successor)
                sent = state._replace(
                    hand_overs=state.hand_overs | {message},
                    hand_overs_left=state.hand_overs_left - 1,
                )
                if rules.stops_before_hand_over:
                    sent = sent._replace(
                        leads=put(sent.leads, replica, False),
                        confirmed=put(sent.confirmed, replica, frozenset()),
                        backs=tuple(leaders - {replica} for leaders in sent.backs),
                    )
                found.append((f"HandOver({replica}, {successor})", sent))
        for message in state.hand_overs:
            epoch, leader, successor = message
            current = (epoch, leader) == (state.epoch[replica], state.follows[replica])
            follows_it = current or not rules.hand_over_is_of_this_epoch
            if successor == replica and follows_it and state.epoch[replica] < bounds.epochs:
                taken = state._replace(hand_overs=state.hand_overs - {message})
                found.append((f"TakeOver({replica})", campaign(taken, replica, True)))
        return found

    def restarts(state: Spec, replica: int) -> list[tuple[str, Spec]]:
        if not state.restarts_left:
            return []
        leader, epoch = state.logged[replica]
        is_sure = epoch == state.epoch[replica] or not rules.disk_is_sure
        restarted = state._replace(
            before=put(state.before, replica, leader if is_sure else NOBODY),
            candidate=put(state.candidate, replica, False),
            leads=put(state.leads, replica, False),
            follows=put(state.follows, replica, NOBODY),
            confirmed=put(state.confirmed, replica, frozenset()),
            backs=tuple(leaders - {replica} for leaders in state.backs),
            # Whether it confirmed is not on its disk: it sticks for a whole term, as if it had.
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
            "one_may_act": lambda state: len(acting(Spec(**state))) <= 1,
        },
    )
