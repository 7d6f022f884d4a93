"""Messages between the controller, the owners of samplers, and gateways."""

from __future__ import annotations

import msgspec

from stileloom.api.engine import EngineOrder, LoadReport
from stileloom.api.samples import Prompt, Segment


class GenerationKey(msgspec.Struct, frozen=True, array_like=True):
    """Names one attempt to fill a slot."""

    round_name: str
    slot: int
    attempt: str
    """`epoch.sequence` of the controller that started it: never used twice."""


class PartialGeneration(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that an earlier attempt produced and that still count."""

    tokens: list[int]
    segments: list[Segment]


class StartGeneration(msgspec.Struct, frozen=True, tag=True):
    """Controller to owner: generate for a slot on a sampler."""

    key: GenerationKey
    sampler_id: str
    model: str
    prompt: Prompt
    priority: int
    partial: PartialGeneration


class StopGeneration(msgspec.Struct, frozen=True, tag=True):
    """Controller to owner: cancel, and send back what was generated."""

    key: GenerationKey


class GenerationInterrupted(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: the attempt ended without a sample."""

    key: GenerationKey
    sampler_id: str
    partial: PartialGeneration
    failed: bool
    """The sampler failed, as opposed to a stop that was asked for."""


class GenerationFinished(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: the ledger has answered the attempt's sample."""

    key: GenerationKey
    sampler_id: str
    token_count: int
    accepted: bool


class OrderSampler(msgspec.Struct, frozen=True, tag=True):
    """Controller to owner: pass on a fenced order."""

    sampler_id: str
    order: EngineOrder


class RunningGeneration(msgspec.Struct, frozen=True, array_like=True):
    """A generation under way at an owner."""

    key: GenerationKey
    sampler_id: str
    token_count: int
    oldest_version: int | None


class LoadRow(LoadReport, frozen=True, array_like=True):
    """A load report as it goes between nodes: without the names of its fields."""


class SamplerReport(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller and gateways: the newest load of its samplers."""

    loads: list[LoadRow]
    unreachable: list[str]
    """Samplers that do not answer."""


class RunningReport(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: every generation it runs, for adoption and loss detection."""

    running: list[RunningGeneration]
