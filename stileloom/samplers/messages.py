"""Messages between the controller, sampler owners and gateways."""

from __future__ import annotations

import msgspec

from stileloom.api.engine import EngineOrder, LoadReport
from stileloom.api.samples import Prompt, Segment


class GenerationKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one attempt to generate the sample of a slot."""

    round_name: str
    slot: int
    attempt: str
    """Unique: the epoch of the controller that started it, and a sequence number."""


class PartialGeneration(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of an earlier attempt that the next one continues."""

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
    """Controller to owner: cancel a generation and return its tokens as `GenerationInterrupted`."""

    key: GenerationKey


class GenerationInterrupted(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: the attempt ended without a sample."""

    key: GenerationKey
    sampler_id: str
    partial: PartialGeneration
    failed: bool
    """Whether the sampler or its stream failed; false if the owner stopped the generation."""


class GenerationFinished(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: the attempt's sample was accepted or refused by the ledger."""

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
    """Owner to controller and gateways: the latest loads of its samplers."""

    loads: list[LoadRow]
    unreachable: list[str]
    """Ids of unresponsive samplers."""


class RunningReport(msgspec.Struct, frozen=True, tag=True):
    """Owner to controller: all generations in progress. A new controller adopts them; those that no
    report contains any more were lost."""

    running: list[RunningGeneration]
