"""Asks whether a sampler's process is still there after a connection to it broke.

A broken connection proves nothing about its sampler: links are reset, idle connections are
reused too late, answers are lost. Only a port on which nobody listens shows that the process
has ended.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

CONNECT_TIMEOUT_S = 0.3
"""An ended process is told by a reset within one round trip (1 to 10 ms); silence tells nothing."""


class ListenerSign(enum.Enum):
    """What one connection attempt tells of a sampler's process."""

    LISTENS = "listens"
    """A process accepts connections: this one, or its successor."""
    REFUSED = "refused"
    """Nobody listens: the process has ended."""
    SILENT = "silent"
    """No answer: the machine is dark, or the link is cut. Proves nothing."""


async def probe_listener(
    address: tuple[str, int], on_open: Callable[[], None] = lambda: None
) -> ListenerSign:
    """Opens a connection and closes it at once; `on_open` counts it."""
    on_open()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address[0], address[1])
    except ConnectionRefusedError:
        return ListenerSign.REFUSED
    except (OSError, TimeoutError):
        return ListenerSign.SILENT
    writer.transport.abort()
    return ListenerSign.LISTENS
