"""Job calls from gateways to the ledger's leader, and their replies."""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import JobSubmission, ResultPage
from stileloom.metering.messages import ReportUsageCall, UsageReported
from stileloom.quarantine.messages import QuarantineReply, QuarantineRequest


class SubmitJobCall(msgspec.Struct, frozen=True, tag=True):
    """Submits a job; idempotent."""

    submission: JobSubmission


class ReadResultsCall(msgspec.Struct, frozen=True, tag=True):
    """Reads results from a position; waits up to `wait_s` for the first one."""

    job_id: str
    position: int
    wait_s: float


class ReadItemCall(msgspec.Struct, frozen=True, tag=True):
    """Reads the body of an item."""

    job_id: str
    item_id: str


class EndJobCall(msgspec.Struct, frozen=True, tag=True):
    """Ends a job; idempotent."""

    job_id: str


class ProbeLeaderCall(msgspec.Struct, frozen=True, tag=True):
    """Asks a node whether it leads."""


JobRequest = (
    SubmitJobCall
    | ReadResultsCall
    | ReadItemCall
    | EndJobCall
    | ProbeLeaderCall
    | QuarantineRequest
    | ReportUsageCall
)
"""Calls to the leader."""


class JobTaken(msgspec.Struct, frozen=True, tag=True):
    """The job is committed."""


class JobRefused(msgspec.Struct, frozen=True, tag=True):
    """The job was not accepted by this call: there is no room for it."""

    reason: str
    retry_after_s: float | None
    """Seconds after which there may be room; None if the job never fits."""


class ResultsRead(msgspec.Struct, frozen=True, tag=True):
    """A page of results."""

    page: ResultPage


class ItemRead(msgspec.Struct, frozen=True, tag=True):
    """An item's body."""

    body: bytes


class JobEnded(msgspec.Struct, frozen=True, tag=True):
    """The end of the job is committed."""


class Leading(msgspec.Struct, frozen=True, tag=True):
    """This node leads and holds its lease."""


class NoSuchJob(msgspec.Struct, frozen=True, tag=True):
    """The job or item does not exist, as confirmed by the leader."""


class NotLeader(msgspec.Struct, frozen=True, tag=True):
    """This node does not lead; `leader` is the leader's `host:port`, or empty if unknown."""

    leader: str


class OutcomeUnknown(msgspec.Struct, frozen=True, tag=True):
    """Leadership was lost before the change was committed; it may still take effect."""


JobReply = (
    JobTaken
    | JobRefused
    | ResultsRead
    | ItemRead
    | JobEnded
    | Leading
    | NoSuchJob
    | NotLeader
    | OutcomeUnknown
    | QuarantineReply
    | UsageReported
)
