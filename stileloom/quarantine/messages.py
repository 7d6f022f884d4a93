"""Messages between nodes about requests under which samplers crashed."""

from __future__ import annotations

import msgspec


class SamplerCrash(msgspec.Struct, frozen=True, array_like=True):
    """A sampler crashed soon after it started a request."""

    identity: str
    sampler: str
    """Incarnation of the sampler."""


class SuspectSummary(msgspec.Struct, frozen=True, array_like=True):
    """A request under which several samplers crashed."""

    identity: str
    crashes: list[str]
    """Incarnations that crashed."""
    quarantined: bool
    """Whether the request is quarantined."""
    trial_in_s: float
    """Time until a trial run may be requested."""


class QuarantineListing(msgspec.Struct, frozen=True):
    """All suspects that are published to other nodes."""

    revision: int
    suspects: list[SuspectSummary]


class ReportSuspectsCall(msgspec.Struct, frozen=True, tag=True):
    """Reports crashes, and suspects with a successful response; idempotent."""

    ends: list[SamplerCrash]
    answered: list[str]


class SuspectsReported(msgspec.Struct, frozen=True, tag=True):
    """The report is committed by a majority."""

    revision: int


class WatchQuarantineCall(msgspec.Struct, frozen=True, tag=True):
    """Long poll: returns once the revision differs from `known_revision`, or after `wait_s`."""

    known_revision: int
    wait_s: float


class QuarantineListed(msgspec.Struct, frozen=True, tag=True):
    """The listing, or None if it has not changed."""

    listing: QuarantineListing | None


class StartTrialCall(msgspec.Struct, frozen=True, tag=True):
    """Asks whether a quarantined request may run once more."""

    identity: str


class TrialAnswered(msgspec.Struct, frozen=True, tag=True):
    """Whether the trial is granted; at most one in the whole fleet per interval."""

    granted: bool


class ReleaseSuspectCall(msgspec.Struct, frozen=True, tag=True):
    """Releases a request by operator command."""

    identity: str


class SuspectReleased(msgspec.Struct, frozen=True, tag=True):
    """Whether the request was a suspect."""

    known: bool


QuarantineRequest = ReportSuspectsCall | WatchQuarantineCall | StartTrialCall | ReleaseSuspectCall
QuarantineReply = SuspectsReported | QuarantineListed | TrialAnswered | SuspectReleased
