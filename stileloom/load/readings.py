"""The load that a sampler reports in the header `HeaderNames.load` of its responses."""

from __future__ import annotations

import re

import msgspec

MAX_FIGURE = 65_535
"""Larger figures are taken for malformed; each figure fits into three bytes of a message."""
MIN_SLOWNESS = 0.5
"""Smaller figures count as this one. Speeds begin at 0.7 of the mean; a sampler that reports a
hundred times the usual speed by mistake would attract all lookups.
"""
SLOW_FROM = 1.5
"""Slowness from which a sampler counts as slow."""
_HEADER = re.compile(
    r"\s*([0-9]{1,5})\s*,\s*([0-9]{1,5})\s*,\s*([0-9]{1,5})\s*(?:,\s*([0-9]{1,5})\s*)?"
)


class LoadReading(msgspec.Struct, frozen=True):
    """Load of a sampler at one moment."""

    running: int
    waiting: int
    slots: int
    slowness: float | None
    """How long work takes compared with the usual time; None if the sampler does not report it."""

    @property
    def is_full(self) -> bool:
        """Whether a further request would have to wait."""
        return self.running >= self.slots or self.waiting > 0

    @property
    def is_slow(self) -> bool:
        """Whether work takes much longer than usual."""
        return self.slowness is not None and self.slowness >= SLOW_FROM


def make_reading(
    running: int, waiting: int, slots: int, slowness_percent: int | None
) -> LoadReading | None:
    """A reading of these figures, or None if they are out of range."""
    if not (0 <= running <= MAX_FIGURE and 0 <= waiting <= MAX_FIGURE and 1 <= slots <= MAX_FIGURE):
        return None
    if slowness_percent is None:
        return LoadReading(running, waiting, slots, None)
    if not 1 <= slowness_percent <= MAX_FIGURE:
        return None
    return LoadReading(running, waiting, slots, max(MIN_SLOWNESS, slowness_percent / 100))


def decode_load(header: str) -> LoadReading | None:
    """Decodes a header value such as `3,0,8` or `3,0,8,250`; None for anything malformed."""
    match = _HEADER.fullmatch(header)
    if match is None:
        return None
    running, waiting, slots, slowness = match.groups()
    percent = int(slowness) if slowness is not None else None
    return make_reading(int(running), int(waiting), int(slots), percent)
