"""Entries of the sampler directory."""

from __future__ import annotations

import msgspec


class SamplerEntry(msgspec.Struct, frozen=True):
    """A sampler process as listed in the directory."""

    sampler_id: str
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    draining: bool
    model_versions: dict[str, int]
    """Weight version of each model at the time of the listing."""
    born_ms: int = 0
    """Start time in Unix milliseconds; 0 if the directory does not provide it."""

    @property
    def incarnation(self) -> str:
        """Distinguishes processes that successively use the same sampler id."""
        return f"{self.sampler_id}/{self.born_ms}" if self.born_ms else self.sampler_id
