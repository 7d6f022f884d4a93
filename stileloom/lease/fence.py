"""Fencing tokens: orders carry (epoch, sequence); receivers reject tokens below the highest."""

from __future__ import annotations

import msgspec


class FencingToken(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Ordered by the leader's epoch, then by the leader's sequence number."""

    epoch: int
    sequence: int


class Fence:
    """Admits tokens that are not lower than the highest one admitted so far."""

    def __init__(self) -> None:
        self.highest = FencingToken(0, 0)

    def admits(self, token: FencingToken) -> bool:
        """Whether an order with this token may be executed; records the token if so."""
        if token < self.highest:
            return False
        self.highest = token
        return True
