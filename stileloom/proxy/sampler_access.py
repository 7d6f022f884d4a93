"""What lookups, reward calls and streams of one program share on their way to samplers."""

from __future__ import annotations

import random

import msgspec

from stileloom.api.headers import HeaderNames
from stileloom.logging import EventLog
from stileloom.proxy.metrics import AttemptMetrics
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.quarantine.guard import QuarantineGuard


class SamplerAccess(msgspec.Struct, frozen=True):
    """One per program."""

    zone: str
    """Samplers of this zone are preferred."""
    samplers: SamplerTable
    names: HeaderNames
    log: EventLog
    metrics: AttemptMetrics
    rng: random.Random
    guard: QuarantineGuard
