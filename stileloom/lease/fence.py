"""Fencing tokens: orders carry (epoch, sequence) and a receiver refuses lower ones."""

from __future__ import annotations

import msgspec


class FencingToken(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Ordered first by the leader's epoch, then by the leader's own count."""

    epoch: int
    sequence: int


class Fence:
    """Remembers the highest token seen and admits only higher ones, or the same again."""

    def __init__(self) -> None:
        self.highest = FencingToken(0, 0)

    def admits(self, token: FencingToken) -> bool:
        """Whether an order with this token may be carried out; remembers it if so."""
        if token < self.highest:
            return False
        self.highest = token
        return True
