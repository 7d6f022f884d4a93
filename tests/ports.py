"""Ports for programs that are told theirs: chosen by the kernel and held until the process ends.

A port that is given back at once may go to any other socket of the machine before the program
listens, or while it is down. So a socket stays bound to it, without listening; a listener that
sets SO_REUSEADDR, as those of asyncio and tornado do, may still bind it.
"""

from __future__ import annotations

import contextlib
import socket

LOOPBACK = "127.0.0.1"
TRIES = 50

_held: list[socket.socket] = []


def free_port(*hosts: str) -> int:
    """A port that is free on the loopback address and on `hosts`. Raises `OSError`."""
    for _ in range(TRIES):
        with contextlib.ExitStack() as taken:
            port = 0
            try:
                for host in (LOOPBACK, *hosts):
                    port = _bind(taken, host, port)
            except OSError:
                # Free on one address and taken on another: look on.
                continue
            taken.pop_all()
            return port
    raise OSError("no free port")


def _bind(taken: contextlib.ExitStack, host: str, port: int) -> int:
    holder = taken.enter_context(socket.socket())
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((host, port))
    _held.append(holder)
    return int(holder.getsockname()[1])
