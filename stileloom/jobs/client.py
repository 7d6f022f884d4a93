"""Client of the job service: finds the ledger's leader and retries idempotent calls."""

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
from stileloom.transport.calls import CallConnectionPool, CallFailed

CALL_TIMEOUT_S = 1.2
"""Timeout of one attempt."""
RETRY_DELAY_S = 0.1
"""Delay between two attempts."""
FAILED_NODE_PAUSE_S = 1.0
"""Time for which a node that failed is passed over in favour of the others.

Until a new leader is elected and known to all nodes, some of them still name the failed one.
"""
RETRY_AFTER_S = 0.3
"""Retry hint to the caller if no leader answered."""


class LedgerNodes:
    """Known addresses of ledger nodes and of the current leader."""

    def __init__(self, seeds: list[tuple[str, int]]) -> None:
        self.leader: tuple[str, int] | None = None
        self._addresses = list(seeds)
        self._fallback_addresses: list[tuple[str, int]] = []
        """Addresses not listed in the object store, tried after all listed nodes have failed."""
        self._consecutive_failures = 0
        self._round_robin_index = 0
        self._paused_until: dict[tuple[str, int], float] = {}

    def update_addresses(self, addresses: list[tuple[str, int]]) -> None:
        """Replaces the addresses; those no longer listed remain as fallback."""
        if not addresses:
            return
        known = [*self._addresses, *self._fallback_addresses]
        self._addresses = list(addresses)
        self._fallback_addresses = [address for address in known if address not in addresses]

    def record_answer(self) -> None:
        """Resets the failure count after any answer."""
        self._consecutive_failures = 0

    def record_failure(self) -> None:
        """Counts a node that did not answer."""
        self._consecutive_failures += 1

    def pause(self, address: tuple[str, int], until: float) -> None:
        """Passes over a node until the given time if there are others."""
        self._paused_until[address] = until

    def is_paused(self, address: tuple[str, int], now: float) -> bool:
        """Whether the node is passed over."""
        return now < self._paused_until.get(address, float("-inf"))

    def next_target(self, now: float) -> tuple[str, int] | None:
        """Returns the leader if known, else the next node in round-robin order."""
        if self.leader is not None:
            return self.leader
        addresses = self._addresses
        if self._consecutive_failures >= len(addresses):
            addresses = [*addresses, *self._fallback_addresses]
        if not addresses:
            return None
        addresses = [a for a in addresses if not self.is_paused(a, now)] or addresses
        self._round_robin_index += 1
        return addresses[self._round_robin_index % len(addresses)]


class JobClient:
    """Sends job calls to the leader; all calls are idempotent."""

    def __init__(
        self,
        nodes: LedgerNodes,
        log: EventLog,
        on_node_failure: Callable[[], None],
    ) -> None:
        self._nodes = nodes
        self._log = log
        self._on_node_failure = on_node_failure
        self._connections = CallConnectionPool()
        self._unresponsive: set[tuple[str, int]] = set()

    async def call(self, request: JobRequest, request_id: str, timeout_s: float) -> JobReply:
        """Returns the leader's answer.

        `request_id` is the id of the caller's request, or empty for internal calls of this node.
        Raises `StileloomError` (LEDGER_UNAVAILABLE) if no leader answers in time. The outcome is
        NOT_RUN if no node can have executed the call, and UNKNOWN otherwise.
        """
        deadline = steady_time() + timeout_s
        may_have_run = False
        attempts = 0
        while True:
            remaining_s = deadline - steady_time()
            if remaining_s <= 0:
                break
            target = self._nodes.next_target(steady_time())
            if target is not None:
                attempts += 1
                try:
                    reply = await self._call_node(target, request, remaining_s)
                    self._handle_answer(target)
                    if not isinstance(reply, NotLeader | OutcomeUnknown):
                        self._nodes.leader = target
                        return reply
                    may_have_run |= isinstance(reply, OutcomeUnknown)
                    has_hint = self._follow_leader_hint(target, reply)
                    if has_hint:
                        continue
                except CallFailed as failure:
                    may_have_run |= failure.sent
                    self._handle_failure(target, request_id, str(failure))
            await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, deadline - steady_time())))
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        detail = f"no ledger leader answered after {attempts} attempts"
        raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, detail, outcome, RETRY_AFTER_S)

    def _follow_leader_hint(
        self, target: tuple[str, int], reply: NotLeader | OutcomeUnknown
    ) -> bool:
        """Adopts the leader named in a reply.

        Returns False if it names no other node, or one that has just failed.
        """
        self._nodes.leader = None
        hint = reply.leader if isinstance(reply, NotLeader) else ""
        if not hint or split_address(hint) == target:
            return False
        named = split_address(hint)
        if self._nodes.is_paused(named, steady_time()):
            return False
        self._nodes.leader = named
        return True

    def _handle_answer(self, target: tuple[str, int]) -> None:
        self._nodes.record_answer()
        if target in self._unresponsive:
            self._unresponsive.discard(target)
            fields: dict[str, object] = {"ledger_node": f"{target[0]}:{target[1]}"}
            self._log.emit(LogEvent.LEDGER_NODE_REGAINED, fields)

    def _handle_failure(self, target: tuple[str, int], request_id: str, detail: str) -> None:
        if self._nodes.leader == target:
            self._nodes.leader = None
        self._nodes.pause(target, steady_time() + FAILED_NODE_PAUSE_S)
        self._nodes.record_failure()
        self._on_node_failure()
        already_logged = target in self._unresponsive
        self._unresponsive.add(target)
        if already_logged and not request_id:
            # Internal calls are retried continuously; log one line until the node answers again.
            return
        self._log.emit(
            LogEvent.LEDGER_NODE_SILENT,
            {"request": request_id, "ledger_node": f"{target[0]}:{target[1]}", "detail": detail},
        )

    async def _call_node(
        self, target: tuple[str, int], request: JobRequest, remaining_s: float
    ) -> JobReply:
        timeout_s = CALL_TIMEOUT_S
        if isinstance(request, ReadResultsCall | WatchQuarantineCall):
            timeout_s += request.wait_s
        elif isinstance(request, SubmitJobCall):
            timeout_s += CALL_TIMEOUT_S
        reply = await self._connections.call(target, request, min(timeout_s, remaining_s))
        if not isinstance(reply, JobReply):
            raise CallFailed("reply does not match the call", sent=True)
        return reply

    def close(self) -> None:
        """Closes all connections."""
        self._connections.close()
