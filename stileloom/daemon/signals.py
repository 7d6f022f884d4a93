"""Signal handlers of server processes."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol


class Stoppable(Protocol):
    """A process that can be stopped and reloaded."""

    def stop(self) -> None:
        """Starts a graceful shutdown."""

    def reload(self) -> None:
        """Handles a possible change of the settings file."""


def handle_signals(process: Stoppable) -> None:
    """Stops the process on SIGTERM and SIGINT, and reloads it on SIGHUP."""
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, process.stop)
    loop.add_signal_handler(signal.SIGHUP, process.reload)
