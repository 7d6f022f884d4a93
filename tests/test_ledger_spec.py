"""Checks the ledger's specification exhaustively, and traces of the code against it."""

from __future__ import annotations

import random
from typing import Any

import testtools
from minicheck import check_safety

from stileloom.effects import Effect, Send
from stileloom.ledger import LedgerReplica, Persist, empty_ledger
from stileloom.ledger.commands import RaiseConfigurationFloor, Voter
from stileloom.ledger.replica import ReplicaRole
from tests.ledger_spec import NO_NODE, NODES, Bounds, Spec, initial_state, make_ledger_protocol

MAX_STATES = 2_000_000
TRACE_STEPS = 400
PATH_LIMIT = 3


def holds(report: dict[str, Any]) -> dict[str, bool]:
    """Maps each invariant to whether it holds; the search must be exhaustive."""
    assert report["exhaustive"]
    return {name: found["holds"] for name, found in report["properties"].items()}


class LedgerSpecTest(testtools.TestCase):
    """The bounds and state counts are listed in docs/PROOFS.md."""

    def test_invariants_hold(self) -> None:
        report = check_safety(make_ledger_protocol(Bounds()), max_states=MAX_STATES)
        self.assertEqual(
            {"one_leader_per_epoch": True, "committed_entries_survive": True}, holds(report)
        )

    def test_a_vote_with_amnesia_is_refuted(self) -> None:
        protocol = make_ledger_protocol(Bounds(max_log=1), amnesia=True)
        report = check_safety(protocol, max_states=MAX_STATES)
        self.assertFalse(holds(report)["one_leader_per_epoch"])


class ReplicaCluster:
    """Three real replicas whose messages and timers are driven by a random scheduler."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.voters = [Voter(f"n{i}", f"disk-{i}") for i in range(NODES)]
        self.replicas = [
            LedgerReplica(voter, empty_ledger(self.voters), random.Random(seed + i), 0.0)
            for i, voter in enumerate(self.voters)
        ]
        self.in_flight: list[tuple[int, str, object]] = []
        self.leaders: dict[int, int] = {}
        self.second_leader = False
        self.committed: tuple[int, ...] = ()

    def execute(self, node: int, effects: list[Effect]) -> None:
        """Executes effects; writes are durable immediately, the simulator covers delayed ones."""
        pending = list(effects)
        while pending:
            effect = pending.pop(0)
            if isinstance(effect, Send):
                self.in_flight.append((int(effect.to[1:]), f"n{node}", effect.message))
            elif isinstance(effect, Persist):
                pending += self.replicas[node].persisted(self.now, effect.write_id)

    def step(self) -> None:
        """Fires a timer, proposes a command, or delivers, drops or duplicates a message."""
        choice = self.rng.random()
        if self.in_flight and choice < 0.75:
            index = self.rng.randrange(len(self.in_flight))
            target, sender, message = self.in_flight[index]
            if choice < 0.7:
                self.in_flight.pop(index)
            if choice > 0.05:
                self.execute(target, self.replicas[target].handle(self.now, sender, message))
            return
        node = self.rng.randrange(NODES)
        if choice < 0.8 and self.replicas[node].role is ReplicaRole.LEADER:
            command = RaiseConfigurationFloor(1)
            self.execute(node, self.replicas[node].propose(self.now, command, None))
            return
        self.now += self.rng.choice([0.05, 0.4])
        self.execute(node, self.replicas[node].tick(self.now))

    def log_of(self, replica: LedgerReplica) -> tuple[int, ...]:
        """The epochs of a replica's entries."""
        log = replica._log
        return tuple(log.entry(i).epoch for i in range(1, log.last_index + 1))

    def abstract(self, max_epoch: int) -> Spec:
        """The replicas' state as a state of the specification."""
        for node, replica in enumerate(self.replicas):
            if replica.role is ReplicaRole.LEADER:
                recorded = self.leaders.setdefault(replica.epoch, node)
                self.second_leader = self.second_leader or recorded != node
            if replica.commit_index > len(self.committed):
                self.committed = self.log_of(replica)[: replica.commit_index]
        index = {voter: i for i, voter in enumerate(self.voters)}
        return Spec(
            epochs=tuple(replica.epoch for replica in self.replicas),
            votes=tuple(
                index[r._voted_for] if r._voted_for is not None else NO_NODE for r in self.replicas
            ),
            logs=tuple(self.log_of(replica) for replica in self.replicas),
            leaders=tuple(self.leaders.get(epoch, NO_NODE) for epoch in range(max_epoch + 1)),
            second_leader=self.second_leader,
            committed=self.committed,
            committed_lost=False,
            disk_lost=(False,) * NODES,
            losses=0,
            candidates=tuple(r.role is ReplicaRole.CANDIDATE for r in self.replicas),
        )


class ConformanceTest(testtools.TestCase):
    """Each state change of the code is a short sequence of actions of the specification."""

    def test_traces_of_the_code_are_traces_of_the_specification(self) -> None:
        bounds = Bounds(max_epoch=30, max_log=60, max_losses=0)
        protocol = make_ledger_protocol(bounds)
        committed = 0
        for seed in range(6):
            cluster = ReplicaCluster(seed)
            before = initial_state(bounds)
            for _ in range(TRACE_STEPS):
                cluster.step()
                after = cluster.abstract(bounds.max_epoch)
                if after != before:
                    self.assertTrue(
                        reachable(protocol, before, after),
                        f"seed {seed}: no path\n{before}\n{after}",
                    )
                before = after
            committed += len(before.committed)
        self.assertGreater(committed, 20, "the traces committed too few entries")


def reachable(protocol: Any, before: Spec, after: Spec) -> bool:
    """Whether at most `PATH_LIMIT` actions lead from one state to the other."""
    frontier = {tuple(before)}
    for _ in range(PATH_LIMIT):
        frontier = {
            state
            for reached in frontier
            for _, state in protocol.transitions(reached)
            if is_compatible(before, Spec(*state), after)
        }
        if tuple(after) in frontier:
            return True
    return False


def is_compatible(before: Spec, state: Spec, after: Spec) -> bool:
    """Prunes the search: nodes that the step did not change must stay unchanged."""
    return all(
        state.epochs[node] == after.epochs[node] and state.logs[node] == after.logs[node]
        for node in range(NODES)
        if before.epochs[node] == after.epochs[node] and before.logs[node] == after.logs[node]
    )
