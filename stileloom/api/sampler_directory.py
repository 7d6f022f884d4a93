"""The directory of samplers: who serves what, where, and in which state."""

from __future__ import annotations

import msgspec


class SamplerEntry(msgspec.Struct, frozen=True):
    """One incarnation of a sampler, as the directory lists it."""

    sampler_id: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    draining: bool
    model_versions: dict[str, int]
    """Version of each model's weights, as old as the listing."""
