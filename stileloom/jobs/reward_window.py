"""Bounds the reward calls of one service by what its samplers answer. No I/O, no clock.

Lookups of the same service come from many gateways that this node does not see. The bound
rises slowly while calls are answered and halves when samplers are full (AIMD), and it never
takes more than a part of the places.
"""

from __future__ import annotations

import msgspec

MAX_SHARE_OF_PLACES = 0.5
"""Of all places of a service's samplers; the others are left to lookups."""
FIRST_LIMIT = 4.0
MIN_LIMIT = 1.0
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.8


class RewardWindow(msgspec.Struct):
    """Reward calls under way at one service, and how many may be."""

    limit: float = FIRST_LIMIT
    running: int = 0
    paused_until: float = 0.0
    """Monotonic seconds: the samplers were full or did not answer."""
    pause_s: float = FIRST_PAUSE_S

    def may_start(self, now: float, places: int) -> bool:
        """Whether one more call may start; `places` are those of all samplers together."""
        if now < self.paused_until:
            return False
        most = max(MIN_LIMIT, min(self.limit, places * MAX_SHARE_OF_PLACES))
        return self.running + 1 <= most

    def answered(self) -> None:
        """A sampler took a call and answered it."""
        self.limit += 1.0 / self.limit
        self.pause_s = FIRST_PAUSE_S

    def not_answered(self, now: float) -> None:
        """Every sampler was full, or none answered in time."""
        self.limit = max(MIN_LIMIT, self.limit / 2)
        self.paused_until = now + self.pause_s
        self.pause_s = min(MAX_PAUSE_S, self.pause_s * 2)
