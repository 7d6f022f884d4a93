"""Signals of a serving process."""

from __future__ import annotations

import asyncio
import signal
from typing import Protocol


class Stoppable(Protocol):
    """A program that can be told to stop or to reload."""

    def stop(self) -> None:
        """Begin the drain."""

    def reload(self) -> None:
        """The settings file may have changed."""


def handle_signals(program: Stoppable) -> None:
    """SIGTERM and SIGINT stop, SIGHUP reloads."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stop)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
