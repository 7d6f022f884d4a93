"""Messages between a gateway that speaks to a trainer and the controller."""

from __future__ import annotations

import msgspec

from stileloom.errors import ErrorKind
from stileloom.ledger.commands import DeliveryPage


class DeliveryRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for the deliveries `offset .. offset + count`; answered once they are whole."""

    ticket: int
    round_name: str
    offset: int
    count: int


class DeliveryAnswer(msgspec.Struct, frozen=True, tag=True):
    """The page, or why there is none. `not_leader` asks to try another node."""

    ticket: int
    page: DeliveryPage | None
    refused: ErrorKind | None = None
    not_leader: bool = False


class DrainSampler(msgspec.Struct, frozen=True, tag=True):
    """An operator's drain of a sampler, passed on to every node of the zone and the leader."""

    sampler_id: str


class StatusRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks the leader for the part of the status that only it knows."""

    ticket: int


class RoundStatus(msgspec.Struct, frozen=True):
    """Progress of a round."""

    name: str
    version: int
    staleness_bound: int
    open_slots: int
    under_way: int
    ready: int
    handed_over: int
    acknowledged: int
    discarded_tokens: int


class SamplerStatus(msgspec.Struct, frozen=True):
    """One sampler as the leader sees it."""

    sampler_id: str
    pool: str
    zone: str
    state: str
    role: str
    model: str
    weight_version: int | None
    running: int
    leaving: bool


class LeaderStatus(msgspec.Struct, frozen=True, tag=True):
    """Answer to `StatusRequest`."""

    ticket: int
    leader: str
    epoch: int
    in_force: int
    zone_revisions: dict[str, int]
    rounds: list[RoundStatus]
    samplers: list[SamplerStatus]
    voters: list[str]
