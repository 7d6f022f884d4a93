"""Writes the snapshots of a ledger replica beside its journal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from stileloom.background import BackgroundTasks
from stileloom.ledger.effects import Persist
from stileloom.ledger.messages import SnapshotRecord
from stileloom.ledger.storage import LedgerStorage
from stileloom.logging import EventLog

RETRY_S = 1.0


class BackgroundSnapshots:
    """One snapshot at a time; of those that wait meanwhile only the newest is written."""

    def __init__(
        self,
        storage: LedgerStorage,
        journal_thread: ThreadPoolExecutor,
        on_idle: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._storage = storage
        self._journal_thread = journal_thread
        self._on_idle = on_idle
        self._thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="snapshot")
        self._next: Persist | None = None
        self._tasks = BackgroundTasks(log)
        self._running = False
        self._stopped = False

    @property
    def busy(self) -> bool:
        """Whether a snapshot is being written."""
        return self._running

    def submit(self, write: Persist) -> None:
        """Writes a snapshot; the writes issued before it must be durable."""
        self._next = write
        if not self._running and not self._stopped:
            self._running = True
            self._tasks.spawn(self._run())

    def stop(self) -> None:
        """Waits for the write in progress; the journal is complete without it."""
        self._stopped = True
        self._tasks.cancel()
        self._thread.shutdown(wait=True)

    async def _run(self) -> None:
        try:
            while self._next is not None:
                write, self._next = self._next, None
                assert write.snapshot is not None
                await self._write(write, write.snapshot)
        finally:
            # After an error of our own the journal, which is complete, is written on.
            self._running = False
            if not self._stopped:
                self._on_idle()

    async def _write(self, write: Persist, snapshot: SnapshotRecord) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.run_in_executor(
                self._thread, self._storage.write_snapshot, snapshot, write.first_blob
            )
            # In the thread of the journal's other writes.
            await loop.run_in_executor(self._journal_thread, self._storage.drop_covered, snapshot)
        except OSError:
            # A disk that rejects writes also fails the journal, and that is logged.
            self._next = self._next or write
            await asyncio.sleep(RETRY_S)
