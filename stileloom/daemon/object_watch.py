"""Tracks one kind of objects in the object store by a list followed by watches."""

from __future__ import annotations

import asyncio
import random
import traceback
from collections.abc import Awaitable, Callable

from stileloom.api.object_store import ObjectEvent, ObjectRecord, ObjectStore
from stileloom.background import MAX_TRACEBACK_LENGTH
from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.logging import EventLog

WATCH_WAIT_S = 4.0
"""Must be below the time bounds, because only the end of a watch reveals a lost connection."""
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.8
MAX_ERROR_LENGTH = 200
MAX_DOUBLINGS = 8
"""Limits the exponent, which would otherwise overflow a float after many failures."""


class ObjectWatcher:
    """Reports a list and all later changes; callbacks run in the order of the changes."""

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        on_list: Callable[[list[ObjectRecord]], None],
        on_event: Callable[[ObjectEvent], None],
        batch_delay_s: float,
        log: EventLog,
        rng: random.Random,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        record_outcome: Callable[[str, str], None] = lambda kind, outcome: None,
        wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self.synced_at: float | None = None
        """Monotonic time up to which all changes are known; None before the first response."""
        self._store = store
        self._kind = kind
        self._on_list = on_list
        self._on_event = on_event
        self._batch_delay_s = batch_delay_s
        self._log = log
        self._rng = rng
        self._sleep = sleep
        self._record_outcome = record_outcome
        self._wait_s = wait_s
        self._revision: int | None = None
        self._failures = 0

    @property
    def revision(self) -> int:
        """The store revision up to which all changes are known; 0 before the first response."""
        return self._revision or 0

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            try:
                await self._poll()
                self._record_outcome(self._kind, "answered")
                self._record_success()
            except Exception as error:
                # Objects may come from any writer: what they cause must not end the watch.
                if not isinstance(error, StileloomError):
                    self._log_internal_error(error)
                    error = StileloomError(ErrorKind.INTERNAL, repr(error))
                    self._revision = None
                self._record_outcome(self._kind, error.kind.value)
                if error.kind is ErrorKind.HISTORY_LOST:
                    self._revision = None
                    continue
                self._record_failure(error)
                doublings = min(self._failures, MAX_DOUBLINGS)
                backoff_s = min(RETRY_MAX_S, RETRY_MIN_S * 2**doublings)
                await self._sleep(backoff_s * self._rng.uniform(0.7, 1.3))

    async def _poll(self) -> None:
        if self._revision is None:
            requested_at = steady_time()
            page = await self._store.list_objects(self._kind)
            self.synced_at = requested_at
            self._revision = page.store_revision
            self._report_unreadable(page.unreadable)
            self._on_list(page.records)
            return
        # After a failure, a watch without a wait detects recovery of the object store sooner.
        wait_s = 0.0 if self._failures else self._wait_s
        batch = await self._store.watch_objects(self._kind, self._revision, wait_s)
        self.synced_at = steady_time()
        self._revision = max(self._revision, batch.store_revision)
        self._report_unreadable(batch.unreadable)
        for event in batch.events:
            try:
                self._on_event(event)
            except Exception as error:
                self._log_internal_error(error, event.record.name)
        if batch.events:
            # Changes arrive in bursts; the delay lets one call fetch several of them.
            await self._sleep(self._batch_delay_s * self._rng.uniform(0.8, 1.0))

    def _log_internal_error(self, error: Exception, name: str = "") -> None:
        trace = "".join(traceback.format_exception(error))[-MAX_TRACEBACK_LENGTH:]
        fields = {"kind": self._kind, "name": name, "error": repr(error)[:MAX_ERROR_LENGTH]}
        self._log.emit(LogEvent.INTERNAL_FAULT, {**fields, "trace": trace})

    def _record_success(self) -> None:
        if self._failures:
            self._log.emit(LogEvent.STORE_REGAINED, {"kind": self._kind, "after": self._failures})
        self._failures = 0

    def _report_unreadable(self, count: int) -> None:
        if count:
            self._record_outcome(self._kind, "unreadable")
            self._log.emit(
                LogEvent.OBJECT_NOT_UNDERSTOOD,
                {"what": self._kind, "detail": f"{count} objects without a readable name"},
            )

    def _record_failure(self, error: StileloomError) -> None:
        self._failures += 1
        if self._failures == 1:
            self._log.emit(LogEvent.STORE_LOST, {"kind": self._kind, "detail": error.detail})
