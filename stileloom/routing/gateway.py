"""The gateway's core: admits lookups, queues, routes, retries, and answers each one once."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from stileloom import constants
from stileloom.api.engine import CancelState, StreamChunk, StreamEnd
from stileloom.api.objects import Configuration, Pool, SamplerRole, Service
from stileloom.effects import Effect, Emit
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.events import LogEvent
from stileloom.ledger.commands import CommandResult, Done, Refused
from stileloom.policy import PolicyBook, PoolInput
from stileloom.routing.choice import Candidate, choose_sampler
from stileloom.routing.execution import Execution, ExecutionState, is_attempt_id
from stileloom.routing.explain import explanation, rule_inputs
from stileloom.routing.limits import Ejections, RetryBudget, TenantLimits
from stileloom.routing.messages import (
    AnswerReady,
    CandidateView,
    ClaimWanted,
    Explanation,
    LookupAnswer,
    LookupRequest,
    ReleaseWanted,
    TokensReady,
)
from stileloom.samplers.effects import CloseStream, ConfirmNotRun, OpenStream
from stileloom.samplers.table import SamplerTable, SamplerView

STALL_S = 3.0
"""An attempt without a token for this long counts as failed."""
CONFIRM_TIMEOUT_S = 1.0
SERVICE_TIME_SMOOTHING = 0.1
SERVICE_TIME_GUESS_S = 0.3


class GatewayView(msgspec.Struct):
    """What the gateway may look at in one call."""

    configuration: Configuration | None
    policies: PolicyBook
    table: SamplerTable
    subset: Callable[[str], list[str]]
    """The samplers of a pool that this gateway routes to."""
    wall_time_s: float
    lease_valid: bool
    lease_age_s: float


class Gateway:
    """All lookups under way at one node."""

    def __init__(self, node_id: str, zone: str, rng: random.Random, now: float) -> None:
        self.draining = False
        self._node_id = node_id
        self._zone = zone
        self._rng = rng
        self._executions: dict[str, Execution] = {}
        self._by_attempt: dict[str, str] = {}
        self._queues: dict[str, list[str]] = {}
        self._in_flight: dict[str, int] = {}
        self._retry_budget = RetryBudget(now)
        self._tenants = TenantLimits()
        self._ejections = Ejections()
        self._service_time_s: dict[str, float] = {}

    @property
    def open_count(self) -> int:
        """Requests without a final answer."""
        return len(self._executions)

    # Admission.

    def submit(self, now: float, request: LookupRequest, view: GatewayView) -> list[Effect]:
        """Takes a request; exactly one `AnswerReady` follows, now or later."""
        try:
            service, pool = self._admit(now, request, view)
        except StileloomError as error:
            return [AnswerReady(_refusal(request.request_id, error))]
        execution = Execution(
            request=request,
            priority=self._priority(request, view),
            state=ExecutionState.QUEUED,
            model=pool.model,
            arrived_at=now,
        )
        self._executions[request.request_id] = execution
        self._retry_budget.request_seen()
        if request.idempotency_key:
            execution.state = ExecutionState.CLAIMING
            return [ClaimWanted(request)]
        return self._enqueue(now, execution, service, view)

    def _admit(self, now: float, request: LookupRequest, view: GatewayView) -> tuple[Service, Pool]:
        if view.configuration is None:
            raise StileloomError(ErrorKind.NOT_READY, "no configuration learned yet")
        if self.draining:
            raise StileloomError(ErrorKind.DRAINING, f"node {self._node_id} is draining")
        service = view.configuration.services.get(request.service)
        pool = view.configuration.pools.get(service.pool) if service is not None else None
        if service is None or pool is None:
            raise StileloomError(ErrorKind.UNKNOWN_SERVICE, f"no service {request.service!r}")
        if not view.lease_valid and not service.serve_when_cut_off:
            raise StileloomError(ErrorKind.NOT_READY, "the configuration lease has lapsed")
        if now >= request.deadline_at:
            raise StileloomError(ErrorKind.DEADLINE_PASSED, "the deadline passed before admission")
        wait_s = self._tenants.admit(
            now, request.service, request.tenant, service.tenant_requests_per_s
        )
        if wait_s is not None:
            raise StileloomError(
                ErrorKind.RATE_LIMITED, f"tenant {request.tenant!r}", retry_after_s=wait_s
            )
        return service, pool

    def _priority(self, request: LookupRequest, view: GatewayView) -> int:
        return view.policies.priority(rule_inputs(request), view.wall_time_s)

    def claimed(
        self, now: float, request_id: str, result: CommandResult | None, view: GatewayView
    ) -> list[Effect]:
        """The ledger answered the claim of an idempotency key; None if not in time."""
        execution = self._executions.get(request_id)
        if execution is None or execution.state is not ExecutionState.CLAIMING:
            return []
        if isinstance(result, Done):
            execution.state = ExecutionState.QUEUED
            service = self._service(execution, view)
            if service is None:
                error = StileloomError(ErrorKind.UNKNOWN_SERVICE, "the service was withdrawn")
                return self._give_up(execution, error)
            return self._enqueue(now, execution, service, view)
        if isinstance(result, Refused):
            # An earlier request with this key may have run: the outcome is the table's.
            error = StileloomError(result.kind, result.detail)
            return self._finish(execution, error=error, outcome=error.outcome)
        error = StileloomError(
            ErrorKind.LEDGER_UNAVAILABLE, "the key could not be claimed", Outcome.NOT_RUN
        )
        return self._give_up(execution, error)

    # Queue.

    def _enqueue(
        self, now: float, execution: Execution, service: Service, view: GatewayView
    ) -> list[Effect]:
        queue = self._queues.setdefault(execution.request.service, [])
        if not queue:
            effects = self._try_start(now, execution, service, view)
            if effects is not None:
                return effects
        if not self._reachable(now, service, view):
            error = StileloomError(ErrorKind.NO_SAMPLER, "no sampler can take the request")
            return self._give_up(execution, error)
        wait_s = self._expected_wait_s(execution, service, view, len(queue))
        if len(queue) >= service.queue_limit or now + wait_s >= execution.request.deadline_at:
            error = StileloomError(
                ErrorKind.OVERLOADED,
                f"{len(queue)} requests wait, about {wait_s:.1f} s",
                retry_after_s=max(1.0, wait_s),
            )
            return self._give_up(execution, error)
        position = len(queue)
        while position > 0 and self._executions[queue[position - 1]].priority < execution.priority:
            position -= 1
        queue.insert(position, execution.request.request_id)
        return []

    def _expected_wait_s(
        self, execution: Execution, service: Service, view: GatewayView, ahead: int
    ) -> float:
        time_s = self._service_time_s.get(execution.request.service, SERVICE_TIME_GUESS_S)
        places = max(1, len(view.subset(service.pool)) * service.concurrency_per_sampler)
        return time_s * (ahead + 1) / places

    def tick(self, now: float, view: GatewayView) -> list[Effect]:
        """Starts what can start; ends what is out of time or stalls."""
        effects: list[Effect] = []
        for execution in list(self._executions.values()):
            effects += self._check_time(now, execution, view)
        for service_name in list(self._queues):
            effects += self._drain_queue(now, service_name, view)
        return effects

    def _check_time(self, now: float, execution: Execution, view: GatewayView) -> list[Effect]:
        if now >= execution.request.deadline_at:
            error = StileloomError(
                ErrorKind.DEADLINE_PASSED, "out of time", execution.outcome_if_given_up
            )
            return self._abandon(execution, error)
        running = execution.state is ExecutionState.RUNNING
        if running and now >= execution.progress_at + STALL_S:
            close = CloseStream(execution.sampler_id, execution.attempt_id)
            return [close, *self._attempt_failed(now, execution, False, "stalled", view)]
        confirming = execution.state is ExecutionState.CONFIRMING
        if confirming and now >= execution.progress_at + CONFIRM_TIMEOUT_S:
            error = StileloomError(ErrorKind.SAMPLER_FAILED, "the sampler did not answer")
            return self._finish(execution, error=error, outcome=Outcome.UNKNOWN)
        return []

    def _drain_queue(self, now: float, service_name: str, view: GatewayView) -> list[Effect]:
        effects: list[Effect] = []
        queue = self._queues[service_name]
        while queue:
            execution = self._executions[queue[0]]
            service = self._service(execution, view)
            if service is None:
                break
            started = self._try_start(now, execution, service, view)
            if started is None:
                break
            queue.pop(0)
            effects += started
        return effects

    def _service(self, execution: Execution, view: GatewayView) -> Service | None:
        if view.configuration is None:
            return None
        return view.configuration.services.get(execution.request.service)

    # Choice and attempts.

    def _try_start(
        self, now: float, execution: Execution, service: Service, view: GatewayView
    ) -> list[Effect] | None:
        """Starts an attempt, or returns None where no sampler has room."""
        candidates = [
            Candidate(sampler.sampler_id, sampler.machine.zone, self._load(sampler))
            for sampler in self._samplers(service, view)
            if self._fault(now, sampler, execution.model, execution.request, service, view) == ""
        ]
        fresh = [c for c in candidates if c.sampler_id not in execution.tried]
        chosen = choose_sampler(
            fresh or candidates, self._zone, execution.request.prefix_key, self._rng
        )
        if chosen is None:
            return None
        generate = execution.begin_attempt(now, chosen)
        self._by_attempt[execution.attempt_id] = execution.request.request_id
        self._in_flight[chosen] = self._in_flight.get(chosen, 0) + 1
        return [OpenStream(chosen, generate)]

    def _samplers(self, service: Service, view: GatewayView) -> list[SamplerView]:
        found = (view.table.get(sampler_id) for sampler_id in view.subset(service.pool))
        return [sampler for sampler in found if sampler is not None]

    def _load(self, sampler: SamplerView) -> int:
        return max(sampler.running, self._in_flight.get(sampler.sampler_id, 0))

    def _fault(
        self,
        now: float,
        sampler: SamplerView,
        model: str,
        request: LookupRequest,
        service: Service,
        view: GatewayView,
    ) -> str:
        """Why a sampler may not take a request now; empty where it may."""
        if sampler.leaving:
            return "leaving"
        if not sampler.usable(now) or sampler.load is None:
            return "not heard of, loading, or on an unknown version"
        if sampler.load.role is not SamplerRole.LOOKUP or sampler.load.model != model:
            return f"works as {sampler.load.role.value} with {sampler.load.model}"
        if self._ejections.is_ejected(now, sampler.sampler_id):
            return "ejected after failures"
        if self._in_flight.get(sampler.sampler_id, 0) >= service.concurrency_per_sampler:
            return "has all requests that this gateway may give it"
        pool = view.configuration.pools.get(service.pool) if view.configuration else None
        home_role = pool.home_role.value if pool is not None else ""
        place = PoolInput(service.pool, sampler.machine.zone, home_role)
        inputs = msgspec.structs.replace(rule_inputs(request), pool=place)
        if not view.policies.may_place(inputs, view.wall_time_s):
            return "refused by a placement rule"
        return ""

    def _reachable(self, now: float, service: Service, view: GatewayView) -> bool:
        """Whether any sampler could take requests once it has room."""
        return any(
            sampler.usable(now) and not self._ejections.is_ejected(now, sampler.sampler_id)
            for sampler in self._samplers(service, view)
        )

    def owns_stream(self, attempt_id: str) -> bool:
        """Whether a stream belongs to a lookup of this gateway that still waits for it."""
        return attempt_id in self._by_attempt

    def stream_chunk(self, now: float, attempt_id: str, chunk: StreamChunk) -> list[Effect]:
        """Tokens of an attempt. Those of an earlier attempt are dropped."""
        execution = self._current(attempt_id)
        if execution is None:
            return _late(attempt_id)
        first_token = len(execution.tokens)
        fresh = execution.take_chunk(now, chunk)
        if fresh is None:
            close = CloseStream(execution.sampler_id, attempt_id)
            self._end_attempt(execution)
            error = StileloomError(ErrorKind.SAMPLER_FAILED, "the stream left a gap")
            return [close, *self._finish(execution, error=error, outcome=Outcome.UNKNOWN)]
        if execution.request.stream and fresh:
            return [TokensReady(execution.request.request_id, first_token, fresh)]
        return []

    def stream_end(
        self, now: float, attempt_id: str, end: StreamEnd, view: GatewayView
    ) -> list[Effect]:
        """The counted last frame of an attempt."""
        execution = self._current(attempt_id)
        if execution is None:
            return _late(attempt_id)
        if not execution.is_whole(end):
            return self._attempt_failed(now, execution, False, "the stream was cut", view)
        self._ejections.succeeded(execution.sampler_id)
        self._end_attempt(execution)
        self._observe_service_time(now, execution)
        answer = LookupAnswer(
            request_id=execution.request.request_id,
            tokens=execution.tokens,
            weight_versions=sorted({s.weight_version for s in execution.segments}),
            outcome=Outcome.COMPLETED,
            finish_reason=end.finish_reason,
            attempts=execution.attempts,
            revision=view.configuration.revision if view.configuration else 0,
            revision_age_s=0.0 if view.lease_valid else view.lease_age_s,
        )
        del self._executions[execution.request.request_id]
        return [AnswerReady(answer), *self._drain_queue_of(now, execution, view)]

    def _drain_queue_of(self, now: float, execution: Execution, view: GatewayView) -> list[Effect]:
        name = execution.request.service
        return self._drain_queue(now, name, view) if self._queues.get(name) else []

    def stream_failed(
        self, now: float, attempt_id: str, surely_not_begun: bool, detail: str, view: GatewayView
    ) -> list[Effect]:
        """An attempt failed; `surely_not_begun` where no byte was sent or it was refused."""
        execution = self._current(attempt_id)
        if execution is None:
            return []
        return self._attempt_failed(now, execution, surely_not_begun, detail, view)

    def _attempt_failed(
        self,
        now: float,
        execution: Execution,
        surely_not_begun: bool,
        detail: str,
        view: GatewayView,
    ) -> list[Effect]:
        effects: list[Effect] = []
        # A refusal is the sampler's right (it swaps, or has left the role), not a fault.
        if not surely_not_begun and self._ejections.failed(now, execution.sampler_id):
            effects.append(Emit(LogEvent.SAMPLER_EJECTED, {"sampler": execution.sampler_id}))
        self._end_attempt(execution)
        if surely_not_begun:
            execution.attempt_never_began()
        if not execution.may_be_sent_again:
            execution.state = ExecutionState.CONFIRMING
            execution.progress_at = now
            # Tombstones the id at the engine, so "not run" stays true if it says so.
            return [*effects, ConfirmNotRun(execution.sampler_id, execution.attempt_id)]
        return effects + self._retry(now, execution, detail, view)

    def _retry(
        self, now: float, execution: Execution, detail: str, view: GatewayView
    ) -> list[Effect]:
        service = self._service(execution, view)
        allowed = execution.attempts < constants.MAX_ATTEMPTS and service is not None
        if allowed and service is not None and self._retry_budget.may_retry(now):
            started = self._try_start(now, execution, service, view)
            if started is not None:
                event = LogEvent.STREAM_RESUMED if execution.tokens else LogEvent.REQUEST_RETRIED
                fields: dict[str, object] = {
                    "request": execution.request.request_id,
                    "cause": detail,
                    "at_token": len(execution.tokens),
                }
                return [Emit(event, fields), *started]
        error = StileloomError(
            ErrorKind.SAMPLER_FAILED, detail, execution.outcome_if_given_up, retry_after_s=1.0
        )
        return self._give_up(execution, error)

    def cancel_confirmed(
        self, now: float, attempt_id: str, state: CancelState | None
    ) -> list[Effect]:
        """The engine said whether the request ever began; None if it did not answer."""
        request_id = attempt_id.rsplit("#", 1)[0]
        execution = self._executions.get(request_id)
        if execution is None or execution.state is not ExecutionState.CONFIRMING:
            return []
        if state is CancelState.NEVER_BEGAN:
            execution.attempt_never_began()
        outcome = execution.outcome_if_given_up
        error = StileloomError(
            ErrorKind.SAMPLER_FAILED, "the sampler failed", outcome, retry_after_s=1.0
        )
        return self._give_up(execution, error)

    def cancelled_by_caller(self, request_id: str) -> list[Effect]:
        """The caller went away: nothing more is to be sent or run for it."""
        execution = self._executions.get(request_id)
        if execution is None:
            return []
        error = StileloomError(
            ErrorKind.DEADLINE_PASSED, "the caller went away", execution.outcome_if_given_up
        )
        return self._abandon(execution, error)

    # Ends.

    def _current(self, attempt_id: str) -> Execution | None:
        request_id = self._by_attempt.get(attempt_id)
        return self._executions.get(request_id) if request_id is not None else None

    def _end_attempt(self, execution: Execution) -> None:
        if self._by_attempt.pop(execution.attempt_id, None) is not None:
            left = self._in_flight.get(execution.sampler_id, 1) - 1
            self._in_flight[execution.sampler_id] = max(0, left)

    def _observe_service_time(self, now: float, execution: Execution) -> None:
        name = execution.request.service
        taken_s = now - execution.arrived_at
        known = self._service_time_s.get(name, taken_s)
        self._service_time_s[name] = known + SERVICE_TIME_SMOOTHING * (taken_s - known)

    def _abandon(self, execution: Execution, error: StileloomError) -> list[Effect]:
        """Ends a request wherever it is, and cancels its attempt."""
        effects: list[Effect] = []
        if execution.state is ExecutionState.RUNNING:
            effects.append(CloseStream(execution.sampler_id, execution.attempt_id))
            self._end_attempt(execution)
        return effects + self._give_up(execution, error)

    def _give_up(self, execution: Execution, error: StileloomError) -> list[Effect]:
        """The final answer, at once; a key whose request did not run is released."""
        effects: list[Effect] = []
        outcome = execution.outcome_if_given_up
        claimed = execution.state is not ExecutionState.CLAIMING
        if execution.request.idempotency_key and outcome is Outcome.NOT_RUN and claimed:
            effects.append(ReleaseWanted(execution.request))
        return effects + self._finish(execution, error=error, outcome=outcome)

    def _finish(
        self, execution: Execution, error: StileloomError, outcome: Outcome
    ) -> list[Effect]:
        request_id = execution.request.request_id
        self._executions.pop(request_id, None)
        queue = self._queues.get(execution.request.service, [])
        if request_id in queue:
            queue.remove(request_id)
        error.outcome = outcome
        answer = LookupAnswer(request_id, [], [], outcome, error=error, attempts=execution.attempts)
        fields: dict[str, object] = {
            "request": request_id,
            "code": error.kind.value,
            "detail": error.detail,
            "outcome": outcome.value,
        }
        return [Emit(LogEvent.REQUEST_FAILED, fields), AnswerReady(answer)]

    # Explaining.

    def explain(self, now: float, request: LookupRequest, view: GatewayView) -> Explanation:
        """Why a request would go where; raises what admission would."""
        service, pool = self._admit(now, request, view)
        rows = [
            CandidateView(
                sampler.sampler_id,
                sampler.machine.zone,
                fault == "",
                fault,
                self._load(sampler),
            )
            for sampler in self._samplers(service, view)
            for fault in [self._fault(now, sampler, pool.model, request, service, view)]
        ]
        inputs = rule_inputs(request)
        return explanation(
            request, service.pool, rows, self._zone, view.policies, inputs, view.wall_time_s
        )


def _late(attempt_id: str) -> list[Effect]:
    if not is_attempt_id(attempt_id):
        return []
    return [Emit(LogEvent.LATE_ANSWER_DROPPED, {"attempt": attempt_id})]


def _refusal(request_id: str, error: StileloomError) -> LookupAnswer:
    return LookupAnswer(request_id, [], [], error.outcome, error=error)
