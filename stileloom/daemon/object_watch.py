"""Follows one kind of objects in the store: a list, then watches, with a pause between them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from stileloom.api.object_store import ObjectEvent, ObjectRecord, ObjectStore
from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.logging import EventLog

WATCH_WAIT_S = 4.0
"""A watch whose connection died is noticed only when it is over: shorter than the bounds allow."""
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.8
MAX_DOUBLINGS = 8
"""Enough for the longest pause; a power of a thousand failures is no float any more."""


class ObjectWatcher:
    """Keeps a copy of a kind current; callbacks run in the order of the store's changes."""

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        on_list: Callable[[list[ObjectRecord]], None],
        on_event: Callable[[ObjectEvent], None],
        pause_s: float,
        log: EventLog,
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        count: Callable[[str, str], None] = lambda kind, outcome: None,
        wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self.synced_at: float | None = None
        """Monotonic time up to which all changes are known, None before the first answer."""
        self._store = store
        self._kind = kind
        self._on_list = on_list
        self._on_event = on_event
        self._pause_s = pause_s
        self._log = log
        self._rng = rng
        self._sleep = sleep
        self._count = count
        self._wait_s = wait_s
        self._revision: int | None = None
        self._failures = 0

    @property
    def revision(self) -> int:
        """The store's revision up to which all changes are known; 0 before the first answer."""
        return self._revision or 0

    async def run(self) -> None:
        """Follows until it is cancelled."""
        while True:
            try:
                await self._follow()
                self._count(self._kind, "answered")
                self._note_answer()
            except StileloomError as error:
                self._count(self._kind, error.kind.value)
                if error.kind is ErrorKind.HISTORY_LOST:
                    self._revision = None
                    continue
                self._note_failure(error)
                doublings = min(self._failures, MAX_DOUBLINGS)
                pause_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
                await self._sleep(pause_s * self._rng.uniform(0.7, 1.3))

    async def _follow(self) -> None:
        if self._revision is None:
            asked_at = steady_time()
            page = await self._store.list_objects(self._kind)
            self.synced_at = asked_at
            self._revision = page.store_revision
            self._note_unreadable(page.unreadable)
            self._on_list(page.records)
            return
        # After a failure a call that is answered at once tells soonest that the store is back.
        wait_s = 0.0 if self._failures else self._wait_s
        batch = await self._store.watch_objects(self._kind, self._revision, wait_s)
        self.synced_at = steady_time()
        self._revision = max(self._revision, batch.store_revision)
        self._note_unreadable(batch.unreadable)
        for event in batch.events:
            self._on_event(event)
        if batch.events:
            # Changes come in bursts: one later call takes all of them.
            await self._sleep(self._pause_s * self._rng.uniform(0.8, 1.0))

    def _note_answer(self) -> None:
        if self._failures:
            self._log.emit(LogEvent.STORE_REGAINED, {"kind": self._kind, "after": self._failures})
        self._failures = 0

    def _note_unreadable(self, count: int) -> None:
        if count:
            self._count(self._kind, "unreadable")
            self._log.emit(
                LogEvent.OBJECT_NOT_UNDERSTOOD,
                {"what": self._kind, "detail": f"{count} without a name that can be read"},
            )

    def _note_failure(self, error: StileloomError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log.emit(LogEvent.STORE_LOST, {"kind": self._kind, "detail": error.detail})
