"""Dependencies shared by the components of a process that send requests to samplers."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from stileloom.api.headers import HeaderNames
from stileloom.http1.response_memory import ResponseMemory
from stileloom.load import LoadView
from stileloom.logging import EventLog
from stileloom.proxy.metrics import AttemptMetrics
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.quarantine.admission import RequestGuard


class SamplerAccess(msgspec.Struct, frozen=True):
    """What a process needs to send requests to samplers; one per process."""

    zone: str
    """Zone whose samplers are preferred."""
    samplers: SamplerTable
    names: HeaderNames
    log: EventLog
    metrics: AttemptMetrics
    rng: random.Random
    guard: RequestGuard
    count_run: Callable[[str, float], None] = lambda tenant, began_at: None
    """Counts a request that a sampler began, by tenant and moment of the steady clock."""
    load: LoadView = msgspec.field(default_factory=LoadView)
    """What the process knows about the load of samplers."""
    response_memory: ResponseMemory = msgspec.field(default_factory=ResponseMemory)
    """Memory of the responses that the process is receiving."""
