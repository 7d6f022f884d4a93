"""How a network turns messages into frames."""

from __future__ import annotations

from typing import Any, Protocol


class Codec(Protocol):
    """Encodes messages with their sender."""

    def encode(self, message: object) -> bytes:
        """A message as a frame."""

    def decode(self, frame: bytes) -> tuple[str, Any]:
        """The sender and the message. Raises `msgspec.DecodeError`."""

    def uses_datagram(self, message: object) -> bool:
        """Whether the message may be lost, and so go by UDP."""
