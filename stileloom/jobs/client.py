"""Client of the job service: finds the ledger's leader and retries idempotent calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.leader_search import LeaderSearch, LedgerNodes, NodeAddress
from stileloom.jobs.messages import (
    JobRefused,
    JobReply,
    JobRequest,
    NotLeader,
    OutcomeUnknown,
    ReadResultsCall,
    SubmitJobCall,
)
from stileloom.logging import EventLog
from stileloom.quarantine.messages import WatchQuarantineCall
from stileloom.transport.calls import CallConnectionPool, CallFailed

CALL_TIMEOUT_S = 1.2
"""Timeout of one attempt."""
RETRY_DELAY_S = 0.1
"""Delay between two attempts."""
SLOW_REPLY_S = 0.3
"""Time without a reply after which the client checks whether another node leads."""
FIRST_LEADER_WAIT_S = 3.0
"""Time since the first search that found no leader, none having been found since the start of this
process, after which new jobs are refused by the next search that fails. A change of leader takes
less, so its callers are still held until the next leader accepts them."""
FIRST_LEADER_RETRY_AFTER_S = 1.0
"""Retry hint while no leader was ever found: voters are missing, or all are unreachable."""
RETRY_AFTER_S = 0.3
"""Retry hint to the caller if no leader answered."""


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
        self._search = LeaderSearch(
            nodes, self._connections, self._handle_failure, self._handle_answer
        )
        self._unresponsive: set[NodeAddress] = set()
        self._has_found_leader = False
        self._first_failed_search_at: float | None = None

    async def call(self, request: JobRequest, request_id: str, timeout_s: float) -> JobReply:
        """Returns the leader's answer.

        `request_id` is the id of the caller's request, or empty for internal calls of this node.
        Raises `StileloomError` (LEDGER_UNAVAILABLE) if no leader answers in time. The outcome is
        NOT_RUN if no node can have executed the call, and UNKNOWN otherwise.
        """
        deadline = steady_time() + timeout_s
        may_have_run = False
        attempts = 0
        while (remaining_s := deadline - steady_time()) > 0:
            searched = self._nodes.leader is None
            leader = await self._find_leader(request_id, remaining_s)
            if leader is None:
                if isinstance(request, SubmitJobCall) and not may_have_run:
                    self._refuse_without_first_leader()
                continue
            attempts += 1
            try:
                reply = await self._call_leader(leader, request, request_id, remaining_s)
            except CallFailed as failure:
                may_have_run |= failure.sent
                self._handle_failure(leader, request_id, str(failure))
                continue
            self._handle_answer(leader)
            if isinstance(reply, JobRefused) and may_have_run:
                # An earlier attempt may still be committed, so the job must not count as refused.
                raise StileloomError(ErrorKind.JOBS_FULL, reply.reason, Outcome.UNKNOWN)
            if not isinstance(reply, NotLeader | OutcomeUnknown):
                self._nodes.leader = leader
                self._has_found_leader = True
                return reply
            may_have_run |= isinstance(reply, OutcomeUnknown)
            self._forget_leader(leader)
            if searched:
                await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, deadline - steady_time())))
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        detail = f"no ledger leader answered after {attempts} attempts"
        raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, detail, outcome, RETRY_AFTER_S)

    def _refuse_without_first_leader(self) -> None:
        """Raises LEDGER_UNAVAILABLE if no leader was ever found, and searches fail for a while."""
        now = steady_time()
        if self._first_failed_search_at is None:
            self._first_failed_search_at = now
        waited_s = now - self._first_failed_search_at
        if self._has_found_leader or waited_s < FIRST_LEADER_WAIT_S:
            return
        detail = f"no ledger leader was found for {waited_s:.0f} s"
        raise StileloomError(
            ErrorKind.LEDGER_UNAVAILABLE, detail, Outcome.NOT_RUN, FIRST_LEADER_RETRY_AFTER_S
        )

    async def _find_leader(self, request_id: str, remaining_s: float) -> NodeAddress | None:
        """Returns the known leader or searches it; returns None after a pause if none is found."""
        if self._nodes.leader is not None:
            return self._nodes.leader
        try:
            async with asyncio.timeout(remaining_s):
                leader = await self._search.find(request_id)
                if leader is None:
                    self._on_node_failure()
                    await asyncio.sleep(RETRY_DELAY_S)
        except TimeoutError:
            return None
        return leader

    async def _call_leader(
        self, leader: NodeAddress, request: JobRequest, request_id: str, remaining_s: float
    ) -> JobReply:
        """Calls a node for as long as no other node is found to lead. Raises `CallFailed`."""
        loop = asyncio.get_running_loop()
        call = loop.create_task(self._call_node(leader, request, remaining_s))
        search: asyncio.Task[NodeAddress | None] | None = None
        try:
            await asyncio.wait((call,), timeout=SLOW_REPLY_S + _wait_s(request))
            while not call.done():
                search = loop.create_task(self._search.find(request_id))
                await asyncio.wait((call, search), return_when=asyncio.FIRST_COMPLETED)
                if not call.done() and search.result() not in (None, leader):
                    self._nodes.leader = search.result()
                    raise CallFailed("no reply, and another node leads", sent=True)
                await asyncio.wait((call,), timeout=SLOW_REPLY_S)
            return call.result()
        finally:
            call.cancel()
            if search is not None:
                search.cancel()

    def _forget_leader(self, address: NodeAddress) -> None:
        if self._nodes.leader == address:
            self._nodes.leader = None

    def _handle_answer(self, target: NodeAddress) -> None:
        if target in self._unresponsive:
            self._unresponsive.discard(target)
            fields: dict[str, object] = {"ledger_node": f"{target[0]}:{target[1]}"}
            self._log.emit(LogEvent.LEDGER_NODE_REGAINED, fields)

    def _handle_failure(self, target: NodeAddress, request_id: str, detail: str) -> None:
        self._forget_leader(target)
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
        self, target: NodeAddress, request: JobRequest, remaining_s: float
    ) -> JobReply:
        timeout_s = CALL_TIMEOUT_S + _wait_s(request)
        if isinstance(request, SubmitJobCall):
            timeout_s += CALL_TIMEOUT_S
        reply = await self._connections.call(target, request, min(timeout_s, remaining_s))
        if not isinstance(reply, JobReply):
            raise CallFailed("reply does not match the call", sent=True)
        return reply

    def close(self) -> None:
        """Closes all connections."""
        self._search.stop()
        self._connections.close()


def _wait_s(request: JobRequest) -> float:
    """Time for which a node may hold its reply to a request back."""
    return request.wait_s if isinstance(request, ReadResultsCall | WatchQuarantineCall) else 0.0
