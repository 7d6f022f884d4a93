"""The call by which a gateway and a ledger node exchange readings, and its reply.

Both carry ages instead of times, because clocks of two nodes differ.
"""

from __future__ import annotations

import msgspec


class SharedReading(msgspec.Struct, frozen=True, array_like=True):
    """A reading and its age."""

    sampler_id: str
    born_ms: int
    """With `sampler_id`, the incarnation (`SamplerEntry.incarnation`)."""
    age_ms: int
    running: int
    waiting: int
    slots: int
    slowness_percent: int | None


class KnownReading(msgspec.Struct, frozen=True, array_like=True):
    """A sampler and the age of what the gateway knows of it; expired if it knows nothing."""

    sampler_id: str
    born_ms: int
    age_ms: int


class ShareLoadCall(msgspec.Struct, frozen=True, tag=True):
    """Readings that a gateway measured; requests newer ones of the samplers that it names."""

    readings: list[SharedReading]
    known: list[KnownReading]
    """The other samplers of the service; those in `readings` are not repeated."""


class LoadShared(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Readings that are newer than those of the gateway."""

    readings: list[SharedReading]
    kept_ms: int | None = 1500
    """For how long the node has kept all readings that it received, at most their expiry.

    None if it ignored those of this call.
    """
