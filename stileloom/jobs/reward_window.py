"""AIMD concurrency limit for the reward calls of one service. Performs no I/O, reads no clock.

The samplers also serve lookups from gateways whose load is unknown to this node. The limit
increases additively while calls are answered and halves on overload. Calls use at most a fixed
share of the slots, but one call is always allowed.
"""

from __future__ import annotations

import msgspec

MAX_SLOT_SHARE = 0.5
"""Maximum share of the slots of a service's samplers; the rest is reserved for lookups."""
INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.8


class RewardWindow(msgspec.Struct):
    """Running reward calls of one service and their limit."""

    limit: float = INITIAL_LIMIT
    running: int = 0
    backoff_until: float = 0.0
    """Monotonic time until which no call starts after an overload or timeout."""
    backoff_s: float = INITIAL_BACKOFF_S

    def may_start(self, now: float, total_slots: int) -> bool:
        """Whether another call may start; `total_slots` counts all samplers of the service."""
        if now < self.backoff_until:
            return False
        limit = max(MIN_LIMIT, min(self.limit, total_slots * MAX_SLOT_SHARE))
        return self.running + 1 <= limit

    def record_answer(self) -> None:
        """Raises the limit after an answered call."""
        self.limit += 1.0 / self.limit
        self.backoff_s = INITIAL_BACKOFF_S

    def record_overload(self, now: float) -> None:
        """Halves the limit and backs off after an overload or timeout."""
        self.limit = max(MIN_LIMIT, self.limit / 2)
        self.backoff_until = now + self.backoff_s
        self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
