"""Background tasks with logged exceptions, and a periodic timer."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine

from stileloom.events import LogEvent
from stileloom.logging import EventLog

MAX_TRACEBACK_LENGTH = 1500
LATE_TICK_S = 0.3


class BackgroundTasks:
    """Set of tasks that are cancelled together; their exceptions are logged."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Starts a task and keeps a reference to it until it is done."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def cancel(self) -> None:
        """Requests cancellation of all running tasks."""
        for task in self._tasks:
            task.cancel()

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            trace = "".join(traceback.format_exception(error))[-MAX_TRACEBACK_LENGTH:]
            self._log.emit(LogEvent.INTERNAL_FAULT, {"error": repr(error), "trace": trace})


class Ticker:
    """Calls a function periodically, timed by the event loop's monotonic clock.

    tornado's `PeriodicCallback` uses wall-clock time: after a step forward and back it pauses until
    the clock has caught up.
    """

    def __init__(
        self,
        callback: Callable[[], None],
        interval_s: float,
        on_late: Callable[[float], None] = lambda _: None,
    ) -> None:
        """`on_late` receives the seconds by which a call came late, if `LATE_TICK_S` or more."""
        self._callback = callback
        self._interval_s = interval_s
        self._on_late = on_late
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedules the first call, one interval from now."""
        self._schedule()

    def stop(self) -> None:
        """Cancels the next call."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self) -> None:
        self._handle = asyncio.get_running_loop().call_later(self._interval_s, self._tick)

    def _tick(self) -> None:
        assert self._handle is not None
        late_s = asyncio.get_running_loop().time() - self._handle.when()
        if late_s >= LATE_TICK_S:
            self._on_late(late_s)
        self._schedule()
        self._callback()
