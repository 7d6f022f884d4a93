"""Reserves free ports for tested processes until the test process exits.

A released port could be assigned to another socket before the tested process listens, or while it
is down. A non-listening socket therefore stays bound to the port. Listeners that set SO_REUSEADDR,
as those of asyncio and tornado do, can still bind it.
"""

from __future__ import annotations

import contextlib
import socket

LOOPBACK = "127.0.0.1"
MAX_ATTEMPTS = 50

_reserved: list[socket.socket] = []


def free_port(*hosts: str) -> int:
    """Reserves a port that is free on the loopback address and on `hosts`. Raises `OSError`."""
    for _ in range(MAX_ATTEMPTS):
        with contextlib.ExitStack() as stack:
            port = 0
            try:
                for host in (LOOPBACK, *hosts):
                    port = _bind(stack, host, port)
            except OSError:
                # The port is in use on one of the addresses: try another one.
                continue
            stack.pop_all()
            return port
    raise OSError(f"no port is free on {(LOOPBACK, *hosts)} after {MAX_ATTEMPTS} attempts")


def _bind(stack: contextlib.ExitStack, host: str, port: int) -> int:
    bound_socket = stack.enter_context(socket.socket())
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound_socket.bind((host, port))
    _reserved.append(bound_socket)
    return int(bound_socket.getsockname()[1])
