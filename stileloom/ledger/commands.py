"""Commands of the ledger's state machine and their results.

A command may be applied more than once, because its sender repeats it when the result is lost.
An immediate repeat leaves the state unchanged, except that `OpenOrderWindow` counts every
application and `CommitSample` counts the rejection of a stale sample every time. Repeats of
`SubmitPrompts`, `ClaimKey` and `SubmitJob` are recognized only as long as the batch, claim or job
is stored, and a delayed repeat of `RegisterRound` overwrites newer settings.

The result of a repeat may differ: `duplicate` may be set, `StartTrial` is rejected because a trial
has just started, and `HandOver` returns the deliveries that are unacknowledged by then.
"""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import FinishedItem, ItemProgress, JobSubmission
from stileloom.api.samples import Delivery, Prompt, Sample
from stileloom.errors import ErrorKind
from stileloom.metering.messages import WindowCounts
from stileloom.quarantine.messages import SamplerCrash


class StartEpoch(msgspec.Struct, frozen=True, tag=True):
    """First entry of each leader; its commit includes all earlier entries of the leader's log."""

    leader: str


class Voter(msgspec.Struct, frozen=True, array_like=True):
    """A node together with its disk; a node with a replaced disk is a different voter."""

    node_id: str
    disk_id: str


class ChangeVoters(msgspec.Struct, frozen=True, tag=True):
    """Replaces the voter set; the new set differs from the previous one by one voter."""

    voters: list[Voter]


class RegisterRound(msgspec.Struct, frozen=True, tag=True):
    """Creates a round, or updates the settings of an existing one."""

    round_name: str
    staleness_bound: int
    samples_per_step: int
    reorder_window_steps: int
    first_version: int


class SubmitPrompts(msgspec.Struct, frozen=True, tag=True):
    """Adds prompts; `batch_id` makes retries idempotent."""

    round_name: str
    batch_id: str
    prompts: list[Prompt]


class CommitSample(msgspec.Struct, frozen=True, tag=True):
    """Submits a sample for its slot; the first one within the staleness bound is accepted."""

    round_name: str
    sample: Sample


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """Appends ready samples to the delivery log up to `until_offset`."""

    round_name: str
    until_offset: int


class AcknowledgeDeliveries(msgspec.Struct, frozen=True, tag=True):
    """Removes the deliveries below `offset`, which the trainer has stored."""

    round_name: str
    offset: int


class PublishVersion(msgspec.Struct, frozen=True, tag=True):
    """Makes `version` the round's current version."""

    round_name: str
    version: int


class ClaimKey(msgspec.Struct, frozen=True, tag=True):
    """Claims an idempotency key for a request, cluster-wide."""

    key: str
    body_digest: int
    request_id: str
    repeatable: bool
    """Whether the request may run more than once; an earlier claim then does not block it."""
    claimed_at_s: float
    """Wall-clock time at the gateway; only used to expire old claims."""


class ReleaseKey(msgspec.Struct, frozen=True, tag=True):
    """Releases a key whose request is known not to have run."""

    key: str
    request_id: str


class RaiseConfigurationFloor(msgspec.Struct, frozen=True, tag=True):
    """Sets the lowest configuration revision that may be served to nodes."""

    revision: int


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Accepts a batch job; idempotent by job id."""

    submission: JobSubmission


class RecordResults(msgspec.Struct, frozen=True, tag=True):
    """Adds item results to the job's list; the position and result of an item are final."""

    job_id: str
    finished: list[FinishedItem]


class SaveProgress(msgspec.Struct, frozen=True, tag=True):
    """Stores events of running items, so that a new leader can resume them."""

    job_id: str
    items: list[ItemProgress]


class RecordIntervals(msgspec.Struct, frozen=True, tag=True):
    """Replaces the event intervals by sampler, in seconds, as measured by the leader."""

    interval_s: dict[str, float]


class RecordJobAges(msgspec.Struct, frozen=True, tag=True):
    """Records the ages of open jobs, in whole seconds; an age never decreases."""

    age_s: dict[str, int]


class RecordFinalUsage(msgspec.Struct, frozen=True, tag=True):
    """Records the usage totals of a gateway process that is about to end."""

    source: str
    totals: WindowCounts


class CloseUsageWindow(msgspec.Struct, frozen=True, tag=True):
    """Closes a usage window; refused if it is closed already, so its counts never change."""

    window: int
    counts: dict[str, int]


class MarkUsageSent(msgspec.Struct, frozen=True, tag=True):
    """Drops a window that the accounting service has acknowledged."""

    window: int


class EndJob(msgspec.Struct, frozen=True, tag=True):
    """Ends a batch job; its remaining items are not run.

    For an unknown job it is refused, and the job does not run if it is submitted later.
    """

    job_id: str


class ForgetJob(msgspec.Struct, frozen=True, tag=True):
    """Removes a job after its retention period."""

    job_id: str


class OpenOrderWindow(msgspec.Struct, frozen=True, tag=True):
    """Opens a window for the leader's orders to samplers (`ledger/order_windows.py`)."""

    holder: str


class RetireNode(msgspec.Struct, frozen=True, tag=True):
    """Retires a node: it leaves the voter set and does not become a voter again."""

    node_id: str


class RecordSamplerEnds(msgspec.Struct, frozen=True, tag=True):
    """Records samplers that crashed shortly after these requests started there."""

    ends: list[SamplerCrash]
    at_s: float
    """Wall-clock time at the leader."""


class ClearSuspects(msgspec.Struct, frozen=True, tag=True):
    """Clears requests that completed successfully or were released by an operator."""

    identities: list[str]


class StartTrial(msgspec.Struct, frozen=True, tag=True):
    """Starts a trial run of a quarantined request, if one is due."""

    identity: str
    at_s: float


class ForgetSuspects(msgspec.Struct, frozen=True, tag=True):
    """Removes suspects whose retention period is over."""

    at_s: float


Command = (
    StartEpoch
    | ChangeVoters
    | RegisterRound
    | SubmitPrompts
    | CommitSample
    | HandOver
    | AcknowledgeDeliveries
    | PublishVersion
    | ClaimKey
    | ReleaseKey
    | RaiseConfigurationFloor
    | SubmitJob
    | RecordResults
    | SaveProgress
    | RecordIntervals
    | RecordJobAges
    | EndJob
    | ForgetJob
    | RecordFinalUsage
    | CloseUsageWindow
    | MarkUsageSent
    | RetireNode
    | OpenOrderWindow
    | RecordSamplerEnds
    | ClearSuspects
    | StartTrial
    | ForgetSuspects
)


class Done(msgspec.Struct, frozen=True, tag=True):
    """The command was accepted.

    `duplicate` is set if the round, key, job, sample, offset or version was already recorded.
    """

    duplicate: bool = False


class Refused(msgspec.Struct, frozen=True, tag=True):
    """The command was rejected and had no effect, except for `EndJob` on an unknown job."""

    kind: ErrorKind
    detail: str


class PromptsAccepted(msgspec.Struct, frozen=True, tag=True):
    """Slots assigned to the prompts of a batch."""

    first_slot: int
    count: int


class SampleRefused(msgspec.Struct, frozen=True, tag=True):
    """The sample is stale, malformed or for a different prompt; its slot stays open."""

    detail: str


class DeliveryPage(msgspec.Struct, frozen=True, tag=True):
    """Deliveries from the acknowledged offset up to the requested end."""

    deliveries: list[Delivery]
    current_version: int


CommandResult = Done | Refused | PromptsAccepted | SampleRefused | DeliveryPage
