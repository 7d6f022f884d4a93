"""Three ledger replicas in one process elect a leader and commit commands."""

from __future__ import annotations

import random

from stileloom.effects import Send
from stileloom.ledger import Applied, LedgerReplica, Persist, ReplicaRole, empty_ledger
from stileloom.ledger.commands import RaiseConfigurationFloor, Voter


def main() -> None:
    """Drives three parts with a loop instead of sockets and disks."""
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
        waiting = []
        for name, replica in replicas.items():
            waiting += [(name, effect) for effect in replica.tick(now)]
            if replica.role is ReplicaRole.LEADER and proposed < 5:
                proposed += 1
                effects = replica.propose(now, RaiseConfigurationFloor(proposed), proposed)
                waiting += [(name, effect) for effect in effects]
        while waiting:
            name, effect = waiting.pop(0)
            if isinstance(effect, Send):
                replies = replicas[effect.to].handle(now, name, effect.message)
                waiting += [(effect.to, reply) for reply in replies]
            elif isinstance(effect, Persist):
                # A real driver writes to a disk first.
                released = replicas[name].persisted(now, effect.write_id)
                waiting += [(name, reply) for reply in released]
            elif isinstance(effect, Applied):
                applied += 1
    leader = next(r for r in replicas.values() if r.role is ReplicaRole.LEADER)
    print("floor:", leader.state.configuration_floor)


if __name__ == "__main__":
    main()
