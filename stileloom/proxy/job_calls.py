"""Calls about batch jobs at a gateway, sent on to the ledger's leader."""

from __future__ import annotations

import msgspec

from stileloom.api.dialect import Dialect, EndJob, JobCall, ReadItem, ReadResults
from stileloom.clock import steady_time
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.client import JobClient
from stileloom.jobs.end_delivery import EndDelivery
from stileloom.jobs.messages import (
    ItemRead,
    JobEnded,
    JobRefused,
    JobReply,
    JobRequest,
    JobTaken,
    NoSuchJob,
    ReadItemCall,
    ResultsRead,
    SubmitJobCall,
)
from stileloom.jobs.result_cache import ResultCache
from stileloom.jobs.result_reader import ResultReader
from stileloom.jobs.submission_check import check_submission
from stileloom.logging import EventLog
from stileloom.proxy.access_control import Caller
from stileloom.proxy.caller_messages import (
    DEADLINE_MARGIN_S,
    CallerRequest,
    CallerResponse,
    RequestContext,
    json_response,
)
from stileloom.tenants.job_scope import scoped_job_id

JOB_CALL_DEADLINE_S = 4.0
"""Default deadline of job calls."""
MIN_CALL_TIMEOUT_S = 0.1


class JobCalls:
    """Serves the job calls of one gateway's callers."""

    def __init__(
        self, dialect: Dialect, jobs: JobClient, log: EventLog, cache_results: bool = True
    ) -> None:
        self._dialect = dialect
        self._jobs = jobs
        self._ends = EndDelivery(jobs, log)
        self._results = ResultReader(jobs, ResultCache(), cache_results)
        self._log = log

    @property
    def pending_ends(self) -> int:
        """Number of received ends of jobs that the ledger has not answered."""
        return len(self._ends)

    def stop(self) -> None:
        """Abandons the ends of jobs that are not delivered."""
        self._ends.stop()

    async def submit(self, context: RequestContext) -> CallerResponse:
        """Submits a job. Raises `StileloomError`."""
        request = context.request
        tenant = context.caller.tenant
        submission = self._dialect.decode_job(
            context.request_id, request.host, request.path, request.body
        )
        check_submission(submission)
        submission = msgspec.structs.replace(
            submission, job_id=scoped_job_id(tenant, submission.job_id), tenant=tenant
        )
        timeout_s = context.deadline_at - request.arrived_at
        reply = await self._call(SubmitJobCall(submission), submission.job_id, timeout_s)
        if isinstance(reply, JobRefused):
            kind = ErrorKind.JOBS_FULL
            if reply.retry_after_s is None:
                kind = ErrorKind.BODY_TOO_LARGE
            raise StileloomError(kind, reply.reason, retry_after_s=reply.retry_after_s)
        self._log.emit(
            LogEvent.JOB_SUBMITTED,
            {
                "job": submission.job_id,
                "route": context.route.name,
                "configuration": context.revision,
                "items": len(submission.items),
                "taken_ms": round((steady_time() - request.arrived_at) * 1000),
            },
        )
        if not isinstance(reply, JobTaken):
            raise StileloomError(ErrorKind.INTERNAL, "unexpected reply of the ledger")
        return json_response(202, b"{}")

    async def serve(self, request: CallerRequest, call: JobCall, caller: Caller) -> CallerResponse:
        """Serves a call about a submitted job. Raises `StileloomError`."""
        timeout_s = request.timeout_s(self._dialect.names.deadline_ms, JOB_CALL_DEADLINE_S)
        job_id = scoped_job_id(caller.tenant, call.job_id)
        if isinstance(call, ReadResults):
            limit_s = max(MIN_CALL_TIMEOUT_S, timeout_s - DEADLINE_MARGIN_S)
            reply = await self._results.read(job_id, call.position, call.wait_s, limit_s)
        elif isinstance(call, ReadItem):
            reply = await self._call(ReadItemCall(job_id, call.item_id), job_id, timeout_s)
        else:
            assert isinstance(call, EndJob)
            reply = await self._end(request, job_id, timeout_s)
        return self._response(reply)

    async def _end(self, request: CallerRequest, job_id: str, timeout_s: float) -> JobReply:
        fields: dict[str, object] = {"job": job_id, "caller": request.caller_address}
        self._log.emit(LogEvent.JOB_END_RECEIVED, fields)
        outcome = "caller_left"
        try:
            limit_s = max(MIN_CALL_TIMEOUT_S, timeout_s - DEADLINE_MARGIN_S)
            reply = await self._ends.end(job_id, limit_s)
            outcome = "ended" if isinstance(reply, JobEnded) else ErrorKind.UNKNOWN_JOB.value
            return reply
        except StileloomError as error:
            outcome = error.kind.value
            raise
        finally:
            after_ms = round((steady_time() - request.arrived_at) * 1000)
            self._log.emit(
                LogEvent.JOB_END_ANSWERED, {**fields, "outcome": outcome, "after_ms": after_ms}
            )

    def _response(self, reply: JobReply) -> CallerResponse:
        if isinstance(reply, ResultsRead):
            return json_response(200, self._dialect.encode_page(reply.page))
        if isinstance(reply, ItemRead):
            headers = [("Content-Type", "application/octet-stream")]
            return CallerResponse(200, "OK", headers, reply.body)
        if isinstance(reply, JobEnded):
            return json_response(200, b"{}")
        if isinstance(reply, NoSuchJob):
            raise StileloomError(ErrorKind.UNKNOWN_JOB, "no such job or item")
        raise StileloomError(ErrorKind.INTERNAL, "unexpected reply of the ledger")

    async def _call(self, request: JobRequest, job_id: str, timeout_s: float) -> JobReply:
        limit_s = max(MIN_CALL_TIMEOUT_S, timeout_s - DEADLINE_MARGIN_S)
        return await self._jobs.call(request, job_id, limit_s)
