"""Job service of a ledger node: the leader handles calls, other nodes redirect callers to it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from stileloom.api.jobs import JobSubmission
from stileloom.blobs import BlobUnavailable
from stileloom.clock import steady_time
from stileloom.decisions import NO_DECISIONS, DecisionRecorder
from stileloom.errors import StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.decisions import job_refused
from stileloom.jobs.job_admission import JobAdmission
from stileloom.jobs.job_ages import JobAges
from stileloom.jobs.leader_ledger import LeaderLedger
from stileloom.jobs.messages import (
    EndJobCall,
    ItemRead,
    JobEnded,
    JobRefused,
    JobReply,
    JobRequest,
    JobTaken,
    Leading,
    NoSuchJob,
    NotLeader,
    OutcomeUnknown,
    ProbeLeaderCall,
    ReadItemCall,
    ReadResultsCall,
    ResultsRead,
    SubmitJobCall,
)
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.registry import JobRecord
from stileloom.jobs.runner import JobRunner
from stileloom.ledger.commands import EndJob, RecordFinalUsage, Refused, SubmitJob
from stileloom.ledger.state import LedgerState
from stileloom.logging import EventLog
from stileloom.metering.authority import UsageAuthority
from stileloom.metering.messages import ReportUsageCall, UsageReported
from stileloom.quarantine.authority import QuarantineService
from stileloom.quarantine.messages import (
    QuarantineListed,
    QuarantineRequest,
    ReportSuspectsCall,
    StartTrialCall,
    SuspectReleased,
    SuspectsReported,
    TrialAnswered,
    WatchQuarantineCall,
)


class JobServiceLedger(LeaderLedger, Protocol):
    """Ledger interface of this service."""

    @property
    def state(self) -> LedgerState:
        """The replicated state machine."""

    def leader_address(self) -> tuple[str, int] | None:
        """Returns the address of the leader, if known."""

    def report_damage(self, detail: str) -> None:
        """Hands the lead over because what the state refers to cannot be read here."""


class JobService:
    """Handles job and quarantine calls of gateways."""

    def __init__(
        self,
        ledger: JobServiceLedger,
        quarantine: QuarantineService,
        admission: JobAdmission,
        ages: JobAges,
        log: EventLog,
        metrics: JobMetrics,
        decisions: DecisionRecorder = NO_DECISIONS,
    ) -> None:
        self.usage: UsageAuthority | None = None
        """Set while this node is the leader and reports usage."""
        self._runner: JobRunner | None = None
        self._proposed_ends: set[str] = set()
        self._proposed_jobs: set[str] = set()
        """Jobs that are proposed and not yet committed; a repeat of one must not be refused."""
        self._admission = admission
        self._ages = ages
        self._metrics = metrics
        self._ledger = ledger
        self._quarantine = quarantine
        self._log = log
        self._decisions = decisions

    @property
    def runner(self) -> JobRunner | None:
        """Set while this node is the leader."""
        return self._runner

    @runner.setter
    def runner(self, runner: JobRunner | None) -> None:
        self._runner = runner
        if runner is not None:
            # Commands outlast a lease that was lost for a moment, while its runner does not.
            for job_id in self._proposed_ends:
                runner.stop_job(job_id)

    async def handle(self, request: JobRequest) -> JobReply:
        """Handles one call."""
        if not self._ledger.is_active_leader():
            return self._not_leader()
        if isinstance(request, ProbeLeaderCall):
            return Leading()
        if isinstance(request, SubmitJobCall):
            return await self._submit(request)
        if isinstance(request, ReadResultsCall | ReadItemCall):
            return await self._read(request)
        if isinstance(request, EndJobCall):
            return await self._end(request)
        if isinstance(request, ReportUsageCall):
            return await self._take_usage(request)
        return await self._handle_quarantine_call(request)

    async def _take_usage(self, request: ReportUsageCall) -> JobReply:
        if self.usage is None:
            return OutcomeUnknown()
        self.usage.collector.add(request.source, request.totals)
        if request.is_final:
            try:
                await self._ledger.propose(RecordFinalUsage(request.source, request.totals))
            except StileloomError:
                return OutcomeUnknown()
        return UsageReported(self._ledger.state.usage.closed_before)

    async def _handle_quarantine_call(self, request: QuarantineRequest) -> JobReply:
        quarantine = self._quarantine
        try:
            if isinstance(request, ReportSuspectsCall):
                return SuspectsReported(await quarantine.report(request.ends, request.answered))
            if isinstance(request, WatchQuarantineCall):
                return QuarantineListed(
                    await quarantine.watch(request.known_revision, request.wait_s)
                )
            if isinstance(request, StartTrialCall):
                return TrialAnswered(await quarantine.start_trial(request.identity))
            return SuspectReleased(await quarantine.release(request.identity))
        except StileloomError:
            # Leadership was lost. The caller can safely retry: if a trial was already granted, the
            # retry is rejected and the trial does not run.
            return OutcomeUnknown()

    def _not_leader(self) -> NotLeader:
        address = self._ledger.leader_address()
        return NotLeader(f"{address[0]}:{address[1]}" if address is not None else "")

    def _job(self, job_id: str) -> JobRecord | None:
        return self._ledger.state.job_book.jobs.get(job_id)

    async def _submit(self, request: SubmitJobCall) -> JobReply:
        submission = request.submission
        already_known = self._job(submission.job_id) is not None
        if not already_known:
            refused = self._refuse(submission)
            if refused is not None:
                return refused
            self._proposed_jobs.add(submission.job_id)
            try:
                await self._ledger.propose(SubmitJob(submission))
            except StileloomError:
                return OutcomeUnknown()
            finally:
                self._proposed_jobs.discard(submission.job_id)
        self._log.emit(
            LogEvent.JOB_TAKEN,
            {
                "job": submission.job_id,
                "step": submission.step,
                "items": len(submission.items),
                "repeat": already_known,
            },
        )
        if self.runner is not None:
            self.runner.step()
        return JobTaken()

    def _refuse(self, submission: JobSubmission) -> JobRefused | None:
        """Refuses a job for which there is no room, unless it may be committed already."""
        if submission.job_id in self._proposed_jobs:
            return None
        registry = self._ledger.state.job_book
        refusal = self._admission.refusal(submission, registry, self._ages, steady_time())
        if refusal is None:
            return None
        self._metrics.jobs_refused.inc()
        self._decisions.record(job_refused(submission, refusal, steady_time()))
        self._log.emit(
            LogEvent.JOB_REFUSED,
            {
                "job": submission.job_id,
                "items": len(submission.items),
                "reason": refusal.reason,
                "retry_after_s": refusal.retry_after_s,
                "jobs": len(registry.jobs),
                "blob_bytes": registry.blob_end - registry.blob_start,
            },
        )
        return JobRefused(refusal.reason, refusal.retry_after_s)

    async def _read(self, request: ReadResultsCall | ReadItemCall) -> JobReply:
        try:
            if isinstance(request, ReadResultsCall):
                return await self._read_results(request)
            return self._read_item(request)
        except BlobUnavailable as error:
            # Another replica holds the same bytes, and serves them once it leads.
            self._ledger.report_damage(str(error))
            return NotLeader("")

    async def _read_results(self, request: ReadResultsCall) -> JobReply:
        job = self._job(request.job_id)
        deadline = steady_time() + request.wait_s
        while job is not None and len(job.results) <= request.position and not job.ended:
            remaining_s = deadline - steady_time()
            if remaining_s <= 0 or self.runner is None:
                break
            try:
                async with asyncio.timeout(remaining_s):
                    await self.runner.wait_for_results(request.job_id)
            except TimeoutError:
                break
            job = self._job(request.job_id)
        if not self._ledger.is_active_leader():
            return self._not_leader()
        job = self._job(request.job_id)
        if job is None:
            return NoSuchJob()
        return ResultsRead(self._ledger.state.job_book.page(request.job_id, request.position))

    def _read_item(self, request: ReadItemCall) -> JobReply:
        item = self._ledger.state.job_book.item(request.job_id, request.item_id)
        if item is None:
            return NoSuchJob()
        return ItemRead(item.body)

    async def _end(self, request: EndJobCall) -> JobReply:
        job = self._job(request.job_id)
        if job is None or not job.ended:
            # Also for an unknown job: its submission may be proposed and not committed.
            if self.runner is not None:
                self.runner.stop_job(request.job_id)
            self._proposed_ends.add(request.job_id)
            try:
                result = await self._ledger.propose(EndJob(request.job_id))
            except StileloomError:
                return OutcomeUnknown()
            finally:
                self._proposed_ends.discard(request.job_id)
            job = self._job(request.job_id)
            if isinstance(result, Refused) or job is None:
                return NoSuchJob()
            self._log.emit(
                LogEvent.JOB_ENDED,
                {
                    "job": request.job_id,
                    "listed": len(job.results),
                    "items": len(job.submission.items),
                },
            )
        if self.runner is not None:
            self.runner.step()
        return JobEnded()
