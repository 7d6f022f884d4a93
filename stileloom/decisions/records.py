"""Types of decision records, as they are kept and as they are served.

A record has no field for headers or bodies. Kept records are arrays of short numbers, so that 2,000
of them fit into 400 kB; served ones name their fields.
"""

from __future__ import annotations

import enum

import msgspec


class DecisionKind(enum.Enum):
    """What was decided."""

    LOOKUP_ANSWERED = "lookup_answered"
    LOOKUP_ABORTED = "lookup_aborted"
    """The response to a caller was started and could not be completed."""
    LOOKUP_REFUSED = "lookup_refused"
    """Answered with an error of this system; `reason` is its code."""
    ITEM_STARTED = "item_started"
    JOB_REFUSED = "job_refused"


class CandidateLoad(msgspec.Struct, frozen=True, array_like=True):
    """Figures of a candidate sampler at the time of the decision."""

    sampler: str
    occupancy_percent: int
    """Estimate of the load view: running and waiting requests for each slot."""
    slowness_percent: int
    """Estimate of the load view; 100 is usual."""
    age_ms: int | None
    """Age of the sampler's reading; None if there is none and the figures are its service's."""
    shared: bool
    """Whether another node measured it."""
    expected_percent: int | None = None
    """Expected time to completion, in percent of the usual work."""


class ServedCandidate(CandidateLoad, frozen=True, array_like=False):
    """Figures of a candidate sampler as they are served."""


class DecisionFields(msgspec.Struct, frozen=True, kw_only=True):
    """What is common to kept and served records. Fields that do not apply keep their defaults."""

    kind: DecisionKind
    request: str
    """Id of the lookup, item or refused job."""
    job: str = ""
    """Id of the job of an item, or of the refused job."""
    tenant: str = ""
    service: str = ""
    priority: int | None = None
    share: float | None = None
    """For items the dominant share of the tenant, with all runs planned in the same step; for
    lookups the number of the tenant's lookups in progress."""
    queue_position: int | None = None
    """Number of requests ahead of it when it came to a queue."""
    wait_ms: int | None = None
    """Time until the sampler was selected or the request was refused."""
    sampler: str = ""
    attempts: int = 0
    status: int = 0
    """HTTP status of the response to a lookup."""
    reason: str = ""
    detail: str = ""
    retry_after_s: float | None = None
    event_interval_ms: int | None = None
    """Time between two events at the sampler of an item."""
    running_there: int | None = None
    """Runs of the leader at the sampler of an item, including this one."""
    after_events: int | None = None
    """Number of events after which an item is resumed."""


class DecisionRecord(DecisionFields, frozen=True, kw_only=True, array_like=True):
    """A record as it is kept."""

    at: float
    """Monotonic seconds."""
    candidates: list[CandidateLoad] = []
    """At most two; the first one was selected."""


class ServedDecision(DecisionFields, frozen=True, kw_only=True, omit_defaults=True):
    """A record as it is served."""

    age_s: float
    candidates: list[ServedCandidate] = []


class DecisionsPage(msgspec.Struct, frozen=True):
    """Response to `GET /decisions`, oldest record first."""

    kept: int
    """Number of records of the process."""
    oldest_age_s: float | None
    """Age of the oldest of these; decisions before it are not known any more."""
    records: list[ServedDecision]


def served(record: DecisionRecord, now: float) -> ServedDecision:
    """A record as it is served at this time."""
    common = {name: getattr(record, name) for name in DecisionFields.__struct_fields__}
    return ServedDecision(
        **common,
        age_s=round(now - record.at, 3),
        candidates=[
            ServedCandidate(**msgspec.structs.asdict(candidate)) for candidate in record.candidates
        ],
    )
