"""Specification of the ledger: epochs, votes with disk identities, commits.

There are three voters and one spare disk that may replace a lost one. A log entry is represented
by the epoch that wrote it. Actions:

    StartElection   a voter raises its epoch and votes for itself (durable)
    VoteReply       a voter grants its vote in an epoch
    BecomeLeader    a candidate has the votes of a majority of the voter set
    Append          the leader adds an entry of its epoch
    AppendRequest   a follower copies the leader's log up to some length (durable)
    LearnEpoch      a node receives a higher epoch
    Commit          an entry of the leader's epoch is stored on a majority
    LoseDisk        a voter's disk is replaced: its identity is not in the voter set
    ChangeVoters    the leader removes the lost identity, then adds the new one

Invariants: at most one leader per epoch, and a committed entry is never lost.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

NODES = 3
NO_NODE = -1
LOST_IDENTITY = -2


class State(NamedTuple):
    """One state. Tuples are indexed by node."""

    epochs: tuple[int, ...]
    votes: tuple[int, ...]
    """The node that each node voted for in its epoch."""
    logs: tuple[tuple[int, ...], ...]
    leaders: tuple[int, ...]
    """By epoch, the node that leads it."""
    second_leader: bool
    """Two leaders were elected in one epoch."""
    committed: tuple[int, ...]
    """The longest log prefix committed so far."""
    committed_lost: bool
    """A leader was elected whose log lacks committed entries."""
    disk_lost: tuple[bool, ...]
    """The node's disk was replaced and its identity is not in the voter set."""
    losses: int
    """How many disks were lost so far."""
    candidates: tuple[bool, ...]
    """Nodes with an election in progress; it ends when the node follows a leader."""


class Bounds(NamedTuple):
    """Limits of the explored state space."""

    max_epoch: int = 2
    max_log: int = 2
    max_losses: int = 1


def initial_state(bounds: Bounds) -> State:
    """Three voters with empty logs."""
    return State(
        epochs=(0,) * NODES,
        votes=(NO_NODE,) * NODES,
        logs=((),) * NODES,
        leaders=(NO_NODE,) * (bounds.max_epoch + 1),
        second_leader=False,
        committed=(),
        committed_lost=False,
        disk_lost=(False,) * NODES,
        losses=0,
        candidates=(False,) * NODES,
    )


def put(values: tuple, index: int, value: object) -> tuple:
    """A copy of the tuple with one element replaced."""
    return (*values[:index], value, *values[index + 1 :])


def up_to_date(candidate: tuple[int, ...], voter: tuple[int, ...]) -> bool:
    """Whether the candidate's log is at least as up-to-date (Raft, section 5.4.1)."""
    last = lambda log: log[-1] if log else 0  # noqa: E731
    return (last(candidate), len(candidate)) >= (last(voter), len(voter))


def make_ledger_protocol(
    bounds: Bounds, amnesia: bool = False, count_only_own_epoch: bool = True
) -> Protocol:
    """The protocol, or a faulty variant that the checker must refute.

    `amnesia` lets a node vote after its disk was replaced; without `count_only_own_epoch` a leader
    commits entries of earlier epochs by counting replicas.
    """

    def may_vote(state: State, node: int) -> bool:
        return amnesia or not state.disk_lost[node]

    def transitions(raw: tuple) -> list[tuple[str, tuple]]:
        state = State(*raw)
        found: list[tuple[str, tuple]] = []
        for node in range(NODES):
            found += elections(state, node)
            found += leader_actions(state, node)
            found += learn_epochs(state, node)
            if state.losses < bounds.max_losses:
                found.append((f"LoseDisk({node})", lose_disk(state, node)))
        return found

    def elections(state: State, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        epoch = state.epochs[node]
        if may_vote(state, node) and epoch < bounds.max_epoch:
            started = state._replace(
                epochs=put(state.epochs, node, epoch + 1),
                votes=put(state.votes, node, node),
                candidates=put(state.candidates, node, True),
            )
            found.append((f"StartElection({node})", tuple(started)))
        for voter in range(NODES):
            if voter != node and may_vote(state, voter):
                found += votes_for(state, node, voter)
        votes = sum(
            1
            for voter in range(NODES)
            if state.epochs[voter] == epoch and state.votes[voter] == node
        )
        if votes * 2 > NODES and state.candidates[node] and state.leaders[epoch] != node:
            has_committed = state.logs[node][: len(state.committed)] == state.committed
            elected = state._replace(
                leaders=put(state.leaders, epoch, node),
                second_leader=state.second_leader or state.leaders[epoch] != NO_NODE,
                committed_lost=state.committed_lost or not has_committed,
                candidates=put(state.candidates, node, False),
            )
            found.append((f"BecomeLeader({node})", tuple(elected)))
        return found

    def votes_for(state: State, node: int, voter: int) -> list[tuple[str, tuple]]:
        """Votes for a candidate in its epoch, or for its delayed request of an earlier epoch."""
        found: list[tuple[str, tuple]] = []
        voted_for_self = state.votes[node] == node
        for epoch in range(max(1, state.epochs[voter]), state.epochs[node] + 1):
            if epoch == state.epochs[node] and not voted_for_self:
                continue
            newer = state.epochs[voter] < epoch
            may_grant = newer or state.votes[voter] in (NO_NODE, node)
            if may_grant and up_to_date(state.logs[node], state.logs[voter]):
                granted = state._replace(
                    epochs=put(state.epochs, voter, epoch),
                    votes=put(state.votes, voter, node),
                    candidates=put(state.candidates, voter, state.candidates[voter] and not newer),
                )
                if granted != state:
                    found.append((f"VoteReply({voter},{node})", tuple(granted)))
        return found

    def leader_actions(state: State, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        epoch = state.epochs[node]
        if not epoch or state.leaders[epoch] != node:
            return found
        log = state.logs[node]
        if len(log) < bounds.max_log:
            appended = state._replace(logs=put(state.logs, node, (*log, epoch)))
            found.append((f"Append({node})", tuple(appended)))
        for follower in range(NODES):
            if follower != node and state.epochs[follower] <= epoch:
                found += appends(state, node, follower)
        found += commits(state, node, log, epoch)
        found += voter_changes(state, node, log)
        return found

    def appends(state: State, node: int, follower: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        epoch, log = state.epochs[node], state.logs[node]
        vote = state.votes[follower] if state.epochs[follower] == epoch else NO_NODE
        for length in range(len(log) + 1):
            old_log = state.logs[follower]
            new_log = old_log if old_log[:length] == log[:length] else log[:length]
            followed = state._replace(
                epochs=put(state.epochs, follower, epoch),
                votes=put(state.votes, follower, vote),
                logs=put(state.logs, follower, new_log),
                candidates=put(state.candidates, follower, False),
            )
            if followed != state:
                found.append((f"AppendRequest({node},{follower})", tuple(followed)))
        return found

    def learn_epochs(state: State, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        for epoch in {other for other in state.epochs if other > state.epochs[node]}:
            updated = state._replace(
                epochs=put(state.epochs, node, epoch),
                votes=put(state.votes, node, NO_NODE),
                candidates=put(state.candidates, node, False),
            )
            found.append((f"LearnEpoch({node})", tuple(updated)))
        return found

    def commits(
        state: State, node: int, log: tuple[int, ...], epoch: int
    ) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        for length in range(len(state.committed) + 1, len(log) + 1):
            holders = sum(
                1
                for other in range(NODES)
                if may_vote(state, other) and state.logs[other][:length] == log[:length]
            )
            committable = log[length - 1] == epoch or not count_only_own_epoch
            if holders * 2 > NODES and committable:
                advanced = state._replace(committed=log[:length])
                found.append((f"Commit({node},{length})", tuple(advanced)))
        return found

    def voter_changes(state: State, node: int, log: tuple[int, ...]) -> list[tuple[str, tuple]]:
        """Adds the new identity of a node that lost its disk, once it has the leader's log.

        The lost identity is removed before. Committing that removal takes both remaining voters,
        so both follow this leader in its epoch and have its log.
        """
        found: list[tuple[str, tuple]] = []
        epoch = state.epochs[node]
        log_committed = bool(log) and state.committed == log and log[-1] == epoch
        remaining = [voter for voter in range(NODES) if not state.disk_lost[voter]]
        settled = log_committed and all(
            state.epochs[voter] == epoch
            and not state.candidates[voter]
            and state.logs[voter] == log
            for voter in remaining
        )
        for other in range(NODES):
            if settled and state.disk_lost[other] and state.logs[other] == log:
                added = state._replace(disk_lost=put(state.disk_lost, other, False))
                found.append((f"ChangeVoters({node},{other})", tuple(added)))
        return found

    def lose_disk(state: State, node: int) -> tuple:
        leaders = tuple(NO_NODE if leader == node else leader for leader in state.leaders)
        # Votes name a disk identity, so votes for the lost one no longer count.
        votes = tuple(LOST_IDENTITY if vote == node else vote for vote in state.votes)
        votes = votes if not amnesia else state.votes
        return tuple(
            state._replace(
                epochs=put(state.epochs, node, 0),
                votes=put(votes, node, NO_NODE),
                logs=put(state.logs, node, ()),
                leaders=leaders if not amnesia else state.leaders,
                disk_lost=put(state.disk_lost, node, True),
                candidates=put(state.candidates, node, False),
                losses=state.losses + 1,
            )
        )

    return Protocol(
        name="ledger",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial_state(bounds)),
        transitions=transitions,
        invariants={
            "one_leader_per_epoch": lambda state: not state["second_leader"],
            "committed_entries_survive": lambda state: not state["committed_lost"],
        },
    )
