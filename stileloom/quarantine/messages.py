"""What nodes tell one another about requests under which samplers ended."""

from __future__ import annotations

import msgspec


class SamplerEnd(msgspec.Struct, frozen=True, array_like=True):
    """A sampler's process ended soon after a request had begun there."""

    identity: str
    sampler: str
    """The sampler's incarnation."""


class SuspectSummary(msgspec.Struct, frozen=True, array_like=True):
    """A request under which several samplers ended."""

    identity: str
    ends: list[str]
    """Incarnations that ended."""
    held: bool
    """Refused everywhere."""
    trial_in_s: float
    """After this one run in the whole fleet may be asked for."""


class QuarantineListing(msgspec.Struct, frozen=True):
    """All suspects that other nodes have to know."""

    revision: int
    suspects: list[SuspectSummary]


class ReportSuspectsCall(msgspec.Struct, frozen=True, tag=True):
    """Ends that a node has seen, and suspects that got a good answer; safe to repeat."""

    ends: list[SamplerEnd]
    answered: list[str]


class SuspectsReported(msgspec.Struct, frozen=True, tag=True):
    """The report is durable at a majority."""

    revision: int


class WatchQuarantineCall(msgspec.Struct, frozen=True, tag=True):
    """The list, as soon as its revision is another one, or after `wait_s`."""

    known_revision: int
    wait_s: float


class QuarantineListed(msgspec.Struct, frozen=True, tag=True):
    """The list, or None where it has not changed."""

    listing: QuarantineListing | None


class StartTrialCall(msgspec.Struct, frozen=True, tag=True):
    """May this held request run once more?"""

    identity: str


class TrialAnswered(msgspec.Struct, frozen=True, tag=True):
    """Whether it may: at most one run in the whole fleet for each time."""

    granted: bool


class ReleaseSuspectCall(msgspec.Struct, frozen=True, tag=True):
    """An operator's word: nothing is held against this request any more."""

    identity: str


class SuspectReleased(msgspec.Struct, frozen=True, tag=True):
    """Whether anything was held against it."""

    known: bool


QuarantineRequest = ReportSuspectsCall | WatchQuarantineCall | StartTrialCall | ReleaseSuspectCall
QuarantineReply = SuspectsReported | QuarantineListed | TrialAnswered | SuspectReleased
