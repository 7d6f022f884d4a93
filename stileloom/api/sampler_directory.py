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
    born_ms: int = 0
    """Unix milliseconds of its start; 0 where its directory does not tell."""

    @property
    def incarnation(self) -> str:
        """Tells a process from the one that had the same id before."""
        return f"{self.sampler_id}/{self.born_ms}" if self.born_ms else self.sampler_id
