"""Three members in one process; one stops responding and is declared dead."""

from __future__ import annotations

import random

from stileloom.effects import Send, SendToAddress
from stileloom.membership import Member, Membership, Seed


def main() -> None:
    """Delivers messages between three `Membership` instances in a loop instead of over sockets."""
    names = ["red", "green", "blue"]
    memberships = {}
    for port, name in enumerate(names, start=1):
        member = Member(name, "zone", "region", "127.0.0.1", port, 0, incarnation=1)
        memberships[name] = Membership(member, [Seed("127.0.0.1", 1)], random.Random(port))
    by_port = dict(enumerate(names, start=1))
    unresponsive: set[str] = set()
    now = 0.0
    while now < 20.0:
        if now > 8.0:
            unresponsive.add("blue")
        pending = []
        for name, membership in memberships.items():
            pending += (
                [(name, effect) for effect in membership.tick(now)]
                if name not in unresponsive
                else []
            )
        while pending:
            sender, effect = pending.pop()
            target = effect.to if isinstance(effect, Send) else None
            if isinstance(effect, SendToAddress):
                target = by_port[effect.port]
            if target is None or target in unresponsive or sender in unresponsive:
                continue
            replies = memberships[target].handle(now, sender, effect.message)
            pending += [(target, reply) for reply in replies]
        now += 0.1
    alive = sorted(member.node_id for member in memberships["red"].alive())
    print("alive:", ", ".join(alive))


if __name__ == "__main__":
    main()
