"""Frames between ledger nodes; each contains its sender's name and address.

The sender's address lets receivers find a node that has moved or was restarted elsewhere.
"""

from __future__ import annotations

import msgspec

from stileloom.ledger.messages import (
    AppendReply,
    AppendRequest,
    HandOver,
    IdentityQuestion,
    LearnerHello,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from stileloom.ledger.peer_addresses import PeerAddresses
from stileloom.transport.compression import pack, unpack

LedgerMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | LearnerHello
    | IdentityQuestion
    | HandOver
)


MAX_FRAME_BYTES = 256 * 1024 * 1024


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """The sender of a frame and its reply address."""

    node_id: str
    host: str
    port: int


class LedgerFrame(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender."""

    sender: Sender
    message: LedgerMessage


_DECODER = msgspec.msgpack.Decoder(LedgerFrame)
_ENCODER = msgspec.msgpack.Encoder()


class LedgerCodec:
    """Encodes and decodes the frames of a ledger node; records the addresses of senders."""

    def __init__(self, me: Sender, addresses: PeerAddresses, compress: bool = True) -> None:
        self._me = me
        self._compress = compress
        self._addresses = addresses

    def encode(self, message: object) -> bytes:
        """Encodes a message as a frame.

        Pieces of a snapshot are not compressed: their texts already are, and the time would slow
        the transfer down.
        """
        frame = LedgerFrame(self._me, message)  # type: ignore[arg-type]
        compress = self._compress and not isinstance(message, SnapshotRequest)
        return pack(_ENCODER.encode(frame), compress)

    def decode(self, frame: bytes) -> tuple[str, LedgerMessage]:
        """Decodes a frame to its sender's name and message. Raises `msgspec.DecodeError`."""
        try:
            body = unpack(frame, MAX_FRAME_BYTES)
        except ValueError as error:
            raise msgspec.DecodeError(str(error)) from error
        decoded = _DECODER.decode(body)
        sender = decoded.sender
        self._addresses.record_sender(sender.node_id, (sender.host, sender.port))
        return sender.node_id, decoded.message

    def uses_datagram(self, message: object) -> bool:
        """Always False: messages go over TCP, whose ordering avoids retransmission of entries."""
        return False
