"""The gateway core: admits, queues, routes and retries lookups, and answers each exactly once."""

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
from stileloom.policy import PolicyRegistry, PoolInput
from stileloom.routing.choice import Candidate, choose_sampler
from stileloom.routing.execution import Execution, ExecutionState, is_attempt_id
from stileloom.routing.explain import build_explanation, rule_inputs
from stileloom.routing.limits import RetryBudget, SamplerEjections, TenantLimits
from stileloom.routing.messages import (
    AnswerReady,
    CandidateView,
    ClaimIdempotencyKey,
    Explanation,
    LookupAnswer,
    LookupRequest,
    ReleaseIdempotencyKey,
    TokensReady,
)
from stileloom.samplers.effects import CloseStream, ConfirmNotRun, OpenStream
from stileloom.samplers.table import SamplerTable, SamplerView

STREAM_STALL_TIMEOUT_S = 3.0
"""An attempt fails if it produces no token for this long."""
CONFIRM_TIMEOUT_S = 1.0
SERVICE_TIME_SMOOTHING = 0.1
INITIAL_SERVICE_TIME_S = 0.3


class GatewayView(msgspec.Struct):
    """Read-only context of one call to the gateway."""

    configuration: Configuration | None
    policies: PolicyRegistry
    table: SamplerTable
    subset: Callable[[str], list[str]]
    """Returns the samplers of a pool that this gateway routes to."""
    wall_time_s: float
    lease_valid: bool
    time_since_lease_expiry_s: float


class Gateway:
    """All in-flight lookups of one node."""

    def __init__(self, node_id: str, zone: str, rng: random.Random, now: float) -> None:
        self.draining = False
        self._node_id = node_id
        self._zone = zone
        self._rng = rng
        self._executions: dict[str, Execution] = {}
        self._by_attempt: dict[str, str] = {}
        self._queues: dict[str, list[str]] = {}
        self._attempts_by_sampler: dict[str, int] = {}
        self._retry_budget = RetryBudget(now)
        self._tenants = TenantLimits()
        self._ejections = SamplerEjections()
        self._service_time_s: dict[str, float] = {}

    @property
    def open_count(self) -> int:
        """Number of requests without a final answer."""
        return len(self._executions)

    # Admission.

    def submit(self, now: float, request: LookupRequest, view: GatewayView) -> list[Effect]:
        """Admits or rejects a request; emits exactly one `AnswerReady` for it, now or later."""
        try:
            service, pool = self._admit(now, request, view)
        except StileloomError as error:
            return [AnswerReady(_rejection(request.request_id, error))]
        execution = Execution(
            request=request,
            priority=self._priority(request, view),
            state=ExecutionState.QUEUED,
            model=pool.model,
            arrived_at=now,
        )
        self._executions[request.request_id] = execution
        self._retry_budget.record_request()
        if request.idempotency_key:
            execution.state = ExecutionState.CLAIMING
            return [ClaimIdempotencyKey(request)]
        return self._enqueue(now, execution, service, view)

    def _admit(self, now: float, request: LookupRequest, view: GatewayView) -> tuple[Service, Pool]:
        if view.configuration is None:
            raise StileloomError(ErrorKind.NOT_READY, "no configuration received yet")
        if self.draining:
            raise StileloomError(ErrorKind.DRAINING, f"node {self._node_id} is draining")
        service = view.configuration.services.get(request.service)
        pool = view.configuration.pools.get(service.pool) if service is not None else None
        if service is None or pool is None:
            raise StileloomError(ErrorKind.UNKNOWN_SERVICE, f"unknown service {request.service!r}")
        if not view.lease_valid and not service.serve_when_cut_off:
            raise StileloomError(ErrorKind.NOT_READY, "the configuration lease has expired")
        if now >= request.deadline_at:
            raise StileloomError(ErrorKind.DEADLINE_PASSED, "deadline exceeded before admission")
        wait_s = self._tenants.admit(
            now, request.service, request.tenant, service.tenant_requests_per_s
        )
        if wait_s is not None:
            raise StileloomError(
                ErrorKind.RATE_LIMITED,
                f"rate limit of tenant {request.tenant!r} exceeded",
                retry_after_s=wait_s,
            )
        return service, pool

    def _priority(self, request: LookupRequest, view: GatewayView) -> int:
        return view.policies.priority(rule_inputs(request), view.wall_time_s)

    def on_claim_result(
        self, now: float, request_id: str, result: CommandResult | None, view: GatewayView
    ) -> list[Effect]:
        """Handles the result of an idempotency key claim, None if the ledger did not respond."""
        execution = self._executions.get(request_id)
        if execution is None or execution.state is not ExecutionState.CLAIMING:
            return []
        if isinstance(result, Done):
            execution.state = ExecutionState.QUEUED
            service = self._service(execution, view)
            if service is None:
                error = StileloomError(ErrorKind.UNKNOWN_SERVICE, "the service was removed")
                return self._fail(execution, error)
            return self._enqueue(now, execution, service, view)
        if isinstance(result, Refused):
            # An earlier request with this key may have run; the error kind determines the outcome.
            error = StileloomError(result.kind, result.detail)
            return self._send_error(execution, error=error, outcome=error.outcome)
        error = StileloomError(
            ErrorKind.LEDGER_UNAVAILABLE,
            "no response to the claim of the idempotency key",
            Outcome.NOT_RUN,
        )
        return self._fail(execution, error)

    # Queue.

    def _enqueue(
        self, now: float, execution: Execution, service: Service, view: GatewayView
    ) -> list[Effect]:
        queue = self._queues.setdefault(execution.request.service, [])
        if not queue:
            effects = self._try_start(now, execution, service, view)
            if effects is not None:
                return effects
        if not self._has_usable_sampler(now, service, view):
            error = StileloomError(ErrorKind.NO_SAMPLER, "no usable sampler for the service")
            return self._fail(execution, error)
        wait_s = self._expected_wait_s(execution, service, view, len(queue))
        if len(queue) >= service.queue_limit or now + wait_s >= execution.request.deadline_at:
            error = StileloomError(
                ErrorKind.OVERLOADED,
                f"{len(queue)} requests queued, expected wait {wait_s:.1f} s",
                retry_after_s=max(1.0, wait_s),
            )
            return self._fail(execution, error)
        position = len(queue)
        while position > 0 and self._executions[queue[position - 1]].priority < execution.priority:
            position -= 1
        queue.insert(position, execution.request.request_id)
        return []

    def _expected_wait_s(
        self, execution: Execution, service: Service, view: GatewayView, queued_before: int
    ) -> float:
        time_s = self._service_time_s.get(execution.request.service, INITIAL_SERVICE_TIME_S)
        capacity = max(1, len(view.subset(service.pool)) * service.concurrency_per_sampler)
        return time_s * (queued_before + 1) / capacity

    def tick(self, now: float, view: GatewayView) -> list[Effect]:
        """Fails requests that timed out or stalled, and starts queued requests."""
        effects: list[Effect] = []
        for execution in list(self._executions.values()):
            effects += self._check_timeouts(now, execution, view)
        for service_name in list(self._queues):
            effects += self._start_queued(now, service_name, view)
        return effects

    def _check_timeouts(self, now: float, execution: Execution, view: GatewayView) -> list[Effect]:
        if now >= execution.request.deadline_at:
            error = StileloomError(
                ErrorKind.DEADLINE_PASSED, "deadline exceeded", execution.outcome_on_failure
            )
            return self._cancel(execution, error)
        running = execution.state is ExecutionState.RUNNING
        if running and now >= execution.last_progress_at + STREAM_STALL_TIMEOUT_S:
            close = CloseStream(execution.sampler_id, execution.attempt_id)
            return [close, *self._attempt_failed(now, execution, False, "stream stalled", view)]
        confirming = execution.state is ExecutionState.CONFIRMING
        if confirming and now >= execution.last_progress_at + CONFIRM_TIMEOUT_S:
            error = StileloomError(ErrorKind.SAMPLER_FAILED, "no response from the sampler")
            return self._send_error(execution, error=error, outcome=Outcome.UNKNOWN)
        return []

    def _start_queued(self, now: float, service_name: str, view: GatewayView) -> list[Effect]:
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

    # Sampler selection and attempts.

    def _try_start(
        self, now: float, execution: Execution, service: Service, view: GatewayView
    ) -> list[Effect] | None:
        """Starts an attempt, or returns None if no sampler has capacity."""
        candidates = [
            Candidate(sampler.sampler_id, sampler.machine.zone, self._load(sampler))
            for sampler in self._samplers(service, view)
            if self._ineligibility(now, sampler, execution.model, execution.request, service, view)
            == ""
        ]
        untried = [c for c in candidates if c.sampler_id not in execution.tried_samplers]
        chosen = choose_sampler(
            untried or candidates, self._zone, execution.request.prefix_key, self._rng
        )
        if chosen is None:
            return None
        generate = execution.begin_attempt(now, chosen)
        self._by_attempt[execution.attempt_id] = execution.request.request_id
        self._attempts_by_sampler[chosen] = self._attempts_by_sampler.get(chosen, 0) + 1
        return [OpenStream(chosen, generate)]

    def _samplers(self, service: Service, view: GatewayView) -> list[SamplerView]:
        found = (view.table.get(sampler_id) for sampler_id in view.subset(service.pool))
        return [sampler for sampler in found if sampler is not None]

    def _load(self, sampler: SamplerView) -> int:
        return max(sampler.running, self._attempts_by_sampler.get(sampler.sampler_id, 0))

    def _ineligibility(
        self,
        now: float,
        sampler: SamplerView,
        model: str,
        request: LookupRequest,
        service: Service,
        view: GatewayView,
    ) -> str:
        """Returns why a sampler cannot take a request now, or an empty string if it can."""
        if sampler.leaving:
            return "leaving"
        if not sampler.usable(now) or sampler.load is None:
            return "no recent report, loading, or unknown weight version"
        if sampler.load.role is not SamplerRole.LOOKUP or sampler.load.model != model:
            return f"has role {sampler.load.role.value} and model {sampler.load.model}"
        if self._ejections.is_ejected(now, sampler.sampler_id):
            return "ejected after failures"
        if self._attempts_by_sampler.get(sampler.sampler_id, 0) >= service.concurrency_per_sampler:
            return "at the concurrency limit of this gateway"
        pool = view.configuration.pools.get(service.pool) if view.configuration else None
        home_role = pool.home_role.value if pool is not None else ""
        pool_input = PoolInput(service.pool, sampler.machine.zone, home_role)
        inputs = msgspec.structs.replace(rule_inputs(request), pool=pool_input)
        if not view.policies.may_place(inputs, view.wall_time_s):
            return "excluded by a placement rule"
        return ""

    def _has_usable_sampler(self, now: float, service: Service, view: GatewayView) -> bool:
        """Whether any sampler is usable, regardless of its load."""
        return any(
            sampler.usable(now) and not self._ejections.is_ejected(now, sampler.sampler_id)
            for sampler in self._samplers(service, view)
        )

    def owns_stream(self, attempt_id: str) -> bool:
        """Whether a stream is the current attempt of an in-flight lookup."""
        return attempt_id in self._by_attempt

    def stream_chunk(self, now: float, attempt_id: str, chunk: StreamChunk) -> list[Effect]:
        """Handles tokens of an attempt; chunks of earlier attempts are dropped."""
        execution = self._execution_of_attempt(attempt_id)
        if execution is None:
            return _late_response(attempt_id)
        first_token = len(execution.tokens)
        new_tokens = execution.append_chunk(now, chunk)
        if new_tokens is None:
            close = CloseStream(execution.sampler_id, attempt_id)
            self._end_attempt(execution)
            error = StileloomError(ErrorKind.SAMPLER_FAILED, "the stream skipped tokens")
            return [close, *self._send_error(execution, error=error, outcome=Outcome.UNKNOWN)]
        if execution.request.stream and new_tokens:
            return [TokensReady(execution.request.request_id, first_token, new_tokens)]
        return []

    def stream_end(
        self, now: float, attempt_id: str, end: StreamEnd, view: GatewayView
    ) -> list[Effect]:
        """Handles the end frame of an attempt; its token count shows whether any are missing."""
        execution = self._execution_of_attempt(attempt_id)
        if execution is None:
            return _late_response(attempt_id)
        if not execution.is_complete(end):
            return self._attempt_failed(now, execution, False, "stream truncated", view)
        self._ejections.record_success(execution.sampler_id)
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
            revision_age_s=0.0 if view.lease_valid else view.time_since_lease_expiry_s,
        )
        del self._executions[execution.request.request_id]
        return [AnswerReady(answer), *self._start_queued_for(now, execution, view)]

    def _start_queued_for(
        self, now: float, execution: Execution, view: GatewayView
    ) -> list[Effect]:
        name = execution.request.service
        return self._start_queued(now, name, view) if self._queues.get(name) else []

    def stream_failed(
        self, now: float, attempt_id: str, never_started: bool, detail: str, view: GatewayView
    ) -> list[Effect]:
        """Handles a failed attempt.

        `never_started` is set if no byte was sent or the sampler refused the request.
        """
        execution = self._execution_of_attempt(attempt_id)
        if execution is None:
            return []
        return self._attempt_failed(now, execution, never_started, detail, view)

    def _attempt_failed(
        self,
        now: float,
        execution: Execution,
        never_started: bool,
        detail: str,
        view: GatewayView,
    ) -> list[Effect]:
        effects: list[Effect] = []
        # Refusals do not count: samplers refuse requests while they swap weights or change role.
        if not never_started and self._ejections.record_failure(now, execution.sampler_id):
            effects.append(Emit(LogEvent.SAMPLER_EJECTED, {"sampler": execution.sampler_id}))
        self._end_attempt(execution)
        if never_started:
            execution.mark_attempt_not_started()
        if not execution.can_retry:
            execution.state = ExecutionState.CONFIRMING
            execution.last_progress_at = now
            # An engine never starts an attempt that it has reported as not started.
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
            ErrorKind.SAMPLER_FAILED, detail, execution.outcome_on_failure, retry_after_s=1.0
        )
        return self._fail(execution, error)

    def cancel_confirmed(
        self, now: float, attempt_id: str, state: CancelState | None
    ) -> list[Effect]:
        """Handles the engine's reply to `ConfirmNotRun`; `state` is None if there was no reply."""
        request_id = attempt_id.rsplit("#", 1)[0]
        execution = self._executions.get(request_id)
        if execution is None or execution.state is not ExecutionState.CONFIRMING:
            return []
        if state is CancelState.NEVER_BEGAN:
            execution.mark_attempt_not_started()
        outcome = execution.outcome_on_failure
        error = StileloomError(
            ErrorKind.SAMPLER_FAILED, "the sampler failed", outcome, retry_after_s=1.0
        )
        return self._fail(execution, error)

    def on_caller_disconnected(self, request_id: str) -> list[Effect]:
        """Cancels a request whose caller disconnected."""
        execution = self._executions.get(request_id)
        if execution is None:
            return []
        error = StileloomError(
            ErrorKind.DEADLINE_PASSED, "the caller disconnected", execution.outcome_on_failure
        )
        return self._cancel(execution, error)

    # Completion.

    def _execution_of_attempt(self, attempt_id: str) -> Execution | None:
        request_id = self._by_attempt.get(attempt_id)
        return self._executions.get(request_id) if request_id is not None else None

    def _end_attempt(self, execution: Execution) -> None:
        if self._by_attempt.pop(execution.attempt_id, None) is not None:
            remaining = self._attempts_by_sampler.get(execution.sampler_id, 1) - 1
            self._attempts_by_sampler[execution.sampler_id] = max(0, remaining)

    def _observe_service_time(self, now: float, execution: Execution) -> None:
        name = execution.request.service
        elapsed_s = now - execution.arrived_at
        previous = self._service_time_s.get(name, elapsed_s)
        self._service_time_s[name] = previous + SERVICE_TIME_SMOOTHING * (elapsed_s - previous)

    def _cancel(self, execution: Execution, error: StileloomError) -> list[Effect]:
        """Fails a request in any state and closes its stream, if one is open."""
        effects: list[Effect] = []
        if execution.state is ExecutionState.RUNNING:
            effects.append(CloseStream(execution.sampler_id, execution.attempt_id))
            self._end_attempt(execution)
        return effects + self._fail(execution, error)

    def _fail(self, execution: Execution, error: StileloomError) -> list[Effect]:
        """Fails a request; releases its idempotency key if it was not run."""
        effects: list[Effect] = []
        outcome = execution.outcome_on_failure
        key_claimed = execution.state is not ExecutionState.CLAIMING
        if execution.request.idempotency_key and outcome is Outcome.NOT_RUN and key_claimed:
            effects.append(ReleaseIdempotencyKey(execution.request))
        return effects + self._send_error(execution, error=error, outcome=outcome)

    def _send_error(
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

    # Explain.

    def explain(self, now: float, request: LookupRequest, view: GatewayView) -> Explanation:
        """Explains how a request would be routed. Raises the errors of admission."""
        service, pool = self._admit(now, request, view)
        candidate_views = [
            CandidateView(
                sampler.sampler_id,
                sampler.machine.zone,
                reason == "",
                reason,
                self._load(sampler),
            )
            for sampler in self._samplers(service, view)
            for reason in [self._ineligibility(now, sampler, pool.model, request, service, view)]
        ]
        inputs = rule_inputs(request)
        return build_explanation(
            request,
            service.pool,
            candidate_views,
            self._zone,
            view.policies,
            inputs,
            view.wall_time_s,
        )


def _late_response(attempt_id: str) -> list[Effect]:
    if not is_attempt_id(attempt_id):
        return []
    return [Emit(LogEvent.LATE_ANSWER_DROPPED, {"attempt": attempt_id})]


def _rejection(request_id: str, error: StileloomError) -> LookupAnswer:
    return LookupAnswer(request_id, [], [], error.outcome, error=error)
