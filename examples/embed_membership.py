"""Three members in one process; one falls silent and is declared dead."""

from __future__ import annotations

import random

from stileloom.effects import Send, SendToAddress
from stileloom.membership import Member, Membership, Seed


def main() -> None:
    """Drives three parts with a loop instead of sockets."""
    names = ["red", "green", "blue"]
    tables = {}
    for port, name in enumerate(names, start=1):
        member = Member(name, "zone", "region", "127.0.0.1", port, 0, incarnation=1)
        tables[name] = Membership(member, [Seed("127.0.0.1", 1)], random.Random(port))
    by_port = dict(enumerate(names, start=1))
    silent: set[str] = set()
    now = 0.0
    while now < 20.0:
        if now > 8.0:
            silent.add("blue")
        waiting = []
        for name, table in tables.items():
            waiting += [(name, effect) for effect in table.tick(now)] if name not in silent else []
        while waiting:
            sender, effect = waiting.pop()
            target = effect.to if isinstance(effect, Send) else None
            if isinstance(effect, SendToAddress):
                target = by_port[effect.port]
            if target is None or target in silent or sender in silent:
                continue
            replies = tables[target].handle(now, sender, effect.message)
            waiting += [(target, reply) for reply in replies]
        now += 0.1
    alive = sorted(member.node_id for member in tables["red"].alive())
    print("alive:", ", ".join(alive))


if __name__ == "__main__":
    main()
