"""Serves quarantine calls of gateways and of the leader's own guard, at the ledger's leader."""

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
from stileloom.quarantine.book import QuarantineRegistry
from stileloom.quarantine.messages import QuarantineListing, SamplerCrash


class QuarantineReplica(Protocol):
    """The local ledger replica as used by the quarantine."""

    def is_active_leader(self) -> bool:
        """Whether this replica is the leader and holds the leader lease."""

    def quarantine(self) -> QuarantineRegistry:
        """The registry as applied by this replica."""

    async def propose(self, command: Command) -> CommandResult:
        """Commits a command. Raises `StileloomError` (LEDGER_UNAVAILABLE)."""


class QuarantineService:
    """Implements `QuarantineLedger` on the local replica."""

    def __init__(
        self,
        ledger: QuarantineReplica,
        log: EventLog,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._ledger = ledger
        self._log = log
        self._wall_clock = wall_clock
        self._waiters: set[asyncio.Future[None]] = set()
        self._notified_revision = -1
        self._logged_quarantined: set[str] = set()

    async def report(self, crashes: list[SamplerCrash], succeeded: list[str]) -> int:
        """Records crashes and successful responses; returns the revision that covers them."""
        if crashes:
            await self._propose(RecordSamplerEnds(crashes, self._wall_clock()))
        if succeeded:
            await self._propose(ClearSuspects(succeeded))
        return self._leader_registry().revision

    async def release(self, identity: str) -> bool:
        """Releases a request by operator command; returns whether it was a suspect."""
        was_suspect = identity in self._leader_registry().suspects
        if was_suspect:
            await self._propose(ClearSuspects([identity]))
            self._log.emit(
                LogEvent.REQUEST_RELEASED, {"identity": identity, "reason": "operator command"}
            )
        return was_suspect

    async def start_trial(self, identity: str) -> bool:
        """Requests a trial; returns whether the request may run."""
        result = await self._propose(StartTrial(identity, self._wall_clock()))
        return isinstance(result, Done)

    async def watch(self, known_revision: int, wait_s: float) -> QuarantineListing | None:
        """The listing once its revision differs from `known_revision`, or None after `wait_s`."""
        timeout_at = steady_time() + wait_s
        while self._leader_registry().revision == known_revision:
            remaining_s = timeout_at - steady_time()
            if remaining_s <= 0:
                return None
            waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiters.add(waiter)
            await asyncio.wait((waiter,), timeout=remaining_s)
            self._waiters.discard(waiter)
        return self._leader_registry().listing(self._wall_clock())

    async def remove_expired(self) -> None:
        """Removes expired suspects from the registry."""
        at_s = self._wall_clock()
        if self._leader_registry().expired_identities(at_s):
            await self._propose(ForgetSuspects(at_s))

    def step(self) -> None:
        """Wakes pending watches, and logs requests that were quarantined or released."""
        registry = self._ledger.quarantine()
        if registry.revision == self._notified_revision:
            return
        self._notified_revision = registry.revision
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        quarantined = {
            identity for identity in registry.suspects if registry.is_quarantined(identity)
        }
        if self._ledger.is_active_leader():
            for identity in quarantined - self._logged_quarantined:
                crashes = sorted(registry.suspects[identity].ends)
                self._log.emit(LogEvent.REQUEST_HELD, {"identity": identity, "ends": crashes})
            for identity in self._logged_quarantined - quarantined:
                self._log.emit(
                    LogEvent.REQUEST_RELEASED,
                    {"identity": identity, "reason": "cleared, attributed elsewhere or expired"},
                )
        self._logged_quarantined = quarantined

    def _leader_registry(self) -> QuarantineRegistry:
        """The leader's registry. Raises `StileloomError` on any other replica."""
        if not self._ledger.is_active_leader():
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, "this replica is not the leader")
        return self._ledger.quarantine()

    async def _propose(self, command: Command) -> CommandResult:
        self._leader_registry()
        result = await self._ledger.propose(command)
        self.step()
        return result
