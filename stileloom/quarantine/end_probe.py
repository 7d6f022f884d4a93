"""Checks whether a sampler's process crashed after a connection to it broke.

A broken connection does not prove a crash: links are reset, idle connections are reused after the
peer closed them, and responses are lost. Only a refused connection, meaning that no process listens
on the port, does.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable

CONNECT_TIMEOUT_S = 0.3
"""If the process crashed, its machine refuses the connection within one round trip."""


class ProbeResult(enum.Enum):
    """Result of one connection attempt to a sampler's address."""

    LISTENING = "listens"
    """A process accepts connections: the same one, or one started since."""
    REFUSED = "refused"
    """No process listens on the port: the sampler crashed."""
    UNRESPONSIVE = "silent"
    """No response: the machine is down or the network is partitioned. Proves nothing."""


async def probe_listener(
    address: tuple[str, int], on_open: Callable[[], None] = lambda: None
) -> ProbeResult:
    """Opens a connection and closes it at once; first calls `on_open`, which counts connections."""
    on_open()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(address[0], address[1])
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except (OSError, TimeoutError):
        return ProbeResult.UNRESPONSIVE
    writer.transport.abort()
    return ProbeResult.LISTENING
