"""Relays streaming responses from samplers to callers, event by event.

A broken stream is resumed at another sampler after its last complete event if the route allows it;
the caller keeps the head of the first response. Otherwise the request is sent again only if a
sampler confirmed that it did not run. A stream that can't be completed is aborted, so that the
caller detects the truncation.
"""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

import msgspec

from stileloom.api.routes import Route
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.http1.answer import AnswerKind, NotAnAnswer, classify_answer
from stileloom.http1.connection import ExchangeEnd, SamplerConnection
from stileloom.http1.event_stream import EventSplitter, MalformedEvent
from stileloom.http1.limits import MAX_ERROR_BYTES
from stileloom.http1.pool import ConnectionPool
from stileloom.http1.request_encoder import encode_request
from stileloom.http1.response_decoder import ResponseHead
from stileloom.load.recording import record_response_load
from stileloom.proxy.admission import suspect_refusal, wait_or_refuse
from stileloom.proxy.attempt_plan import AttemptPlan
from stileloom.proxy.decisions import attempt_candidates
from stileloom.proxy.lookup import Lookup, LookupResponse
from stileloom.proxy.sampler_access import SamplerAccess
from stileloom.proxy.sampler_choice import SamplerChoice
from stileloom.proxy.sampler_table import TrackedSampler

EVENT_TIMEOUT_S = 1.2
"""A resumable stream is moved to another sampler after this time without data."""
RESUME_RETRY_DELAY_S = 0.03
"""Delay before samplers are tried again for a stream that has started; it is retried until its
deadline."""
EVENT_STREAM_TYPE = "text/event-stream"


MAX_UNSENT_BYTES = 65_536
"""While more than this waits for the caller, no more is read from the sampler."""
UNSENT_TIMEOUT_S = 2.0
"""Time in this state after which the stream ends, before the sampler closes an unread response."""
UNSENT_CHECK_INTERVAL_S = 0.02


class StreamWriter(Protocol):
    """The caller's side of a stream."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the caller; always 0 unless callers are limited."""

    def start(self, head: ResponseHead) -> None:
        """Sends the response head."""

    def write(self, data: bytes) -> None:
        """Sends events."""

    def end_stream(self) -> None:
        """Ends the response as complete."""

    def abort(self) -> None:
        """Aborts the response."""


class _RunEnd(enum.Enum):
    COMPLETE = "whole"
    RESPONSE = "answer"
    """A complete response that is not a stream, such as an error of the sampler."""
    REFUSED = "refused"
    BROKEN = "broken"
    UNREAD = "unread"
    """The caller does not read the stream."""


class _Run(msgspec.Struct):
    """Result of one run."""

    end: _RunEnd
    detail: str = ""
    response: LookupResponse | None = None


class _ResponseQueue:
    """Passes the parts of a response to a coroutine through a queue."""

    def __init__(self) -> None:
        self.parts: asyncio.Queue[ResponseHead | bytes | ExchangeEnd] = asyncio.Queue()

    def on_head(self, head: ResponseHead) -> None:
        self.parts.put_nowait(head)

    def on_body(self, data: bytes) -> None:
        self.parts.put_nowait(data)

    def on_end(self, end: ExchangeEnd) -> None:
        self.parts.put_nowait(end)


class StreamRelay:
    """Relays streams on its own connections to samplers."""

    def __init__(self, access: SamplerAccess) -> None:
        self._zone = access.zone
        self._samplers = access.samplers
        self._names = access.names
        self._log = access.log
        self._metrics = access.metrics
        self._rng = access.rng
        self._guard = access.guard
        self._count_run = access.count_run
        self._load = access.load
        self._choice = SamplerChoice(access.load, access.rng)
        self._pool = ConnectionPool(access.metrics.connection_opened)

    def close_connections(self, sampler_id: str) -> None:
        """Closes the keep-alive connections of a removed sampler."""
        self._pool.close_connections(sampler_id)

    async def relay(
        self, lookup: Lookup, route: Route, service: str, writer: StreamWriter
    ) -> LookupResponse | None:
        """Relays a stream. Returns None if the response to the caller was started, or else a
        sampler's response that is not a stream.

        Raises `StileloomError` if there is neither.
        """
        permit = await self._guard.admit(lookup.request_id, lookup.identity)
        plan = AttemptPlan(
            service=service,
            zone=self._zone,
            repeatable=route.resumable,
            max_attempts=route.max_attempts,
            target_latency_s=route.target_latency_s,
            started_at=lookup.arrived_at,
        )
        stream = _StreamState(writer)
        last_run: _Run | None = None
        while plan.may_start() and permit.attempts_left and steady_time() < lookup.deadline_at:
            if not permit.leaves_healthy_sampler(self._samplers, plan.service):
                if stream.started:
                    break
                raise suspect_refusal(plan)
            tracked = plan.select_sampler(self._samplers, steady_time(), self._rng, self._choice)
            if tracked is None:
                refusal = await self._wait_for_sampler(lookup, plan, stream)
                if refusal is None:
                    continue
                if last_run is not None and last_run.response is not None:
                    return last_run.response
                raise refusal
            started_at = steady_time()
            candidates = attempt_candidates(plan, tracked.entry, self._load, started_at)
            lookup.decision.record_selection(started_at, candidates)
            last_run = await self._run(lookup, plan, tracked, stream, route.resumable)
            if last_run.end is _RunEnd.BROKEN:
                await permit.on_attempt_failed(tracked.entry, started_at)
            if last_run.end is _RunEnd.COMPLETE:
                permit.record_success()
                lookup.decision.answered_by = tracked.entry.sampler_id
                writer.end_stream()
                return None
            if last_run.end is _RunEnd.UNREAD:
                writer.abort()
                return None
        return self._finish_incomplete(plan, stream, last_run)

    def _finish_incomplete(
        self, plan: AttemptPlan, stream: _StreamState, last_run: _Run | None
    ) -> LookupResponse | None:
        if stream.started:
            stream.writer.abort()
            return None
        if last_run is not None and last_run.response is not None:
            return last_run.response
        if plan.possible_runs:
            raise StileloomError(ErrorKind.SAMPLER_FAILED, f"{plan.possible_runs} runs failed")
        raise StileloomError(ErrorKind.OVERLOADED, "not started before the deadline")

    async def _wait_for_sampler(
        self, lookup: Lookup, plan: AttemptPlan, stream: _StreamState
    ) -> StileloomError | None:
        """Waits until samplers may be tried again, or returns the error to refuse with."""
        delay_s = RESUME_RETRY_DELAY_S
        if stream.started:
            plan.unreachable.clear()
        else:
            listed = len(self._samplers.of_service(plan.service))
            decision = wait_or_refuse(plan, listed, lookup.deadline_at, steady_time())
            if isinstance(decision, StileloomError):
                return decision
            delay_s = decision
        await asyncio.sleep(delay_s)
        plan.reset_refusals()
        return None

    async def _run(
        self,
        lookup: Lookup,
        plan: AttemptPlan,
        tracked: TrackedSampler,
        stream: _StreamState,
        resumable: bool,
    ) -> _Run:
        entry = tracked.entry
        plan.record_start(entry.sampler_id, steady_time())
        try:
            connection = await self._pool.acquire(entry.sampler_id, entry.address)
        except (OSError, TimeoutError) as error:
            self._samplers.record_failure(entry.sampler_id, steady_time())
            plan.record_connect_failure(entry.sampler_id)
            return self._log_run(lookup, entry.sampler_id, _Run(_RunEnd.REFUSED, repr(error)))
        if steady_time() >= lookup.deadline_at:
            # The process was paused while it connected.
            self._pool.release(entry.sampler_id, connection)
            return self._log_run(
                lookup, entry.sampler_id, _Run(_RunEnd.REFUSED, "not sent before the deadline")
            )
        try:
            lookup.check_send()
        except StileloomError:
            self._pool.release(entry.sampler_id, connection)
            raise
        tracked.open_requests += 1
        response = _ResponseQueue()
        connection.exchange(self._encode(lookup, entry.sampler_id, stream), response)
        complete = False
        try:
            run = await self._read_response(lookup, entry, response, stream, resumable, connection)
            complete = run.end not in (_RunEnd.BROKEN, _RunEnd.UNREAD)
        finally:
            tracked.open_requests -= 1
            if not complete:
                connection.close()
        self._pool.release(entry.sampler_id, connection)
        if run.end is _RunEnd.REFUSED:
            plan.record_refusal(entry.sampler_id)
        else:
            plan.record_run()
        if run.end is _RunEnd.BROKEN:
            self._samplers.record_failure(entry.sampler_id, steady_time())
        return self._log_run(lookup, entry.sampler_id, run)

    async def _read_response(
        self,
        lookup: Lookup,
        entry: SamplerEntry,
        response: _ResponseQueue,
        stream: _StreamState,
        resumable: bool,
        connection: SamplerConnection,
    ) -> _Run:
        head: ResponseHead | None = None
        kind = AnswerKind.RAN
        body = b""
        while True:
            remaining_s = lookup.deadline_at - steady_time()
            timeout_s = min(remaining_s, EVENT_TIMEOUT_S) if resumable else remaining_s
            try:
                async with asyncio.timeout(max(0.001, timeout_s)):
                    part = await response.parts.get()
            except TimeoutError:
                return _Run(_RunEnd.BROKEN, "unresponsive")
            if isinstance(part, ResponseHead):
                head = part
                try:
                    kind = classify_answer(head, lookup.request_id, entry.sampler_id, self._names)
                except NotAnAnswer as error:
                    return _Run(_RunEnd.BROKEN, str(error))
                if kind is not AnswerKind.MISDIRECTED:
                    now = steady_time()
                    record_response_load(self._load, entry, head.headers, self._names, now, now)
                if self._is_stream(head):
                    stream.begin(head)
            elif isinstance(part, bytes):
                if head is not None and self._is_stream(head):
                    if not stream.counted:
                        stream.counted = True
                        self._count_run(lookup.tenant, steady_time())
                    try:
                        stream.forward_events(part)
                    except MalformedEvent as error:
                        return _Run(_RunEnd.BROKEN, str(error))
                    if stream.writer.unsent_bytes > MAX_UNSENT_BYTES and not await self._wait_read(
                        lookup, stream.writer, connection
                    ):
                        return _Run(_RunEnd.UNREAD, "the caller does not read")
                else:
                    body += part
                    if len(body) > MAX_ERROR_BYTES:
                        return _Run(_RunEnd.BROKEN, f"response exceeds {MAX_ERROR_BYTES} bytes")
            else:
                return self._classify(head, kind, body, part, stream)

    async def _wait_read(
        self, lookup: Lookup, writer: StreamWriter, connection: SamplerConnection
    ) -> bool:
        """Reads nothing from the sampler until the caller has read; False after the timeout."""
        connection.pause_reading()
        ends_at = min(steady_time() + UNSENT_TIMEOUT_S, lookup.deadline_at)
        while writer.unsent_bytes > MAX_UNSENT_BYTES:
            if steady_time() >= ends_at:
                return False
            await asyncio.sleep(UNSENT_CHECK_INTERVAL_S)
        connection.resume_reading()
        return True

    def _is_stream(self, head: ResponseHead) -> bool:
        return head.status == 200 and EVENT_STREAM_TYPE in head.headers.get(
            "Content-Type", EVENT_STREAM_TYPE
        )

    def _classify(
        self,
        head: ResponseHead | None,
        kind: AnswerKind,
        body: bytes,
        end: ExchangeEnd,
        stream: _StreamState,
    ) -> _Run:
        if head is None or end is not ExchangeEnd.COMPLETE:
            return _Run(_RunEnd.BROKEN, end.value)
        if self._is_stream(head):
            if stream.has_partial:
                return _Run(_RunEnd.BROKEN, "stream ended within an event")
            return _Run(_RunEnd.COMPLETE)
        if kind is not AnswerKind.RAN:
            return _Run(_RunEnd.REFUSED, str(head.status))
        return _Run(_RunEnd.RESPONSE, str(head.status), LookupResponse(head, body))

    def _log_run(self, lookup: Lookup, sampler_id: str, run: _Run) -> _Run:
        self._metrics.attempts.labels(f"stream_{run.end.value}").inc()
        complete = run.end is _RunEnd.COMPLETE
        event = LogEvent.REQUEST_ANSWERED if complete else LogEvent.ATTEMPT_FAILED
        fields: dict[str, object] = {
            "request": lookup.request_id,
            "sampler": sampler_id,
            "outcome": run.end.value,
            "detail": run.detail,
            "left_ms": round((lookup.deadline_at - steady_time()) * 1000),
        }
        self._log.emit(event, fields)
        return run

    def _encode(self, lookup: Lookup, sampler_id: str, stream: _StreamState) -> bytes:
        names = self._names
        remaining_ms = max(1, int((lookup.deadline_at - steady_time()) * 1000))
        replaced = {names.deadline_ms.lower(), names.expect_sampler.lower()}
        if stream.last_event_id is not None:
            replaced.add(names.last_event_id.lower())
        headers = [(name, value) for name, value in lookup.headers if name.lower() not in replaced]
        headers += [(names.deadline_ms, str(remaining_ms)), (names.expect_sampler, sampler_id)]
        if stream.last_event_id is not None:
            headers.append((names.last_event_id, str(stream.last_event_id)))
        return encode_request(lookup.method, lookup.target, headers, lookup.body)


class _StreamState:
    """Progress of the response to the caller."""

    def __init__(self, writer: StreamWriter) -> None:
        self.writer = writer
        self.started = False
        self.counted = False
        """Whether the request is counted as begun, which happens with its first event."""
        self.last_event_id: int | None = None
        self._splitter = EventSplitter()

    @property
    def has_partial(self) -> bool:
        """Whether the last event of the current run is incomplete."""
        return self._splitter.has_partial

    def begin(self, head: ResponseHead) -> None:
        """Starts to read a run's events; the caller gets only the head of the first run."""
        self._splitter = EventSplitter()
        if not self.started:
            self.started = True
            self.writer.start(head)

    def forward_events(self, data: bytes) -> None:
        """Forwards complete events. Raises `MalformedEvent` also if an id does not increase."""
        forwarded: list[bytes] = []
        for event in self._splitter.feed(data):
            if event.event_id is not None:
                if self.last_event_id is not None and event.event_id <= self.last_event_id:
                    self.writer.write(b"".join(forwarded))
                    raise MalformedEvent("event id did not increase")
                self.last_event_id = event.event_id
            forwarded.append(event.raw)
        if forwarded:
            self.writer.write(b"".join(forwarded))
