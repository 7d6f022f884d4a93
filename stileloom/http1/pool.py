"""Kept connections to samplers, by the sampler's incarnation."""

from __future__ import annotations

from collections.abc import Callable

from stileloom.http1.connection import SamplerConnection


class ConnectionPool:
    """Idle connections of each sampler; the one used last is taken first."""

    def __init__(self, on_open: Callable[[], None] = lambda: None) -> None:
        self._on_open = on_open
        self._idle: dict[str, list[SamplerConnection]] = {}

    async def acquire(self, sampler_id: str, address: tuple[str, int]) -> SamplerConnection:
        """An idle connection, or a new one. Raises `OSError` or `TimeoutError`."""
        idle = self._idle.get(sampler_id, [])
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
            connection.close()
        self._on_open()
        return await SamplerConnection.open(address)

    def release(self, sampler_id: str, connection: SamplerConnection) -> None:
        """Gives a connection back after a whole exchange."""
        if connection.usable:
            self._idle.setdefault(sampler_id, []).append(connection)
        else:
            connection.close()

    def close_connections(self, sampler_id: str) -> None:
        """Closes what is kept for a sampler that is gone."""
        for connection in self._idle.pop(sampler_id, []):
            connection.close()
