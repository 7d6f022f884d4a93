"""A gateway's side of job calls: finds the ledger's leader and asks again where it is safe."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.messages import (
    JobReply,
    JobRequest,
    NotLeader,
    OutcomeUnknown,
    ReadResultsCall,
    SubmitJobCall,
)
from stileloom.logging import EventLog
from stileloom.quarantine.messages import WatchQuarantineCall
from stileloom.settings_file import split_address
from stileloom.transport.calls import CallConnections, CallFailed

CALL_TIMEOUT_S = 1.2
"""Time for one answer: a commit takes some milliseconds, an election up to two seconds."""
RETRY_PAUSE_S = 0.1
RETRY_AFTER_S = 0.3


class LedgerNodes:
    """Addresses of ledger nodes, from settings and the store, and who leads."""

    def __init__(self, seeds: list[tuple[str, int]]) -> None:
        self.leader: tuple[str, int] | None = None
        self._addresses = list(seeds)
        self._reserve: list[tuple[str, int]] = []
        """Seeds that the store does not list: asked once all others were silent."""
        self._silent_in_a_row = 0
        self._turn = 0

    def learn(self, addresses: list[tuple[str, int]]) -> None:
        """Takes the store's list; a seed that is not in it may be gone for good."""
        if not addresses:
            return
        known = [*self._addresses, *self._reserve]
        self._addresses = list(addresses)
        self._reserve = [address for address in known if address not in addresses]

    def answered(self) -> None:
        """A node answered, whatever it said."""
        self._silent_in_a_row = 0

    def silent(self) -> None:
        """A node did not answer."""
        self._silent_in_a_row += 1

    def next_target(self) -> tuple[str, int] | None:
        """The leader, or the next node in turn."""
        if self.leader is not None:
            return self.leader
        addresses = self._addresses
        if self._silent_in_a_row >= len(addresses):
            addresses = [*addresses, *self._reserve]
        if not addresses:
            return None
        self._turn += 1
        return addresses[self._turn % len(addresses)]


class JobClient:
    """Sends job calls to the leader. All calls are idempotent."""

    def __init__(
        self,
        nodes: LedgerNodes,
        log: EventLog,
        on_lost_leader: Callable[[], None],
    ) -> None:
        self._nodes = nodes
        self._log = log
        self._on_lost_leader = on_lost_leader
        self._connections = CallConnections()
        self._silent: set[tuple[str, int]] = set()

    async def call(self, request: JobRequest, request_id: str, timeout_s: float) -> JobReply:
        """The leader's answer; `request_id` is the caller's, empty for a call of the node's own.

        Raises `StileloomError` (LEDGER_UNAVAILABLE): outcome NOT_RUN where no node can have
        reused the call out, UNKNOWN otherwise.
        """
        deadline = steady_time() + timeout_s
        may_have_run = False
        tries = 0
        while True:
            left_s = deadline - steady_time()
            if left_s <= 0:
                break
            target = self._nodes.next_target()
            if target is not None:
                tries += 1
                try:
                    reply = await self._call_node(target, request, left_s)
                    self._note_answer(target)
                    if not isinstance(reply, NotLeader | OutcomeUnknown):
                        self._nodes.leader = target
                        return reply
                    may_have_run |= isinstance(reply, OutcomeUnknown)
                    moved = self._note_not_leader(target, reply)
                    if moved:
                        continue
                except CallFailed as failure:
                    may_have_run |= failure.sent
                    self._note_silent(target, request_id, str(failure))
            await asyncio.sleep(min(RETRY_PAUSE_S, max(0.0, deadline - steady_time())))
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        detail = f"no leader answered in {tries} tries"
        raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, detail, outcome, RETRY_AFTER_S)

    def _note_not_leader(self, target: tuple[str, int], reply: NotLeader | OutcomeUnknown) -> bool:
        """Follows a hint; False where there is none."""
        self._nodes.leader = None
        hint = reply.leader if isinstance(reply, NotLeader) else ""
        if not hint or split_address(hint) == target:
            return False
        self._nodes.leader = split_address(hint)
        return True

    def _note_answer(self, target: tuple[str, int]) -> None:
        self._nodes.answered()
        if target in self._silent:
            self._silent.discard(target)
            fields: dict[str, object] = {"ledger_node": f"{target[0]}:{target[1]}"}
            self._log.emit(LogEvent.LEDGER_NODE_REGAINED, fields)

    def _note_silent(self, target: tuple[str, int], request_id: str, detail: str) -> None:
        if self._nodes.leader == target:
            self._nodes.leader = None
        self._nodes.silent()
        self._on_lost_leader()
        known = target in self._silent
        self._silent.add(target)
        if known and not request_id:
            # A call of the node's own is no part of a request's story: one line until the node
            # answers again, where a gateway without a leader wrote ten a second.
            return
        self._log.emit(
            LogEvent.LEDGER_NODE_SILENT,
            {"request": request_id, "ledger_node": f"{target[0]}:{target[1]}", "detail": detail},
        )

    async def _call_node(
        self, target: tuple[str, int], request: JobRequest, left_s: float
    ) -> JobReply:
        timeout_s = CALL_TIMEOUT_S
        if isinstance(request, ReadResultsCall | WatchQuarantineCall):
            timeout_s += request.wait_s
        elif isinstance(request, SubmitJobCall):
            timeout_s += CALL_TIMEOUT_S
        reply = await self._connections.call(target, request, min(timeout_s, left_s))
        if not isinstance(reply, JobReply):
            raise CallFailed("an answer to another call", sent=True)
        return reply

    def close(self) -> None:
        """Closes every connection."""
        self._connections.close()
