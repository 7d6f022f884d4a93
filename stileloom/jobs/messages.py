"""Calls from gateways to the ledger's leader about batch jobs, and their answers."""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import JobSubmission, ResultPage
from stileloom.quarantine.messages import QuarantineReply, QuarantineRequest


class SubmitJobCall(msgspec.Struct, frozen=True, tag=True):
    """Take this job; safe to repeat."""

    submission: JobSubmission


class ReadResultsCall(msgspec.Struct, frozen=True, tag=True):
    """Results from a position on; waits up to `wait_s` for the first."""

    job_id: str
    position: int
    wait_s: float


class ReadItemCall(msgspec.Struct, frozen=True, tag=True):
    """The body of an item."""

    job_id: str
    item_id: str


class EndJobCall(msgspec.Struct, frozen=True, tag=True):
    """End this job; safe to repeat."""

    job_id: str


JobRequest = SubmitJobCall | ReadResultsCall | ReadItemCall | EndJobCall | QuarantineRequest
"""Calls to the leader."""


class JobTaken(msgspec.Struct, frozen=True, tag=True):
    """The job is durable at a majority."""


class ResultsRead(msgspec.Struct, frozen=True, tag=True):
    """A page of results."""

    page: ResultPage


class ItemRead(msgspec.Struct, frozen=True, tag=True):
    """An item's body."""

    body: bytes


class JobEnded(msgspec.Struct, frozen=True, tag=True):
    """The end is durable at a majority."""


class NoSuchJob(msgspec.Struct, frozen=True, tag=True):
    """The leader is sure that there is no such job or item."""


class NotLeader(msgspec.Struct, frozen=True, tag=True):
    """Ask another node; `leader` is its `host:port`, or empty where it is not known."""

    leader: str


class OutcomeUnknown(msgspec.Struct, frozen=True, tag=True):
    """Leadership was lost while the change was under way."""


JobReply = (
    JobTaken
    | ResultsRead
    | ItemRead
    | JobEnded
    | NoSuchJob
    | NotLeader
    | OutcomeUnknown
    | QuarantineReply
)
