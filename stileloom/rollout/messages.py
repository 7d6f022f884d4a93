"""Messages between gateways and the controller."""

from __future__ import annotations

import msgspec

from stileloom.errors import ErrorKind
from stileloom.ledger.commands import DeliveryPage


class DeliveryRequest(msgspec.Struct, frozen=True, tag=True):
    """Requests `count` deliveries from `offset`; answered once all of them are available."""

    ticket: int
    round_name: str
    offset: int
    count: int


class DeliveryAnswer(msgspec.Struct, frozen=True, tag=True):
    """A page of deliveries or an error. With `not_leader`, the caller tries another node."""

    ticket: int
    page: DeliveryPage | None
    refused: ErrorKind | None = None
    not_leader: bool = False


class DrainSampler(msgspec.Struct, frozen=True, tag=True):
    """An operator's drain request, forwarded to all nodes of the zone and to the leader."""

    sampler_id: str


class StatusRequest(msgspec.Struct, frozen=True, tag=True):
    """Requests the status known only to the leader."""

    ticket: int


class RoundStatus(msgspec.Struct, frozen=True):
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
    """State of one sampler as known to the leader."""

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
