"""Closes a connection so that the kernel discards the bytes that it has not delivered."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

_DISCARD_AND_RESET = struct.pack("ii", 1, 0)
"""`struct linger`: on, for no time."""


def reset(transport: asyncio.Transport) -> None:
    """Aborts the transport and resets its connection.

    `abort` alone only discards what the transport holds: the kernel goes on sending its part of
    it, which then arrives when an interrupted link works again.
    """
    tcp_socket = transport.get_extra_info("socket")
    with contextlib.suppress(OSError):
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_AND_RESET)
    transport.abort()
