"""Sends the reward calls of complete texts during one leadership.

A reward call follows the route of its host and path and uses the same forwarder as lookups. It is
idempotent and is retried until it returns a score, it has failed as often as its route allows, or
its item is removed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

import msgspec

from stileloom.api.headers import HeaderNames
from stileloom.api.jobs import RewardCall
from stileloom.api.routes import Route, RouteKind
from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.events import LogEvent
from stileloom.fairness.priority import priority_of
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import ItemKey, OpenItem
from stileloom.jobs.reward_window import RewardWindow
from stileloom.logging import EventLog
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.lookup import Lookup, LookupResponse
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_table import SamplerTable

RETRY_S = 0.1
"""Delay before a call that returned no score is retried."""
MAX_RETRY_S = 2.0
"""The delay doubles with each call in a row whose attempts all broke, up to this: such a call may
have cost samplers, and is owed nevertheless."""
FAILED_STATUS = 500


class RewardListener(Protocol):
    """Receives the outcome of reward calls."""

    def on_scored(self, open_item: OpenItem, score: str) -> None:
        """Handles the score of an item's text."""

    def on_reward_failed(self, open_item: OpenItem, reason: str) -> None:
        """Handles a call that failed as often as its route allows."""


class PendingReward(msgspec.Struct):
    """A reward call without a score."""

    item: OpenItem
    call: RewardCall
    completed_at: float
    failures: int = 0
    """Number of failed attempts."""
    tries: int = 0
    """Number of times the call was forwarded, each with one or more attempts."""
    retry_s: float = RETRY_S
    """Delay before the next call, if all attempts of the current one break."""
    not_before: float = 0.0
    task: asyncio.Task[None] | None = None


class RewardCaller:
    """Reward calls of one leadership."""

    def __init__(
        self,
        forwarder: Forwarder,
        routes: RouteTable,
        samplers: SamplerTable,
        names: HeaderNames,
        listener: RewardListener,
        log: EventLog,
        metrics: JobMetrics,
        may_send: Callable[[], bool],
    ) -> None:
        self._forwarder = forwarder
        self._routes = routes
        self._samplers = samplers
        self._names = names
        self._listener = listener
        self._log = log
        self._metrics = metrics
        self._may_send = may_send
        """Whether this node still leads; it may have been suspended since its last step."""
        self._pending: dict[ItemKey, PendingReward] = {}
        self._windows: dict[str, RewardWindow] = {}
        self._step_scheduled = False

    def __len__(self) -> int:
        """Returns the number of pending reward calls."""
        return len(self._pending)

    def request_score(self, open_item: OpenItem, call: RewardCall) -> None:
        """Queues the reward call of an item with a complete text."""
        if open_item.key in self._pending:
            return
        now = steady_time()
        self._pending[open_item.key] = PendingReward(open_item, call, now)
        self._log.emit(
            LogEvent.REWARD_ASKED,
            {
                "item": open_item.item.item_id,
                "job": open_item.key[0],
                "reward": call.request_id,
                "events": len(open_item.partial.parts),
                "versions": list(open_item.partial.versions),
            },
        )
        self._schedule_step()

    def _schedule_step(self) -> None:
        """Starts due calls once all that are queued at this moment are known.

        A leader that takes over may queue hundreds of calls at once.
        """
        if not self._step_scheduled:
            self._step_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_scheduled_step)

    def _run_scheduled_step(self) -> None:
        self._step_scheduled = False
        self.step(steady_time())

    def cancel(self, key: ItemKey) -> None:
        """Cancels the reward call of an item."""
        pending = self._pending.pop(key, None)
        if pending is not None and pending.task is not None:
            pending.task.cancel()

    def stop(self) -> None:
        """Cancels all reward calls."""
        for key in list(self._pending):
            self.cancel(key)

    def step(self, now: float, freed_service: str = "") -> None:
        """Starts due calls in the order they were queued, within the limit of each service.

        With `freed_service`, in whose window a call has ended, the calls behind the first one that
        this window does not admit are left for the next step: looking at all of them after each
        answer would take longer than the leader's lease if hundreds wait.
        """
        if not self._may_send():
            return
        closed: set[str] = set()
        total_slots: dict[str, int] = {}
        for pending in list(self._pending.values()):
            if freed_service in closed:
                break
            if pending.task is not None or now < pending.not_before:
                continue
            route = self._routes.match(pending.call.host, pending.call.path)
            if route is None or route.kind is RouteKind.BATCH:
                # The call waits until a configuration change restores the route.
                continue
            service = self._routes.choose_backend(route)
            if service in closed:
                continue
            window = self._windows.setdefault(service, RewardWindow())
            if service not in total_slots:
                total_slots[service] = self._total_slots(service)
            if not window.may_start(now, total_slots[service]):
                closed.add(service)
                continue
            window.running += 1
            pending.tries += 1
            call = self._call(pending, route, service, window)
            pending.task = asyncio.get_running_loop().create_task(call)
            pending.task.add_done_callback(partial(self._on_task_done, pending))

    def _total_slots(self, service: str) -> int:
        return sum(sampler.entry.slots for sampler in self._samplers.of_service(service))

    async def _call(
        self, pending: PendingReward, route: Route, service: str, window: RewardWindow
    ) -> None:
        try:
            answer = await self._forward(pending, route, service)
        except StileloomError as error:
            now = steady_time()
            window.record_overload(now)
            self._schedule_retry(pending, now, f"{error.kind.value}: {error.detail}")
            if error.kind is ErrorKind.SAMPLER_FAILED:
                pending.not_before = now + pending.retry_s
                pending.retry_s = min(MAX_RETRY_S, 2 * pending.retry_s)
            return
        finally:
            window.running -= 1
        window.record_answer()
        self._handle_answer(pending, answer, route.max_attempts)
        self.step(steady_time(), freed_service=service)

    def _on_task_done(self, pending: PendingReward, task: asyncio.Task[None]) -> None:
        """Logs an internal error and retries the call, so that the item still gets its score."""
        if task.cancelled() or task.exception() is None:
            return
        error = repr(task.exception())
        self._log.emit(LogEvent.INTERNAL_FAULT, {**self._log_fields(pending), "error": error})
        if self._pending.get(pending.item.key) is pending:
            self._schedule_retry(pending, steady_time(), error)

    async def _forward(self, pending: PendingReward, route: Route, service: str) -> LookupResponse:
        """Forwards the call as a lookup, with the attempts and timeout of its route."""
        call = pending.call
        now = steady_time()
        remaining_s = max(RETRY_S, min(route.timeout_s, pending.item.deadline - now))
        headers = [("Host", call.host), (self._names.request_id, call.request_id)]
        if pending.item.tenant:
            headers.append((self._names.tenant, pending.item.tenant))
        if self._routes.keys is not None:
            priority = priority_of(self._routes.configuration, pending.item.tenant, route)
            headers.append((self._names.priority, str(priority)))
        lookup = Lookup(
            call.request_id,
            "POST",
            call.path,
            headers,
            call.body,
            now,
            now + remaining_s,
            tenant=pending.item.tenant,
            priority=route.priority,
            check_send=self._check_send,
        )
        safe_route = msgspec.structs.replace(route, kind=RouteKind.SAFE)
        return await self._forwarder.forward(lookup, safe_route, service)

    def _check_send(self) -> None:
        if not self._may_send():
            detail = "this node does not lead any more"
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, detail, Outcome.NOT_RUN)

    def _handle_answer(
        self, pending: PendingReward, answer: LookupResponse, max_attempts: int
    ) -> None:
        pending.retry_s = RETRY_S
        status = answer.head.status
        score = answer.head.headers.get(self._names.signature, "")
        pending.failures += answer.failed_attempts
        if 200 <= status < 300 and score:
            self._finish(pending, "scored")
            self._listener.on_scored(pending.item, score)
        elif pending.failures >= max_attempts:
            self._finish(pending, "failed")
            reason = f"its reward call failed {pending.failures} times"
            self._listener.on_reward_failed(pending.item, reason)
        else:
            self._schedule_retry(pending, steady_time(), f"status {status}")

    def _schedule_retry(self, pending: PendingReward, now: float, detail: str) -> None:
        pending.task = None
        pending.not_before = now + RETRY_S
        self._metrics.rewards.labels("asked_again").inc()
        self._log.emit(
            LogEvent.REWARD_RETRIED,
            {**self._log_fields(pending), "detail": detail},
        )

    def _finish(self, pending: PendingReward, outcome: str) -> None:
        del self._pending[pending.item.key]
        self._metrics.rewards.labels(outcome).inc()
        self._metrics.reward_wait.observe(steady_time() - pending.completed_at)
        self._log.emit(LogEvent.REWARD_ANSWERED, {**self._log_fields(pending), "outcome": outcome})

    def _log_fields(self, pending: PendingReward) -> dict[str, object]:
        return {
            "item": pending.item.item.item_id,
            "job": pending.item.key[0],
            "reward": pending.call.request_id,
            "tries": pending.tries,
            "failures": pending.failures,
            "waited_ms": round((steady_time() - pending.completed_at) * 1000),
        }
