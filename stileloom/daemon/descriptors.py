"""Accepts connections while the process is short of descriptors.

Without this, a failed accept is repeated at once for as long as the connection waits, which takes
all of the processor, and the readiness endpoint does not answer.
"""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

RESERVED_DESCRIPTORS = 4
ACCEPT_PAUSE_S = 0.1
"""Pause after a connection could not be accepted; it waits in the backlog meanwhile."""


class DescriptorReserve:
    """Descriptors that are kept open so that they can be released in a shortage."""

    def __init__(self, count: int = RESERVED_DESCRIPTORS) -> None:
        self._count = count
        self._descriptors: list[int] = []
        self.refill()

    def release(self) -> bool:
        """Releases a descriptor; returns False if none is left."""
        if not self._descriptors:
            return False
        os.close(self._descriptors.pop())
        return True

    def refill(self) -> None:
        """Opens the released descriptors again as far as possible."""
        while len(self._descriptors) < self._count:
            try:
                self._descriptors.append(os.open(os.devnull, os.O_RDONLY))
            except OSError:
                return

    def close(self) -> None:
        """Releases all descriptors."""
        while self.release():
            pass


class SparingListener(socket.socket):
    """A listening socket that has a descriptor freed for a connection, or pauses."""

    def __init__(self, bound: socket.socket, free_descriptor: Callable[[], bool]) -> None:
        family, kind, protocol = bound.family, bound.type, bound.proto
        super().__init__(family, kind, protocol, fileno=bound.detach())
        self.setblocking(False)
        self._free_descriptor = free_descriptor

    def accept(self) -> tuple[socket.socket, Any]:
        """Accepts a connection. Raises `BlockingIOError` if none waits or no descriptor is free."""
        try:
            return super().accept()
        except OSError as error:
            if error.errno not in (errno.EMFILE, errno.ENFILE):
                raise
        if self._free_descriptor():
            try:
                return super().accept()
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE):
                    raise
        loop = IOLoop.current()
        loop.update_handler(self, 0)
        loop.call_later(ACCEPT_PAUSE_S, self._resume)
        raise BlockingIOError(errno.EAGAIN, "short of descriptors")

    def _resume(self) -> None:
        if self.fileno() != -1:
            IOLoop.current().update_handler(self, IOLoop.READ)


def sparing_listeners(
    host: str, port: int, free_descriptor: Callable[[], bool], backlog: int = 128
) -> list[SparingListener]:
    """Binds listening sockets. Raises `OSError`."""
    bound = bind_sockets(port, address=host, backlog=backlog)
    return [SparingListener(listener, free_descriptor) for listener in bound]


def listen_plainly(server: HTTPServer, host: str, port: int) -> None:
    """Starts a server. Raises `OSError`."""
    server.listen(port, address=host)


def listen_sparingly(
    free_descriptor: Callable[[], bool], server: HTTPServer, host: str, port: int
) -> None:
    """Starts a server whose callers are answered also in a shortage. Raises `OSError`."""
    server.add_sockets(sparing_listeners(host, port, free_descriptor))
