"""Answers calls about suspects at the ledger's leader, and serves the leader's own guard."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.ledger.commands import (
    ClearSuspects,
    Command,
    CommandResult,
    Done,
    ForgetSuspects,
    RecordSamplerEnds,
    StartTrial,
)
from stileloom.logging import EventLog
from stileloom.quarantine.book import QuarantineBook
from stileloom.quarantine.messages import QuarantineListing, SamplerEnd


class ReplicatedBook(Protocol):
    """The ledger as this part sees it."""

    def may_act(self) -> bool:
        """Whether this replica leads and holds its lease now."""

    def quarantine(self) -> QuarantineBook:
        """The book as far as this replica has applied it."""

    async def propose(self, command: Command) -> CommandResult:
        """Commits a command. Raises `StileloomError` (LEDGER_UNAVAILABLE)."""


class QuarantineAuthority:
    """Implements `QuarantineLedger` over the replica of this process."""

    def __init__(
        self,
        ledger: ReplicatedBook,
        log: EventLog,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._ledger = ledger
        self._log = log
        self._wall_clock = wall_clock
        self._changed: set[asyncio.Future[None]] = set()
        self._told_revision = -1
        self._told_held: set[str] = set()

    async def report(self, ends: list[SamplerEnd], answered: list[str]) -> int:
        """Records ends and good answers."""
        if ends:
            await self._propose(RecordSamplerEnds(ends, self._wall_clock()))
        if answered:
            await self._propose(ClearSuspects(answered))
        return self._book().revision

    async def release(self, identity: str) -> bool:
        """An operator's word; whether anything was held against the request."""
        known = identity in self._book().suspects
        if known:
            await self._propose(ClearSuspects([identity]))
            self._log.emit(
                LogEvent.REQUEST_RELEASED, {"identity": identity, "reason": "an operator's word"}
            )
        return known

    async def start_trial(self, identity: str) -> bool:
        """Whether a held request may run once more."""
        result = await self._propose(StartTrial(identity, self._wall_clock()))
        return isinstance(result, Done)

    async def watch(self, known_revision: int, wait_s: float) -> QuarantineListing | None:
        """The list once its revision is another one; None after the wait."""
        give_up_at = steady_time() + wait_s
        while self._book().revision == known_revision:
            left_s = give_up_at - steady_time()
            if left_s <= 0:
                return None
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._changed.add(waiter)
            await asyncio.wait((waiter,), timeout=left_s)
            self._changed.discard(waiter)
        return self._book().listing(self._wall_clock())

    async def forget_expired(self) -> None:
        """Drops suspects whose time is over."""
        at_s = self._wall_clock()
        if self._book().expired(at_s):
            await self._propose(ForgetSuspects(at_s))

    def step(self) -> None:
        """Wakes who waits for the list, and logs what has come to be held."""
        book = self._ledger.quarantine()
        if book.revision == self._told_revision:
            return
        self._told_revision = book.revision
        for waiter in self._changed:
            if not waiter.done():
                waiter.set_result(None)
        held = {identity for identity in book.suspects if book.is_held(identity)}
        if self._ledger.may_act():
            for identity in held - self._told_held:
                ends = sorted(book.suspects[identity].ends)
                self._log.emit(LogEvent.REQUEST_HELD, {"identity": identity, "ends": ends})
            for identity in self._told_held - held:
                self._log.emit(
                    LogEvent.REQUEST_RELEASED,
                    {"identity": identity, "reason": "answered, explained, released or expired"},
                )
        self._told_held = held

    def _book(self) -> QuarantineBook:
        """The book of the leader. Raises `StileloomError` at any other replica."""
        if not self._ledger.may_act():
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, "this replica does not lead")
        return self._ledger.quarantine()

    async def _propose(self, command: Command) -> CommandResult:
        self._book()
        result = await self._ledger.propose(command)
        self.step()
        return result
