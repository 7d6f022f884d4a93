"""Settings of the emulator: one file for all emulated services."""

from __future__ import annotations

import msgspec

from stileloom.api.objects import SamplerRole
from stileloom.emulator.engine_model import EngineParameters
from stileloom.settings_file import Address, Name, Port


class ObjectApiSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Port and injected faults of the object API."""

    port: Port
    delay_s: float = 0.0
    """Delay added to each response."""
    lost_answer_probability: float = 0.0
    """Probability that a write is applied but answered with an error."""


class MachineListSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Port of the machine list and the delay until changes are visible."""

    port: Port
    lag_s: float = 2.0


class WeightStoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Port of the weight store and its total transfer rate."""

    port: Port
    bytes_per_s: float = 4_000_000_000.0


class SamplerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An emulated engine."""

    sampler_id: Name
    pool: Name
    zone: Name
    port: Port
    role: SamplerRole
    model: str
    version: int = 1
    engine: EngineParameters = EngineParameters()


class TrainerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the emulated trainer."""

    round_name: str
    gateways: list[Address]
    steps: int = 3
    samples_per_step: int = 16
    train_s: float = 1.0
    """Duration of a training step."""
    prompts_ahead: int = 3
    """Number of steps for which prompts are submitted in advance."""
    max_tokens: int = 600
    length_median_tokens: int = 60
    length_sigma: float = 0.6
    long_fraction: float = 0.04
    long_factor: int = 8
    """Length of long samples as a multiple of the median."""
    groups: int = 4
    report: str = "trainer-report.json"
    give_up_s: float = 120.0


class EmulatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of all emulated services."""

    seed: int
    object_api: ObjectApiSettings
    machine_list: MachineListSettings
    weight_store: WeightStoreSettings
    samplers: list[SamplerSettings]
    trainer: TrainerSettings | None = None
    host: str = "127.0.0.1"
