"""Specification of the two-voter rule: who may lead once a disk is proved lost.

Nodes 0 and 1 remain when node 2 is removed from the voter set. A log entry is represented by the
epoch that wrote it and by whether it is the change of the voter set. Actions:

    StartElection, VoteReply, BecomeLeader, Append, AppendRequest, Commit   as in `ledger_spec`
    ChangeVoters     the leader removes node 2 from the voter set
    LearnCommit      a follower learns from the leader that the change is committed
    RemovalFinished  node 2 is decommissioned; its machine and disk no longer exist
    Restart          a node loses its memory but not its disk
    LoseDisk         a node restarts with an empty disk and is a different voter
    DiskProved       a node obtains proof that another node's disk is lost

Invariants: at most one leader per epoch; a committed entry is never lost; and a leader can be
elected as long as at most one disk was lost and all other nodes reply.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from tests.ledger_spec import put

NODES = 3
REMOVED_NODE = 2
NO_NODE = -1
ALL_NODES = (0, 1, 2)
REMAINING = (0, 1)
Entry = tuple[int, bool]
Log = tuple[Entry, ...]


class State(NamedTuple):
    """One state. Tuples are indexed by node."""

    epochs: tuple[int, ...]
    votes: tuple[int, ...]
    logs: tuple[Log, ...]
    leaders: tuple[int, ...]
    """By epoch, the node that leads it."""
    second_leader: bool
    committed: Log
    committed_lost: bool
    """A leader was elected whose log lacks committed entries."""
    knows_commit: tuple[bool, ...]
    """Whether the node knows that the change of the voter set is committed."""
    proofs: tuple[tuple[int, ...], ...]
    """By node, the nodes whose disks are proved lost to it."""
    disk_lost: tuple[bool, ...]
    removal_finished: bool
    """Node 2 is decommissioned."""
    candidates: tuple[bool, ...]
    """Nodes with an election in progress; a restart ends it."""


class Rules(NamedTuple):
    """Parts of the two-voter rule; the checker must refute the protocol without any one of them."""

    commit_index_is_durable: bool = True
    """The commit index survives a restart."""
    requires_previous_set: bool = True
    """Until the change is known to be committed, the previous set is required as well."""
    waits_for_commit: bool = True
    """A node decides alone only if it knows that the change is committed."""
    proofs_are_fresh: bool = True
    """Proofs about an earlier disk of the node are not accepted."""
    removed_node_votes: bool = True
    """A node removed by a change keeps granting votes."""
    removal_waits: bool = True
    """The removal finishes only when both remaining nodes know of the commit."""


class Bounds(NamedTuple):
    """Limits of the explored state space."""

    max_epoch: int = 2
    max_log: int = 2


def initial_state(bounds: Bounds) -> State:
    """Node 0 leads the first epoch; all logs are empty."""
    return State(
        epochs=(1, 1, 1),
        votes=(0, 0, 0),
        logs=((), (), ()),
        leaders=(NO_NODE, 0, *(NO_NODE,) * (bounds.max_epoch - 1)),
        second_leader=False,
        committed=(),
        committed_lost=False,
        knows_commit=(False,) * NODES,
        proofs=((),) * NODES,
        disk_lost=(False,) * NODES,
        removal_finished=False,
        candidates=(False,) * NODES,
    )


def has_voter_change(log: Log) -> bool:
    """Whether the log contains the voter set change."""
    return any(change for _, change in log)


def up_to_date(candidate: Log, voter: Log) -> bool:
    """Whether the candidate's log is at least as up-to-date (Raft, section 5.4.1)."""
    last = lambda log: log[-1][0] if log else 0  # noqa: E731
    return (last(candidate), len(candidate)) >= (last(voter), len(voter))


def quorum_sets(rules: Rules, log: Log, knows_commit: bool, proofs: tuple[int, ...]) -> list[tuple]:
    """The voter sets of which a node with this log needs a majority each."""
    if not has_voter_change(log):
        return [ALL_NODES]
    remaining = tuple(node for node in REMAINING if node not in proofs)
    if len(remaining) != 1:
        return [REMAINING]
    if knows_commit or not rules.waits_for_commit:
        return [remaining]
    return [remaining, ALL_NODES] if rules.requires_previous_set else [REMAINING]


def make_two_voter_protocol(bounds: Bounds, rules: Rules) -> Protocol:
    """The protocol under these rules."""

    def has_quorum(sets: list[tuple], nodes: set[int]) -> bool:
        return all(2 * len(nodes.intersection(members)) > len(members) for members in sets)

    def sets_of(state: State, node: int) -> list[tuple]:
        return quorum_sets(rules, state.logs[node], state.knows_commit[node], state.proofs[node])

    def is_alive(state: State, node: int) -> bool:
        return not state.disk_lost[node] and not (node == REMOVED_NODE and state.removal_finished)

    def grants_votes(state: State, node: int) -> bool:
        """Whether the node grants votes. A removed node does, unless the rule is switched off."""
        is_barred = (
            node == REMOVED_NODE
            and has_voter_change(state.logs[node])
            and not rules.removed_node_votes
        )
        return is_alive(state, node) and not is_barred

    def may_campaign(state: State, node: int, proofs: tuple[int, ...]) -> bool:
        """Whether the node may start an election.

        A node that knows that its removal is committed campaigns only if a remaining disk is lost:
        the other remaining node, with a shorter log, may need its vote and cannot get it.
        """
        knows_removal = (
            node == REMOVED_NODE and has_voter_change(state.logs[node]) and state.knows_commit[node]
        )
        return grants_votes(state, node) and not (knows_removal and not proofs)

    def transitions(raw: tuple) -> list[tuple[str, tuple]]:
        state = State(*raw)
        found: list[tuple[str, tuple]] = []
        for node in range(NODES):
            if is_alive(state, node):
                found += (
                    elections(state, node) + leader_actions(state, node) + local_events(state, node)
                )
                if not any(state.disk_lost):
                    found.append((f"LoseDisk({node})", tuple(lose_disk(state, node))))
        all_know = all(state.knows_commit[node] for node in REMAINING)
        any_knows = any(state.knows_commit[node] for node in REMAINING)
        if not state.removal_finished and (all_know if rules.removal_waits else any_knows):
            found.append(("RemovalFinished", tuple(state._replace(removal_finished=True))))
        return found

    def elections(state: State, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        epoch = state.epochs[node]
        if may_campaign(state, node, state.proofs[node]) and epoch < bounds.max_epoch:
            started = state._replace(
                epochs=put(state.epochs, node, epoch + 1),
                votes=put(state.votes, node, node),
                candidates=put(state.candidates, node, True),
            )
            found.append((f"StartElection({node})", tuple(started)))
        for voter in range(NODES):
            may_grant = state.epochs[voter] < epoch
            if (
                voter != node
                and may_grant
                and state.candidates[node]
                and grants_votes(state, voter)
            ):
                granted = put(state.votes, voter, node)
                if up_to_date(state.logs[node], state.logs[voter]):
                    followed = state._replace(
                        epochs=put(state.epochs, voter, epoch),
                        votes=granted,
                        candidates=put(state.candidates, voter, False),
                    )
                    found.append((f"VoteReply({voter},{node})", tuple(followed)))
        granting_nodes = {
            voter
            for voter in range(NODES)
            if state.epochs[voter] == epoch
            and state.votes[voter] == node
            and is_alive(state, voter)
        }
        if state.candidates[node] and has_quorum(sets_of(state, node), granting_nodes):
            has_committed = state.logs[node][: len(state.committed)] == state.committed
            elected = state._replace(
                leaders=put(state.leaders, epoch, node),
                second_leader=state.second_leader or state.leaders[epoch] != NO_NODE,
                committed_lost=state.committed_lost or not has_committed,
                candidates=put(state.candidates, node, False),
            )
            found.append((f"BecomeLeader({node})", tuple(elected)))
        return found

    def leader_actions(state: State, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        epoch, log = state.epochs[node], state.logs[node]
        if state.leaders[epoch] != node:
            return found
        if len(log) < bounds.max_log:
            appended = put(state.logs, node, (*log, (epoch, False)))
            found.append((f"Append({node})", tuple(state._replace(logs=appended))))
            # A leader changes the voter set only once an entry of its epoch is committed.
            settled = bool(log) and state.committed == log and log[-1][0] == epoch
            if settled and not has_voter_change(log) and node != REMOVED_NODE:
                appended = put(state.logs, node, (*log, (epoch, True)))
                found.append((f"ChangeVoters({node})", tuple(state._replace(logs=appended))))
        for follower in range(NODES):
            if follower != node and is_alive(state, follower) and state.epochs[follower] <= epoch:
                copied = state._replace(
                    epochs=put(state.epochs, follower, epoch),
                    votes=put(
                        state.votes,
                        follower,
                        state.votes[follower] if state.epochs[follower] == epoch else NO_NODE,
                    ),
                    logs=put(state.logs, follower, log),
                    candidates=put(state.candidates, follower, False),
                )
                if copied != state:
                    found.append((f"AppendRequest({node},{follower})", tuple(copied)))
        found += commits(state, node, epoch, log)
        return found

    def commits(state: State, node: int, epoch: int, log: Log) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        for length in range(len(state.committed) + 1, len(log) + 1):
            holders = {
                other
                for other in range(NODES)
                if is_alive(state, other) and state.logs[other][:length] == log[:length]
            }
            if log[length - 1][0] == epoch and has_quorum(sets_of(state, node), holders):
                knows_commit = state.knows_commit[node] or has_voter_change(log[:length])
                advanced = state._replace(
                    committed=log[:length], knows_commit=put(state.knows_commit, node, knows_commit)
                )
                found.append((f"Commit({node},{length})", tuple(advanced)))
        return found

    def local_events(state: State, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        leader = state.leaders[state.epochs[node]]
        has_committed = state.logs[node][: len(state.committed)] == state.committed
        notified = (
            leader not in (NO_NODE, node) and is_alive(state, leader) and state.knows_commit[leader]
        )
        if (
            notified
            and has_committed
            and has_voter_change(state.logs[node])
            and not state.knows_commit[node]
        ):
            learned = state._replace(knows_commit=put(state.knows_commit, node, True))
            found.append((f"LearnCommit({node})", tuple(learned)))
        for other in REMAINING:
            proved = state.disk_lost[other] or not rules.proofs_are_fresh
            if other != node and proved and other not in state.proofs[node]:
                proofs = put(state.proofs, node, (*state.proofs[node], other))
                found.append((f"DiskProved({node},{other})", tuple(state._replace(proofs=proofs))))
        restarted = restart(state, node)
        if restarted != state:
            found.append((f"Restart({node})", tuple(restarted)))
        return found

    def restart(state: State, node: int) -> State:
        knows_commit = state.knows_commit[node] and rules.commit_index_is_durable
        leads = state.leaders[state.epochs[node]] == node
        return state._replace(
            knows_commit=put(state.knows_commit, node, knows_commit),
            proofs=put(state.proofs, node, ()),
            candidates=put(state.candidates, node, False),
            leaders=put(state.leaders, state.epochs[node], FORMER_NODE) if leads else state.leaders,
        )

    def lose_disk(state: State, node: int) -> State:
        restarted = restart(state, node)
        return restarted._replace(
            logs=put(restarted.logs, node, ()),
            knows_commit=put(restarted.knows_commit, node, False),
            disk_lost=put(restarted.disk_lost, node, True),
            votes=tuple(FORMER_NODE if vote == node else vote for vote in restarted.votes),
        )

    def a_leader_can_be_elected(raw: dict) -> bool:
        state = State(*(raw[field] for field in State._fields))
        lost_disks = tuple(node for node in REMAINING if state.disk_lost[node])
        for node in range(NODES):
            proofs = tuple(other for other in lost_disks if other != node)
            if not may_campaign(state, node, proofs):
                continue
            sets = quorum_sets(rules, state.logs[node], state.knows_commit[node], proofs)
            granting_nodes = {
                voter
                for voter in range(NODES)
                if grants_votes(state, voter) and up_to_date(state.logs[node], state.logs[voter])
            }
            if has_quorum(sets, granting_nodes):
                return True
        return False

    return Protocol(
        name="two_voters",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial_state(bounds)),
        transitions=transitions,
        invariants={
            "one_leader_per_epoch": lambda state: not state["second_leader"],
            "committed_entries_survive": lambda state: not state["committed_lost"],
            "a_leader_can_be_elected": a_leader_can_be_elected,
        },
    )


FORMER_NODE = -2
"""Stands for a node that led or was voted for before it lost its memory or its disk.

Unlike `NO_NODE` it shows that the epoch has had a leader, or that the vote has been cast.
"""
