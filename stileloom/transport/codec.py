"""Interface of message codecs."""

from __future__ import annotations

from typing import Any, Protocol


class DeferredFrame(Protocol):
    """A frame whose encoding takes too long for the event loop."""

    async def parts(self) -> tuple[bytes, ...]:
        """The encoded frame in parts, which are sent one after another."""


class Codec(Protocol):
    """Encodes messages together with their sender."""

    def encode(self, message: object) -> bytes | DeferredFrame:
        """Encodes a message as a frame."""

    def decode(self, frame: bytes) -> tuple[str, Any]:
        """Returns the sender and the message. Raises `msgspec.DecodeError`."""

    def uses_datagram(self, message: object) -> bool:
        """Whether the message tolerates loss and may be sent over UDP."""
