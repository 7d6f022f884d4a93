"""Commands of the ledger's state machine and their results.

Every command may be proposed more than once: a second application changes nothing and
gives the same answer. That is what makes a retry after a lost answer safe.
"""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import FinishedItem, ItemProgress, JobSubmission
from stileloom.api.samples import Delivery, Prompt, Sample
from stileloom.errors import ErrorKind
from stileloom.quarantine.messages import SamplerEnd


class StartEpoch(msgspec.Struct, frozen=True, tag=True):
    """First entry of each leader; commits what earlier leaders left behind."""

    leader: str


class Voter(msgspec.Struct, frozen=True, array_like=True):
    """A voter is a node together with its disk: a node that lost its disk is another voter."""

    node_id: str
    disk_id: str


class ChangeVoters(msgspec.Struct, frozen=True, tag=True):
    """Replaces the voter set; differs from the set before it by one voter."""

    voters: list[Voter]


class RegisterRound(msgspec.Struct, frozen=True, tag=True):
    """Creates a round or revises its bound and step size."""

    round_name: str
    staleness_bound: int
    samples_per_step: int
    reorder_window_steps: int
    first_version: int


class SubmitPrompts(msgspec.Struct, frozen=True, tag=True):
    """Adds prompts; `batch_id` makes a repeat harmless."""

    round_name: str
    batch_id: str
    prompts: list[Prompt]


class CommitSample(msgspec.Struct, frozen=True, tag=True):
    """Offers a sample for its slot; the first one that is young enough wins."""

    round_name: str
    sample: Sample


class HandOver(msgspec.Struct, frozen=True, tag=True):
    """Appends ready samples to the delivery log until it reaches `until_offset`."""

    round_name: str
    until_offset: int


class AcknowledgeDeliveries(msgspec.Struct, frozen=True, tag=True):
    """The trainer keeps all deliveries below `offset`; they are dropped here."""

    round_name: str
    offset: int


class PublishVersion(msgspec.Struct, frozen=True, tag=True):
    """Makes `version` the round's current one."""

    round_name: str
    version: int


class ClaimKey(msgspec.Struct, frozen=True, tag=True):
    """Claims an idempotency key for one request, cluster-wide."""

    key: str
    body_digest: int
    request_id: str
    repeatable: bool
    claimed_at_s: float
    """Wall time at the gateway, only used to expire old claims."""


class ReleaseKey(msgspec.Struct, frozen=True, tag=True):
    """The claiming request was surely not run: the key may be claimed again."""

    key: str
    request_id: str


class RaiseConfigurationFloor(msgspec.Struct, frozen=True, tag=True):
    """No node may be served a configuration revision below this one from now on."""

    revision: int


class SubmitJob(msgspec.Struct, frozen=True, tag=True):
    """Takes a batch job, once."""

    submission: JobSubmission


class RecordResults(msgspec.Struct, frozen=True, tag=True):
    """Lists results of items; an item that is listed keeps its position and result."""

    job_id: str
    finished: list[FinishedItem]


class SaveProgress(msgspec.Struct, frozen=True, tag=True):
    """Keeps events of items under way, so that a new leader goes on from them."""

    job_id: str
    items: list[ItemProgress]


class RecordIntervals(msgspec.Struct, frozen=True, tag=True):
    """Times between two events at each sampler, as the leader measured them; seconds."""

    interval_s: dict[str, float]


class EndJob(msgspec.Struct, frozen=True, tag=True):
    """Ends a batch job: its items need not run any more."""

    job_id: str


class ForgetJob(msgspec.Struct, frozen=True, tag=True):
    """Drops a job after its retention."""

    job_id: str


class OpenOrderWindow(msgspec.Struct, frozen=True, tag=True):
    """The leader may give orders to samplers for a short while (`ledger/order_windows.py`)."""

    holder: str


class RetireNode(msgspec.Struct, frozen=True, tag=True):
    """The node is to be emptied: it leaves the voter set and does not come back."""

    node_id: str


class RecordSamplerEnds(msgspec.Struct, frozen=True, tag=True):
    """Samplers ended soon after these requests had begun there."""

    ends: list[SamplerEnd]
    at_s: float
    """The leader's wall time."""


class ClearSuspects(msgspec.Struct, frozen=True, tag=True):
    """These requests got a good answer, or an operator released them."""

    identities: list[str]


class StartTrial(msgspec.Struct, frozen=True, tag=True):
    """A held request runs once more, if it is time."""

    identity: str
    at_s: float


class ForgetSuspects(msgspec.Struct, frozen=True, tag=True):
    """Drops suspects whose time is over."""

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
    | EndJob
    | ForgetJob
    | RetireNode
    | OpenOrderWindow
    | RecordSamplerEnds
    | ClearSuspects
    | StartTrial
    | ForgetSuspects
)


class Done(msgspec.Struct, frozen=True, tag=True):
    """The command holds, now or since an earlier application."""

    duplicate: bool = False


class Refused(msgspec.Struct, frozen=True, tag=True):
    """The command was applied and changes nothing."""

    kind: ErrorKind
    detail: str


class PromptsAccepted(msgspec.Struct, frozen=True, tag=True):
    """The slots that the prompts of a batch fill."""

    first_slot: int
    count: int


class SampleRefused(msgspec.Struct, frozen=True, tag=True):
    """The sample is over-age or malformed; its slot stays open."""

    detail: str


class DeliveryPage(msgspec.Struct, frozen=True, tag=True):
    """Deliveries in the log from the acknowledged offset up to the end asked for."""

    deliveries: list[Delivery]
    current_version: int


CommandResult = Done | Refused | PromptsAccepted | SampleRefused | DeliveryPage
