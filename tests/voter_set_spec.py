"""Specification of the first voter set: nodes join one record, and any of them may seal it early.

Time is not modelled: a node that has joined may seal at any moment, which covers every wait.
Actions:

    Read        a node reads the record
    Join        it adds its disk, by compare-and-swap on what it read
    Seal        it makes the voters that have joined the initial set, by compare-and-swap
    Agree       it has read a sealed record and starts its ledger with that set
    LoseDisk    it starts again with an empty disk before it has agreed

Invariants: only one set is ever sealed; every node agrees on it; it is not empty.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from tests.ledger_spec import put

NODES = 3
REPLACED_NODE = 0
"""The node that may lose its disk; the nodes are alike, and one keeps the state space small."""
Disk = tuple[int, int]
"""A node and the number of its disk."""
Record = tuple[int, int, tuple[Disk, ...]]
"""Revision, target count, voters."""


class State(NamedTuple):
    """One state. Tuples are indexed by node."""

    record: Record
    reads: tuple[Record | None, ...]
    agreed: tuple[tuple[Disk, ...] | None, ...]
    disks: tuple[int, ...]
    sealed_sets: tuple[tuple[Disk, ...], ...]
    """All sets that were ever sealed."""


class Rules(NamedTuple):
    """Parts of the protocol; the checker must refute it without any one of them."""

    writes_compare_revisions: bool = True
    """A write fails if the record has changed since it was read."""
    sealed_record_is_final: bool = True
    """A node that has read a sealed record does not join it."""


EMPTY: Record = (0, NODES, ())


def is_sealed(record: Record) -> bool:
    """Whether the record is the initial voter set."""
    return len(record[2]) >= record[1]


def make_voter_set_protocol(rules: Rules) -> Protocol:
    """The protocol under these rules."""

    def write(state: State, node: int, read: Record, target: int, voters: tuple) -> State | None:
        if rules.writes_compare_revisions and read[0] != state.record[0]:
            return None
        record = (state.record[0] + 1, target, voters)
        sealed = state.sealed_sets
        if is_sealed(record):
            sealed = tuple(sorted({*sealed, voters}))
        return state._replace(record=record, reads=put(state.reads, node, None), sealed_sets=sealed)

    def transitions(raw: tuple) -> list[tuple[str, tuple]]:
        state = State(*raw)
        found: list[tuple[str, State | None]] = []
        for node in range(NODES):
            if state.agreed[node] is not None:
                continue
            read = state.reads[node]
            if read != state.record:
                found.append(
                    (f"Read({node})", state._replace(reads=put(state.reads, node, state.record)))
                )
            if read is not None:
                found += steps_after_read(state, node, read)
            if node == REPLACED_NODE and state.disks[node] == 0:
                lost = state._replace(
                    disks=put(state.disks, node, 1), reads=put(state.reads, node, None)
                )
                found.append((f"LoseDisk({node})", lost))
        return [(name, tuple(after)) for name, after in found if after is not None]

    def steps_after_read(state: State, node: int, read: Record) -> list[tuple[str, State | None]]:
        disk = (node, state.disks[node])
        _, target, voters = read
        if is_sealed(read) and rules.sealed_record_is_final:
            return [(f"Agree({node})", state._replace(agreed=put(state.agreed, node, voters)))]
        if disk not in voters:
            others = tuple(voter for voter in voters if voter[0] != node)
            joined = tuple(sorted((*others, disk)))
            return [(f"Join({node})", write(state, node, read, target, joined))]
        if is_sealed(read):
            return [(f"Agree({node})", state._replace(agreed=put(state.agreed, node, voters)))]
        return [(f"Seal({node})", write(state, node, read, len(voters), voters))]

    def agreed_on_the_sealed_set(raw: dict) -> bool:
        return all(voters is None or (voters,) == raw["sealed_sets"] for voters in raw["agreed"])

    return Protocol(
        name="voter_set",
        candidate=False,
        fields=State._fields,
        initial=tuple(State(EMPTY, (None,) * NODES, (None,) * NODES, (0,) * NODES, ())),
        transitions=transitions,
        invariants={
            "one_set_is_sealed": lambda raw: len(raw["sealed_sets"]) <= 1,
            "nodes_agree_on_it": agreed_on_the_sealed_set,
            "it_has_voters": lambda raw: all(raw["sealed_sets"]),
        },
    )
