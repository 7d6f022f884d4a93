"""Entries of the sampler directory."""

from __future__ import annotations

import msgspec

from stileloom.errors import ErrorKind, StileloomError

MAX_SAMPLER_ID_LENGTH = 256
MAX_SLOTS = 65_535
"""Larger numbers are mistakes. Sums over a fleet of samplers stay far below 64 bits."""
MAX_VERSION = 2**53
"""The largest integer that every JSON implementation represents exactly."""


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


def check_entry(entry: SamplerEntry) -> None:
    """Raises `StileloomError` (OBJECT_INVALID) for an entry that no sampler would write.

    Other clients also write to the directory. The id is sent in headers, so it must be printable.
    """
    sampler_id = entry.sampler_id
    if not (sampler_id.isascii() and sampler_id.isprintable() and sampler_id.strip()):
        raise _invalid("the id is not printable ASCII")
    if len(sampler_id) > MAX_SAMPLER_ID_LENGTH:
        raise _invalid(f"the id has {len(sampler_id)} characters")
    if not 1 <= entry.slots <= MAX_SLOTS:
        raise _invalid(f"slots are not between 1 and {MAX_SLOTS}")
    if not 0 <= entry.born_ms <= MAX_VERSION:
        raise _invalid("the time of birth is out of range")
    for version in entry.model_versions.values():
        if not 0 <= version <= MAX_VERSION:
            raise _invalid("a weight version is out of range")


def _invalid(detail: str) -> StileloomError:
    return StileloomError(ErrorKind.OBJECT_INVALID, detail)
