"""Forwards lookups to samplers, with retries and hedging, until their deadline."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from stileloom.api.routes import Route, RouteKind
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, Outcome, StileloomError
from stileloom.events import LogEvent
from stileloom.http1.pool import ConnectionPool
from stileloom.http1.request_encoder import encode_request
from stileloom.load.recording import record_response_load
from stileloom.proxy.admission import suspect_refusal, wait_or_refuse
from stileloom.proxy.admission_waiters import AdmissionWaiters, LookupAdmission
from stileloom.proxy.attempt_plan import AttemptPlan
from stileloom.proxy.decisions import attempt_candidates
from stileloom.proxy.exchange import Attempt, AttemptOutcome, run_exchange
from stileloom.proxy.lookup import Lookup, LookupResponse
from stileloom.proxy.sampler_access import SamplerAccess
from stileloom.proxy.sampler_choice import SamplerChoice
from stileloom.proxy.sampler_table import TrackedSampler
from stileloom.quarantine.admission import RequestPermit


class Forwarder:
    """Forwards lookups on its own connections to samplers."""

    def __init__(
        self,
        access: SamplerAccess,
        hedges: bool = True,
        is_active: Callable[[str, float], bool] = lambda service, now: False,
    ) -> None:
        """`is_active` tells whether lookups of a service use the admission queue."""
        self._zone = access.zone
        self._samplers = access.samplers
        self._names = access.names
        self._log = access.log
        self._metrics = access.metrics
        self._rng = access.rng
        self._guard = access.guard
        self._count_run = access.count_run
        self.load = access.load
        self._choice = SamplerChoice(access.load, access.rng)
        self.on_lookup_active: Callable[[str], None] = lambda service: None
        """Called with the service when a lookup arrives and whenever it makes progress."""
        self._hedges = hedges
        self._is_active = is_active
        self._waiters = AdmissionWaiters(access.log, access.metrics)
        self._pool = ConnectionPool(access.metrics.connection_opened)
        self._response_memory = access.response_memory

    def close_connections(self, sampler_id: str) -> None:
        """Closes the keep-alive connections of a removed sampler."""
        self._pool.close_connections(sampler_id)

    async def forward(self, lookup: Lookup, route: Route, service: str) -> LookupResponse:
        """Returns a sampler's response.

        Raises `StileloomError`: QUARANTINED, OVERLOADED or NO_SAMPLER if the lookup did not run,
        SAMPLER_FAILED or DEADLINE_PASSED if it may have run, or what `check_send` of the lookup
        raised. Cancelling the call cancels all
        running attempts.
        """
        permit = await self._guard.admit(lookup.request_id, lookup.identity)
        plan = AttemptPlan(
            service=service,
            zone=self._zone,
            repeatable=route.kind is RouteKind.SAFE,
            max_attempts=route.max_attempts,
            target_latency_s=route.target_latency_s,
            started_at=lookup.arrived_at,
            hedges=self._hedges and not permit.suspected,
        )
        attempts: set[asyncio.Task[Attempt]] = set()
        admission: LookupAdmission | None = None
        if self._is_active(service, steady_time()):
            admission = self._waiters.begin(lookup, plan)
        try:
            if admission is not None:
                refusal = await admission.enter()
                if refusal is not None:
                    raise refusal
            return await self._run_attempts(lookup, plan, permit, attempts, admission)
        finally:
            for task in attempts:
                task.cancel()
            if admission is not None:
                admission.leave()
            if plan.began_at is not None:
                self._count_run(lookup.tenant, plan.began_at)

    async def _run_attempts(
        self,
        lookup: Lookup,
        plan: AttemptPlan,
        permit: RequestPermit,
        attempts: set[asyncio.Task[Attempt]],
        admission: LookupAdmission | None,
    ) -> LookupResponse:
        last_failure: Attempt | None = None
        failed_attempts = 0
        while True:
            now = steady_time()
            self.on_lookup_active(plan.service)
            if now >= lookup.deadline_at:
                raise self._deadline_error(plan)
            wake_at = lookup.deadline_at
            if plan.may_start() and permit.attempts_left > plan.running:
                if plan.running and now < plan.hedge_at():
                    wake_at = min(wake_at, plan.hedge_at())
                elif not permit.leaves_healthy_sampler(self._samplers, plan.service):
                    if not attempts:
                        raise suspect_refusal(plan)
                elif admission is not None and not admission.may_send(now):
                    if not attempts:
                        return self._final_response(plan, last_failure, failed_attempts)
                    plan.hedges = False
                    continue
                elif self._start_attempt(lookup, plan, attempts, admission, now):
                    continue
                elif not attempts:
                    refusal = await self._wait_for_sampler(lookup, plan, admission)
                    if refusal is None:
                        continue
                    if last_failure is not None:
                        return self._final_response(plan, last_failure, failed_attempts)
                    raise refusal
            elif not attempts:
                return self._final_response(plan, last_failure, failed_attempts)
            done, _ = await asyncio.wait(
                attempts, timeout=wake_at - now, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                attempts.discard(task)
                attempt = task.result()
                if admission is not None and attempt.outcome is AttemptOutcome.ANSWERED:
                    admission.place_freed()
                if attempt.outcome is AttemptOutcome.BROKEN and attempt.entry is not None:
                    await permit.on_attempt_failed(attempt.entry, attempt.started_at)
                    plan.hedges = plan.hedges and not permit.suspected
                if self._apply_outcome(lookup, plan, attempt) and attempt.head is not None:
                    if attempt.head.status < 500:
                        permit.record_success()
                        lookup.decision.answered_by = attempt.sampler_id
                        self._log_response(lookup, plan, attempt)
                        return LookupResponse(attempt.head, attempt.body)
                    last_failure = attempt
                    failed_attempts += attempt.head.status == 500

    def _log_response(self, lookup: Lookup, plan: AttemptPlan, attempt: Attempt) -> None:
        fields: dict[str, object] = {
            "request": lookup.request_id,
            "service": plan.service,
            "sampler": attempt.sampler_id,
            "attempts": len(plan.tried),
            "took_ms": round((steady_time() - lookup.arrived_at) * 1000),
        }
        self._log.emit(LogEvent.REQUEST_ANSWERED, fields)

    def _start_attempt(
        self,
        lookup: Lookup,
        plan: AttemptPlan,
        attempts: set[asyncio.Task[Attempt]],
        admission: LookupAdmission | None,
        now: float,
    ) -> bool:
        if admission is not None and admission.round_ended(now):
            return False
        tracked = plan.select_sampler(self._samplers, now, self._rng, self._choice)
        if tracked is None:
            return False
        if admission is not None:
            admission.record_start(now)
        plan.record_start(tracked.entry.sampler_id, now)
        candidates = attempt_candidates(plan, tracked.entry, self.load, now)
        lookup.decision.record_selection(now, candidates)
        attempts.add(
            asyncio.get_running_loop().create_task(self._run_attempt(lookup, plan, tracked))
        )
        return True

    async def _wait_for_sampler(
        self, lookup: Lookup, plan: AttemptPlan, admission: LookupAdmission | None
    ) -> StileloomError | None:
        """Waits until samplers may be tried again, or returns the error to refuse with."""
        if admission is not None and plan.full:
            refusal = await admission.wait_for_slot()
            if refusal is None:
                plan.reset_refusals()
            return refusal
        listed = len(self._samplers.of_service(plan.service))
        decision = wait_or_refuse(plan, listed, lookup.deadline_at, steady_time())
        if isinstance(decision, StileloomError):
            return decision
        await asyncio.sleep(decision)
        plan.reset_refusals()
        return None

    def _final_response(
        self, plan: AttemptPlan, last_failure: Attempt | None, failed_attempts: int
    ) -> LookupResponse:
        """Returns the last error response of a sampler; raises SAMPLER_FAILED if there is none."""
        if last_failure is not None and last_failure.head is not None:
            return LookupResponse(last_failure.head, last_failure.body, failed_attempts)
        raise StileloomError(
            ErrorKind.SAMPLER_FAILED, f"{plan.possible_runs} attempts failed without a response"
        )

    def _deadline_error(self, plan: AttemptPlan) -> StileloomError:
        if plan.possible_runs or plan.running:
            tried = ", ".join(sorted(plan.tried - plan.refused_by))
            detail = f"no answer in time from {tried}"
            return StileloomError(ErrorKind.DEADLINE_PASSED, detail, Outcome.UNKNOWN)
        return StileloomError(ErrorKind.OVERLOADED, "not started before the deadline")

    def _apply_outcome(self, lookup: Lookup, plan: AttemptPlan, attempt: Attempt) -> bool:
        """Records an attempt's outcome; returns whether it has a response for the caller."""
        now = steady_time()
        sampler_id = attempt.sampler_id
        outcome = attempt.outcome
        self._metrics.attempts.labels(outcome.value).inc()
        if outcome is AttemptOutcome.ANSWERED:
            self._samplers.record_success(sampler_id)
            plan.record_run()
            return True
        if outcome is AttemptOutcome.REFUSED:
            plan.record_refusal(sampler_id)
        elif outcome is AttemptOutcome.MISDIRECTED:
            self._samplers.mark_draining(sampler_id)
            plan.record_refusal(sampler_id, full=False)
        elif outcome is AttemptOutcome.NOT_CONNECTED:
            self._samplers.record_failure(sampler_id, now)
            plan.record_connect_failure(sampler_id)
        else:
            self._samplers.record_failure(sampler_id, now)
            plan.record_run()
        self._log.emit(
            LogEvent.ATTEMPT_FAILED,
            {
                "request": lookup.request_id,
                "identity": lookup.identity(),
                "caller": lookup.caller_address,
                "sampler": sampler_id,
                "outcome": outcome.value,
                "detail": attempt.detail,
                "ran": plan.possible_runs,
                "left_ms": round((lookup.deadline_at - now) * 1000),
            },
        )
        return False

    async def _run_attempt(
        self, lookup: Lookup, plan: AttemptPlan, tracked: TrackedSampler
    ) -> Attempt:
        entry = tracked.entry
        tracked.open_requests += 1
        try:
            try:
                connection = await self._pool.acquire(entry.sampler_id, entry.address)
            except (OSError, TimeoutError) as error:
                return Attempt(
                    entry.sampler_id, AttemptOutcome.NOT_CONNECTED, detail=type(error).__name__
                )
            try:
                lookup.check_send()
            except StileloomError:
                self._pool.release(entry.sampler_id, connection)
                raise
            started_at = steady_time()
            if started_at >= lookup.deadline_at:
                # The process was paused while it connected.
                self._pool.release(entry.sampler_id, connection)
                raise StileloomError(ErrorKind.DEADLINE_PASSED, "not sent before the deadline")
            request = self._encode(lookup, entry.sampler_id)
            plan.record_sent(entry.sampler_id, started_at)
            attempt = await run_exchange(
                connection,
                request,
                entry.sampler_id,
                lookup.request_id,
                self._names,
                lookup.method,
                self._response_memory,
            )
            self._pool.release(entry.sampler_id, connection)
            self._record_load(entry, attempt)
            return msgspec.structs.replace(attempt, entry=entry, started_at=started_at)
        finally:
            tracked.open_requests -= 1

    def _record_load(self, entry: SamplerEntry, attempt: Attempt) -> None:
        if attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.REFUSED) and attempt.head:
            headers, names = attempt.head.headers, self._names
            record_response_load(self.load, entry, headers, names, attempt.head_at, steady_time())
            # Its load may be the news that other gateways lack; the next lookup may be far off.
            self.on_lookup_active(entry.service)

    def _encode(self, lookup: Lookup, sampler_id: str) -> bytes:
        names = self._names
        remaining_ms = max(1, int((lookup.deadline_at - steady_time()) * 1000))
        replaced = {names.deadline_ms.lower(), names.expect_sampler.lower()}
        headers = [(name, value) for name, value in lookup.headers if name.lower() not in replaced]
        headers += [(names.deadline_ms, str(remaining_ms)), (names.expect_sampler, sampler_id)]
        return encode_request(lookup.method, lookup.target, headers, lookup.body)
