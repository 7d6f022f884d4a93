"""Messages between the controller, sampler owners and gateways."""

from __future__ import annotations

import msgspec

from stileloom.api.engine import EngineOrder, LoadReport
from stileloom.api.samples import Prompt, Segment


class GenerationKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one attempt to fill a slot."""

    round_name: str
    slot: int
    attempt: str
    """`epoch.sequence` of the controller that started it; never reused."""


class PartialGeneration(msgspec.Struct, frozen=True, array_like=True):
    """Valid tokens of an earlier attempt."""

    tokens: list[int]
    segments: list[Segment]


class StartGeneration(msgspec.Struct, frozen=True, tag=True):
    """Controller to owner: start a generation for a slot on a sampler."""

    key: GenerationKey
    sampler_id: str
    model: str
    prompt: Prompt
    priority: int
    partial: PartialGeneration


class StopGeneration(msgspec.Struct, frozen=True, tag=True):
    """Controller to owner: cancel a generation and return its tokens."""

    key: GenerationKey


class GenerationInterrupted(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: the attempt ended without a sample."""

    key: GenerationKey
    sampler_id: str
    partial: PartialGeneration
    failed: bool
    """True if the sampler failed, false if a stop was requested."""


class GenerationFinished(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: the ledger accepted or refused the attempt's sample."""

    key: GenerationKey
    sampler_id: str
    token_count: int
    accepted: bool


class OrderSampler(msgspec.Struct, frozen=True, tag=True):
    """Controller to owner: forward a fenced order."""

    sampler_id: str
    order: EngineOrder


class RunningGeneration(msgspec.Struct, frozen=True, array_like=True):
    """A generation in progress at an owner."""

    key: GenerationKey
    sampler_id: str
    token_count: int
    oldest_version: int | None


class LoadRow(LoadReport, frozen=True, array_like=True):
    """A load report in the compact encoding used between nodes, without field names."""


class SamplerReport(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller and gateways: the latest load of its samplers."""

    loads: list[LoadRow]
    unreachable: list[str]
    """Samplers that are unresponsive."""


class RunningReport(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: all its running generations, for adoption and loss detection."""

    running: list[RunningGeneration]
