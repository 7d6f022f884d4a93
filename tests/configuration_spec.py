"""A small specification of configuration in force.

One leader with a floor in the ledger, two readers, and one node that may renew with either.
Time is abstract: a lease is a flag that may lapse at any step. Actions are named after the
code's messages:

    Write            an operator stores the next revision
    Fetch            a reader's watch brings the stored revision
    GrantRequest     a reader asks; the leader first commits the floor, then grants
    Renew            a node takes its reader's revision and a lease under it
    Lapse            a node's lease lapses (a reader's grant with it, where no node has one)
    RestartNode      a node forgets its revision; it is served under a newer grant only
    RestartReader    a reader forgets everything
    NewLeader        the leader's memory is gone; the floor is in the ledger
    InForce          the leader declares the lowest revision that all grants confirmed

Invariants: the node never acts under a lease below a revision that was in force, and is never
served less than it was served before, also in a life before a restart.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from tests.ledger_spec import put

READERS = 2


class Spec(NamedTuple):
    """One state. Tuples are indexed by reader."""

    stored: int
    floor: int
    fetched: tuple[int, ...]
    serving: tuple[int, ...]
    """The revision that a reader hands out."""
    grant: tuple[bool, ...]
    known: tuple[int, ...]
    """What the leader believes confirmed under each grant it gave; -1: no grant known."""
    blind: bool
    """Grants of an earlier leader may still last."""
    node: int
    """The node's revision, 0 for none."""
    leases: tuple[bool, ...]
    """By reader, whether the node has a lease from it."""
    starting: tuple[bool, ...]
    """By reader, whether it must renew its grant before it serves the node.

    The node asks every reader in the model; it is enough that one answered under a new grant.
    """
    in_force: int
    served: int
    """The highest revision that the node was ever served."""
    reverted: bool


def make_configuration_protocol(
    max_revision: int = 2, commit_floor: bool = True, wait_for_new_grant: bool = True
) -> Protocol:
    """The protocol, or one of two mutations that the checker must refute.

    Without `commit_floor` a grant does not raise the floor; without `wait_for_new_grant`
    a starting node is served under whatever grant its reader has.
    """
    initial = Spec(
        stored=1,
        floor=0,
        fetched=(0,) * READERS,
        serving=(0,) * READERS,
        grant=(False,) * READERS,
        known=(-1,) * READERS,
        blind=False,
        node=0,
        leases=(False,) * READERS,
        starting=(True,) * READERS,
        in_force=0,
        served=0,
        reverted=False,
    )

    def transitions(raw: tuple) -> list[tuple[str, tuple]]:
        state = Spec(*raw)
        found: list[tuple[str, Spec]] = []
        if state.stored < max_revision:
            found.append(("Write", state._replace(stored=state.stored + 1)))
        for reader in range(READERS):
            found += reader_actions(state, reader)
            found += renewals(state, reader)
        found += leader_actions(state)
        found += restarts(state)
        return [(label, tuple(after)) for label, after in found if after != state]

    def reader_actions(state: Spec, reader: int) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        fetched = state._replace(fetched=put(state.fetched, reader, state.stored))
        found.append((f"Fetch({reader})", fetched))
        held = max(state.fetched[reader], state.serving[reader])
        floor = max(state.floor, held) if commit_floor else state.floor
        # A reader below the floor pulls the floor's revision before it serves.
        serving = max(held, floor)
        if serving:
            lowest = state.node if state.leases[reader] else serving
            granted = state._replace(
                floor=floor,
                grant=put(state.grant, reader, True),
                serving=put(state.serving, reader, serving),
                known=put(state.known, reader, min(lowest, serving)),
                starting=put(state.starting, reader, False),
            )
            found.append((f"GrantRequest({reader})", granted))
        if not state.leases[reader]:
            gone = state._replace(
                fetched=put(state.fetched, reader, 0),
                serving=put(state.serving, reader, 0),
                grant=put(state.grant, reader, False),
            )
            found.append((f"RestartReader({reader})", gone))
        return found

    def renewals(state: Spec, reader: int) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        waits = state.starting[reader] and wait_for_new_grant
        # A reader below the node's revision gives it no lease.
        if state.grant[reader] and not waits and state.serving[reader] >= state.node:
            revision = state.serving[reader]
            renewed = state._replace(
                node=revision,
                leases=put(state.leases, reader, True),
                starting=(False,) * READERS,
                served=max(state.served, revision),
                reverted=state.reverted or revision < state.served,
            )
            found.append((f"Renew({reader})", renewed))
        if state.leases[reader]:
            lapsed = state._replace(leases=put(state.leases, reader, False))
            found.append((f"Lapse({reader})", lapsed))
        elif state.grant[reader]:
            # A grant ends after the last lease under it.
            ended = state._replace(
                grant=put(state.grant, reader, False), known=put(state.known, reader, -1)
            )
            found.append((f"LapseGrant({reader})", ended))
        return found

    def restarts(state: Spec) -> list[tuple[str, Spec]]:
        """The node forgets; what readers and leader believe of its leases stays."""
        if not state.node:
            return []
        restarted = state._replace(node=0, leases=(False,) * READERS, starting=(True,) * READERS)
        return [("RestartNode", restarted)]

    def leader_actions(state: Spec) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        forgot = state._replace(known=(-1,) * READERS, blind=True)
        found.append(("NewLeader", forgot))
        unknown = any(state.grant[reader] and state.known[reader] < 0 for reader in range(READERS))
        if state.blind and not unknown:
            found.append(("SeesAll", state._replace(blind=False)))
        confirmed = [value for value in state.known if value >= 0]
        if not state.blind and confirmed:
            declared = max(state.in_force, min(confirmed))
            found.append(("InForce", state._replace(in_force=declared)))
        return found

    return Protocol(
        name="configuration",
        candidate=False,
        fields=Spec._fields,
        initial=tuple(initial),
        transitions=transitions,
        invariants={
            "nobody_acts_below_in_force": lambda state: (
                not any(state["leases"]) or state["node"] >= state["in_force"]
            ),
            "nobody_is_served_less_than_before": lambda state: not state["reverted"],
        },
    )
