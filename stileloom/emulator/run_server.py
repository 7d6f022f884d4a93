"""Runs an emulated service until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal

from tornado.web import Application

from stileloom.clock import steady_time
from stileloom.emulator.engine_server import EngineService

DRAIN_POLL_S = 0.05


async def run_until_stopped(
    application: Application, host: str, port: int, engine: EngineService | None = None
) -> None:
    """Serves until SIGTERM or SIGINT; an engine is drained before it stops."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    server = application.listen(port, address=host)
    await stop.wait()
    if engine is not None:
        engine.model.drain(steady_time())
        while engine.model.open_count > 0:
            await asyncio.sleep(DRAIN_POLL_S)
    server.stop()
