"""Background tasks whose faults are logged instead of vanishing."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Coroutine

from stileloom.events import LogEvent
from stileloom.logging import EventLog

TRACE_CHARACTERS = 1500


class BackgroundTasks:
    """Tasks of one owner; they end with it."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Starts a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def cancel(self) -> None:
        """Cancels all tasks."""
        for task in self._tasks:
            task.cancel()

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            trace = "".join(traceback.format_exception(error))[-TRACE_CHARACTERS:]
            self._log.emit(LogEvent.INTERNAL_FAULT, {"error": repr(error), "trace": trace})
