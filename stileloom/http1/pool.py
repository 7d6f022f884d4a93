"""Pool of keep-alive connections to samplers, keyed by sampler id."""

from __future__ import annotations

from collections.abc import Callable

from stileloom.http1.connection import SamplerConnection


class ConnectionPool:
    """Idle connections of each sampler, reused in LIFO order."""

    def __init__(self, on_open: Callable[[], None] = lambda: None) -> None:
        self._on_open = on_open
        self._idle: dict[str, list[SamplerConnection]] = {}

    async def acquire(self, sampler_id: str, address: tuple[str, int]) -> SamplerConnection:
        """Returns an idle connection or opens one. Raises `OSError` or `TimeoutError`."""
        idle = self._idle.get(sampler_id, [])
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
            connection.close()
        self._on_open()
        return await SamplerConnection.open(address)

    def release(self, sampler_id: str, connection: SamplerConnection) -> None:
        """Returns a connection to the pool after an exchange; closes it if it is not usable."""
        if connection.usable:
            self._idle.setdefault(sampler_id, []).append(connection)
        else:
            connection.close()

    def close_connections(self, sampler_id: str) -> None:
        """Closes the idle connections of a sampler that was removed."""
        for connection in self._idle.pop(sampler_id, []):
            connection.close()
