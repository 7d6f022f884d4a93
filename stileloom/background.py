"""Work beside the main flow: tasks whose faults are logged, and steady ticks."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine

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


class Ticker:
    """Calls a function at an interval of the monotonic clock.

    tornado's `PeriodicCallback` counts by the time of day: after a step ahead and back it
    does not call again until the clock has caught up.
    """

    def __init__(self, callback: Callable[[], None], interval_s: float) -> None:
        self._callback = callback
        self._interval_s = interval_s
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Begins to call."""
        self._schedule()

    def stop(self) -> None:
        """Calls no more."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self) -> None:
        self._handle = asyncio.get_running_loop().call_later(self._interval_s, self._tick)

    def _tick(self) -> None:
        self._schedule()
        self._callback()
