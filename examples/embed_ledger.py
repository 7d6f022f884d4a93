"""Three ledger replicas in one process elect a leader and commit commands."""

from __future__ import annotations

import random

from stileloom.effects import Send
from stileloom.ledger import Applied, LedgerReplica, Persist, ReplicaRole, empty_ledger
from stileloom.ledger.commands import RaiseConfigurationFloor, Voter


def main() -> None:
    """Delivers messages between three replicas in a loop instead of over sockets and disks."""
    voters = [Voter(name, f"disk-{name}") for name in ("red", "green", "blue")]
    replicas = {
        voter.node_id: LedgerReplica(voter, empty_ledger(voters), random.Random(number), 0.0)
        for number, voter in enumerate(voters)
    }
    applied = 0
    proposed = 0
    now = 0.0
    while applied < 5:
        now += 0.05
        pending = []
        for name, replica in replicas.items():
            pending += [(name, effect) for effect in replica.tick(now)]
            if replica.role is ReplicaRole.LEADER and proposed < 5:
                proposed += 1
                effects = replica.propose(now, RaiseConfigurationFloor(proposed), proposed)
                pending += [(name, effect) for effect in effects]
        while pending:
            name, effect = pending.pop(0)
            if isinstance(effect, Send):
                replies = replicas[effect.to].handle(now, name, effect.message)
                pending += [(effect.to, reply) for reply in replies]
            elif isinstance(effect, Persist):
                # A real driver writes to disk first.
                effects = replicas[name].persisted(now, effect.write_id)
                pending += [(name, effect) for effect in effects]
            elif isinstance(effect, Applied):
                applied += 1
    leader = next(r for r in replicas.values() if r.role is ReplicaRole.LEADER)
    print("floor:", leader.state.configuration_floor)


if __name__ == "__main__":
    main()
