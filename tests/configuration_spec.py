"""Model of the configuration protocol for exhaustive checking.

One leader with a floor in the ledger, two readers, and one node that can renew with either.
Time is abstract: a lease is a flag that can be cleared at any step. Actions:

    Write              an operator stores the next revision
    Fetch              a reader's watch returns the stored revision
    GrantRequest       a reader requests a grant; the leader commits the floor, then grants
    Renew              the node adopts a reader's revision and obtains a lease
    Lapse              the node's lease from a reader expires
    LapseGrant         a reader's grant expires once the node has no lease from it
    RestartNode        the node loses its revision; it is then served only under a newer grant
    RestartReader      a reader loses its state
    NewLeader          the leader's in-memory state is lost; the floor remains in the ledger
    EarlierGrantsEnd   all grants of earlier leaders have expired or been renewed
    InForce            the leader declares the lowest revision confirmed by all grants

Invariants: the node never acts under a lease below a revision that was in force, and is never
served an older revision than before, including before a restart.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from tests.ledger_spec import put

READERS = 2


class Spec(NamedTuple):
    """State of the model. Tuples are indexed by reader."""

    stored: int
    floor: int
    fetched: tuple[int, ...]
    serving: tuple[int, ...]
    """Revision served by each reader."""
    grant: tuple[bool, ...]
    confirmed: tuple[int, ...]
    """Revision confirmed under each grant, as known to the leader; -1 if it knows of no grant."""
    earlier_grants: bool
    """Whether grants of an earlier leader may still be valid."""
    node: int
    """Revision of the node, or 0 if none."""
    leases: tuple[bool, ...]
    """Whether the node has a lease from each reader."""
    starting: tuple[bool, ...]
    """Whether each reader must renew its grant before it serves the node.

    In the model the node asks every reader; one answer under a new grant suffices.
    """
    in_force: int
    served: int
    """Highest revision ever served to the node."""
    reverted: bool
    """Whether the node was ever served an older revision than before."""


def make_configuration_protocol(
    max_revision: int = 2, commit_floor: bool = True, wait_for_new_grant: bool = True
) -> Protocol:
    """Returns the protocol, or a faulty variant that the checker must refute.

    Without `commit_floor` a grant does not raise the floor; without `wait_for_new_grant` a
    starting node is served under the reader's current grant.
    """
    initial = Spec(
        stored=1,
        floor=0,
        fetched=(0,) * READERS,
        serving=(0,) * READERS,
        grant=(False,) * READERS,
        confirmed=(-1,) * READERS,
        earlier_grants=False,
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
        # A reader below the floor pulls the floor revision before it serves.
        serving = max(held, floor)
        if serving:
            lowest = state.node if state.leases[reader] else serving
            granted = state._replace(
                floor=floor,
                grant=put(state.grant, reader, True),
                serving=put(state.serving, reader, serving),
                confirmed=put(state.confirmed, reader, min(lowest, serving)),
                starting=put(state.starting, reader, False),
            )
            found.append((f"GrantRequest({reader})", granted))
        if not state.leases[reader]:
            restarted = state._replace(
                fetched=put(state.fetched, reader, 0),
                serving=put(state.serving, reader, 0),
                grant=put(state.grant, reader, False),
            )
            found.append((f"RestartReader({reader})", restarted))
        return found

    def renewals(state: Spec, reader: int) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        waits = state.starting[reader] and wait_for_new_grant
        # A reader with an older revision than the node's does not issue it a lease.
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
            # A grant expires only after the last lease issued under it.
            ended = state._replace(
                grant=put(state.grant, reader, False), confirmed=put(state.confirmed, reader, -1)
            )
            found.append((f"LapseGrant({reader})", ended))
        return found

    def restarts(state: Spec) -> list[tuple[str, Spec]]:
        """Restarts the node, which loses its revision and leases; grants and `confirmed` remain."""
        if not state.node:
            return []
        restarted = state._replace(node=0, leases=(False,) * READERS, starting=(True,) * READERS)
        return [("RestartNode", restarted)]

    def leader_actions(state: Spec) -> list[tuple[str, Spec]]:
        found: list[tuple[str, Spec]] = []
        replaced = state._replace(confirmed=(-1,) * READERS, earlier_grants=True)
        found.append(("NewLeader", replaced))
        has_unknown_grant = any(
            state.grant[reader] and state.confirmed[reader] < 0 for reader in range(READERS)
        )
        if state.earlier_grants and not has_unknown_grant:
            found.append(("EarlierGrantsEnd", state._replace(earlier_grants=False)))
        confirmed = [value for value in state.confirmed if value >= 0]
        if not state.earlier_grants and confirmed:
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
            "node_never_acts_below_in_force": lambda state: (
                not any(state["leases"]) or state["node"] >= state["in_force"]
            ),
            "node_is_never_served_an_older_revision": lambda state: not state["reverted"],
        },
    )
