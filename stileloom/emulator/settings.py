"""Settings of the stand-ins: one file for a whole platform."""

from __future__ import annotations

import msgspec

from stileloom.api.objects import SamplerRole
from stileloom.emulator.engine_model import EngineParameters
from stileloom.settings_file import Address, Name, Port


class ObjectApiSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The object API's port and its faults."""

    port: Port
    delay_s: float = 0.0
    """Added to each answer."""
    lost_answer_probability: float = 0.0
    """Chance that a write takes effect and its answer is lost."""


class MachineListSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine list's port and lag."""

    port: Port
    lag_s: float = 2.0


class WeightStoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The weight store's port and rate, shared by all that load from it."""

    port: Port
    bytes_per_s: float = 4_000_000_000.0


class SamplerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One engine."""

    sampler_id: Name
    pool: Name
    zone: Name
    port: Port
    role: SamplerRole
    model: str
    version: int = 1
    engine: EngineParameters = EngineParameters()


class TrainerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The trainer's work."""

    round_name: str
    gateways: list[Address]
    steps: int = 3
    samples_per_step: int = 16
    train_s: float = 1.0
    """Time of one training step."""
    prompts_ahead: int = 3
    """Steps' worth of prompts that are submitted ahead."""
    max_tokens: int = 600
    length_median_tokens: int = 60
    length_sigma: float = 0.6
    long_fraction: float = 0.04
    long_factor: int = 8
    """A few samples are this many times longer than the median."""
    groups: int = 4
    report: str = "trainer-report.json"
    give_up_s: float = 120.0


class EmulatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All stand-ins of one platform."""

    seed: int
    object_api: ObjectApiSettings
    machine_list: MachineListSettings
    weight_store: WeightStoreSettings
    samplers: list[SamplerSettings]
    trainer: TrainerSettings | None = None
    host: str = "127.0.0.1"
