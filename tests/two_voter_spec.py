"""A small specification of the two-voter rule: who may go on once a disk is proved lost.

Nodes 0 and 1 remain when node 2 is emptied (entry `CHANGE`). An entry of a log is the epoch
that wrote it, and whether it is the change of the voter set. Actions are named after the code:

    StartElection, VoteReply, BecomeLeader, Append, AppendRequest, Commit   as in `ledger_spec`
    ChangeVoters     the leader takes node 2 out of the voter set
    LearnCommit      a follower learns that the change is committed
    RemovalFinished  node 2 is told to be empty; its machine and disk are gone from then on
    Restart          a node loses its memory; its disk stays
    LoseDisk         a node comes back with an empty disk: it is another voter
    DiskProved       a node learns that another's disk is lost

Invariants: at most one leader in an epoch; a committed entry is never lost; and as long as at
most one disk was lost, somebody can be elected once all others answer.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from tests.ledger_spec import put

NODES = 3
LEAVER = 2
NOBODY = -1
EVERYBODY = (0, 1, 2)
REMAINING = (0, 1)
Entry = tuple[int, bool]
Log = tuple[Entry, ...]


class Spec(NamedTuple):
    """One state. Tuples are indexed by node."""

    epochs: tuple[int, ...]
    votes: tuple[int, ...]
    logs: tuple[Log, ...]
    leaders: tuple[int, ...]
    """By epoch, the node that leads it."""
    second_leader: bool
    committed: Log
    lost: bool
    """A leader was elected whose log lacks what was committed."""
    knows: tuple[bool, ...]
    """Whether the node knows that the change of the voter set is committed."""
    proofs: tuple[tuple[int, ...], ...]
    """By node, the nodes whose disks it holds for lost."""
    wiped: tuple[bool, ...]
    removed: bool
    candidates: tuple[bool, ...]
    """Who asks for votes; a restart ends it."""


class Rules(NamedTuple):
    """The rule's parts; the checker must refute the protocol without any of them."""

    commit_index_is_durable: bool = True
    """A restarted node still knows which change was committed."""
    asks_previous_set: bool = True
    """While the change is not known committed, the set before it decides as well."""
    waits_for_commit: bool = True
    """A node decides alone only where it knows that the change is committed."""
    proofs_are_fresh: bool = True
    """A proof of another life of the node proves nothing."""
    leaver_votes: bool = True
    """A node that a change leaves out goes on to give votes."""
    removal_waits: bool = True
    """The removal is finished only when both remaining nodes know of the commit."""


class Bounds(NamedTuple):
    """How far the states are explored."""

    max_epoch: int = 2
    max_log: int = 2


def initial_state(bounds: Bounds) -> Spec:
    """Node 0 leads the first epoch; nothing is written."""
    return Spec(
        epochs=(1, 1, 1),
        votes=(0, 0, 0),
        logs=((), (), ()),
        leaders=(NOBODY, 0, *(NOBODY,) * (bounds.max_epoch - 1)),
        second_leader=False,
        committed=(),
        lost=False,
        knows=(False,) * NODES,
        proofs=((),) * NODES,
        wiped=(False,) * NODES,
        removed=False,
        candidates=(False,) * NODES,
    )


def changed(log: Log) -> bool:
    """Whether the log holds the change of the voter set."""
    return any(change for _, change in log)


def up_to_date(candidate: Log, voter: Log) -> bool:
    """Raft, section 5.4.1."""
    last = lambda log: log[-1][0] if log else 0  # noqa: E731
    return (last(candidate), len(candidate)) >= (last(voter), len(voter))


def electorates(rules: Rules, log: Log, knows: bool, proofs: tuple[int, ...]) -> list[tuple]:
    """The sets of which each needs a majority, at a node with this log and these beliefs."""
    if not changed(log):
        return [EVERYBODY]
    alone = tuple(node for node in REMAINING if node not in proofs)
    if len(alone) != 1:
        return [REMAINING]
    if knows or not rules.waits_for_commit:
        return [alone]
    return [alone, EVERYBODY] if rules.asks_previous_set else [REMAINING]


def make_two_voter_protocol(bounds: Bounds, rules: Rules) -> Protocol:
    """The protocol under these rules."""

    def agreed(sets: list[tuple], nodes: set[int]) -> bool:
        return all(2 * len(nodes.intersection(members)) > len(members) for members in sets)

    def sets_of(state: Spec, node: int) -> list[tuple]:
        return electorates(rules, state.logs[node], state.knows[node], state.proofs[node])

    def lives(state: Spec, node: int) -> bool:
        return not state.wiped[node] and not (node == LEAVER and state.removed)

    def votes(state: Spec, node: int) -> bool:
        """Whether the node gives votes: one that a change leaves out goes on to."""
        left = node == LEAVER and changed(state.logs[node]) and not rules.leaver_votes
        return lives(state, node) and not left

    def campaigns(state: Spec, node: int, proofs: tuple[int, ...]) -> bool:
        """Whether the node asks for votes.

        One that knows that it is out does so only where a remaining disk is lost: its log may
        be the longest that is left.
        """
        left = node == LEAVER and changed(state.logs[node]) and state.knows[node]
        return votes(state, node) and not (left and not proofs)

    def transitions(raw: tuple) -> list[tuple[str, tuple]]:
        state = Spec(*raw)
        found: list[tuple[str, tuple]] = []
        for node in range(NODES):
            if lives(state, node):
                found += elections(state, node) + leading(state, node) + beliefs(state, node)
                if not any(state.wiped):
                    found.append((f"LoseDisk({node})", tuple(lose_disk(state, node))))
        known = all(state.knows[node] for node in REMAINING)
        some = any(state.knows[node] for node in REMAINING)
        if not state.removed and (known if rules.removal_waits else some):
            found.append(("RemovalFinished", tuple(state._replace(removed=True))))
        return found

    def elections(state: Spec, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        epoch = state.epochs[node]
        if campaigns(state, node, state.proofs[node]) and epoch < bounds.max_epoch:
            started = state._replace(
                epochs=put(state.epochs, node, epoch + 1),
                votes=put(state.votes, node, node),
                candidates=put(state.candidates, node, True),
            )
            found.append((f"StartElection({node})", tuple(started)))
        for voter in range(NODES):
            free = state.epochs[voter] < epoch
            if voter != node and free and state.candidates[node] and votes(state, voter):
                granted = put(state.votes, voter, node)
                if up_to_date(state.logs[node], state.logs[voter]):
                    followed = state._replace(
                        epochs=put(state.epochs, voter, epoch),
                        votes=granted,
                        candidates=put(state.candidates, voter, False),
                    )
                    found.append((f"VoteReply({voter},{node})", tuple(followed)))
        granters = {
            voter
            for voter in range(NODES)
            if state.epochs[voter] == epoch and state.votes[voter] == node and lives(state, voter)
        }
        if state.candidates[node] and agreed(sets_of(state, node), granters):
            holds = state.logs[node][: len(state.committed)] == state.committed
            led = state._replace(
                leaders=put(state.leaders, epoch, node),
                second_leader=state.second_leader or state.leaders[epoch] != NOBODY,
                lost=state.lost or not holds,
                candidates=put(state.candidates, node, False),
            )
            found.append((f"BecomeLeader({node})", tuple(led)))
        return found

    def leading(state: Spec, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        epoch, log = state.epochs[node], state.logs[node]
        if state.leaders[epoch] != node:
            return found
        if len(log) < bounds.max_log:
            grown = put(state.logs, node, (*log, (epoch, False)))
            found.append((f"Append({node})", tuple(state._replace(logs=grown))))
            # Raft: a leader changes the set only once an entry of its epoch is committed.
            settled = bool(log) and state.committed == log and log[-1][0] == epoch
            if settled and not changed(log) and node != LEAVER:
                grown = put(state.logs, node, (*log, (epoch, True)))
                found.append((f"ChangeVoters({node})", tuple(state._replace(logs=grown))))
        for follower in range(NODES):
            if follower != node and lives(state, follower) and state.epochs[follower] <= epoch:
                taken = state._replace(
                    epochs=put(state.epochs, follower, epoch),
                    votes=put(
                        state.votes,
                        follower,
                        state.votes[follower] if state.epochs[follower] == epoch else NOBODY,
                    ),
                    logs=put(state.logs, follower, log),
                    candidates=put(state.candidates, follower, False),
                )
                if taken != state:
                    found.append((f"AppendRequest({node},{follower})", tuple(taken)))
        found += commits(state, node, epoch, log)
        return found

    def commits(state: Spec, node: int, epoch: int, log: Log) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        for length in range(len(state.committed) + 1, len(log) + 1):
            holders = {
                other
                for other in range(NODES)
                if lives(state, other) and state.logs[other][:length] == log[:length]
            }
            if log[length - 1][0] == epoch and agreed(sets_of(state, node), holders):
                knows = state.knows[node] or changed(log[:length])
                done = state._replace(committed=log[:length], knows=put(state.knows, node, knows))
                found.append((f"Commit({node},{length})", tuple(done)))
        return found

    def beliefs(state: Spec, node: int) -> list[tuple[str, tuple]]:
        found: list[tuple[str, tuple]] = []
        leader = state.leaders[state.epochs[node]]
        held = state.logs[node][: len(state.committed)] == state.committed
        told = leader not in (NOBODY, node) and lives(state, leader) and state.knows[leader]
        if told and held and changed(state.logs[node]) and not state.knows[node]:
            learned = state._replace(knows=put(state.knows, node, True))
            found.append((f"LearnCommit({node})", tuple(learned)))
        for other in REMAINING:
            proved = state.wiped[other] or not rules.proofs_are_fresh
            if other != node and proved and other not in state.proofs[node]:
                proofs = put(state.proofs, node, (*state.proofs[node], other))
                found.append((f"DiskProved({node},{other})", tuple(state._replace(proofs=proofs))))
        restarted = restart(state, node)
        if restarted != state:
            found.append((f"Restart({node})", tuple(restarted)))
        return found

    def restart(state: Spec, node: int) -> Spec:
        knows = state.knows[node] and rules.commit_index_is_durable
        leads = state.leaders[state.epochs[node]] == node
        return state._replace(
            knows=put(state.knows, node, knows),
            proofs=put(state.proofs, node, ()),
            candidates=put(state.candidates, node, False),
            leaders=put(state.leaders, state.epochs[node], LEFT) if leads else state.leaders,
        )

    def lose_disk(state: Spec, node: int) -> Spec:
        gone = restart(state, node)
        return gone._replace(
            logs=put(gone.logs, node, ()),
            knows=put(gone.knows, node, False),
            wiped=put(gone.wiped, node, True),
            votes=tuple(LEFT if vote == node else vote for vote in gone.votes),
        )

    def somebody_can_lead(raw: dict) -> bool:
        state = Spec(*(raw[field] for field in Spec._fields))
        wiped = tuple(node for node in REMAINING if state.wiped[node])
        for node in range(NODES):
            proofs = tuple(other for other in wiped if other != node)
            if not campaigns(state, node, proofs):
                continue
            sets = electorates(rules, state.logs[node], state.knows[node], proofs)
            granters = {
                voter
                for voter in range(NODES)
                if votes(state, voter) and up_to_date(state.logs[node], state.logs[voter])
            }
            if agreed(sets, granters):
                return True
        return False

    return Protocol(
        name="two_voters",
        candidate=False,
        fields=Spec._fields,
        initial=tuple(initial_state(bounds)),
        transitions=transitions,
        invariants={
            "one_leader_an_epoch": lambda state: not state["second_leader"],
            "committed_is_never_lost": lambda state: not state["lost"],
            "somebody_can_lead": somebody_can_lead,
        },
    )


LEFT = -2
"""A leader that lost its memory or its disk: its epoch has no leader again, but had one."""
