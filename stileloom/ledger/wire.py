"""Frames between ledger nodes; each contains its sender's name and address.

The sender's address lets receivers find a node that has moved or was restarted elsewhere. The log
entries of a message follow in a part of their own, which is encoded and compressed once for all
followers.
"""

from __future__ import annotations

import asyncio
import struct

import msgspec

from stileloom.ledger.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    HandOver,
    IdentityQuestion,
    LearnerHello,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
)
from stileloom.ledger.peer_addresses import PeerAddresses
from stileloom.transport.codec import DeferredFrame
from stileloom.transport.compression import MAX_INLINE_BYTES, pack, pack_in_thread, unpack

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


HEAD_LENGTH = struct.Struct(">I")
_DECODER = msgspec.msgpack.Decoder(LedgerFrame)
_ENTRIES_DECODER = msgspec.msgpack.Decoder(list[Entry])
_ENCODER = msgspec.msgpack.Encoder()


class EncodedEntries:
    """Log entries as sent to several followers; large ones are compressed in a thread, once."""

    def __init__(self, entries: list[Entry], compress: bool) -> None:
        self.entries = entries
        self._compress = compress
        body = _ENCODER.encode(entries)
        self._body = body if len(body) > MAX_INLINE_BYTES else b""
        self.packed: bytes | None = None if self._body else pack(body, compress)
        """None until a large part has been compressed."""
        self._packing: asyncio.Future[bytes] | None = None

    def holds(self, entries: list[Entry]) -> bool:
        """Whether these are the same entries; entries are immutable."""
        return len(entries) == len(self.entries) and all(map(_is_same, entries, self.entries))

    async def pack(self) -> bytes:
        """Returns the packed entries."""
        if self.packed is not None:
            return self.packed
        if self._packing is None:
            self._packing = asyncio.ensure_future(pack_in_thread(self._body, self._compress))
        # Shielded, because the connections to other followers wait for it too.
        self.packed = await asyncio.shield(self._packing)
        self._body = b""
        return self.packed


class _DeferredFrame:
    """A frame with a part that has to be compressed in a thread."""

    def __init__(self, head: bytes, entries: EncodedEntries | None, compress: bool) -> None:
        self._head = head
        self._entries = entries
        self._compress = compress

    async def parts(self) -> tuple[bytes, ...]:
        """Implements `DeferredFrame`."""
        head = await pack_in_thread(self._head, self._compress)
        head = HEAD_LENGTH.pack(len(head)) + head
        return (head,) if self._entries is None else (head, await self._entries.pack())


class LedgerCodec:
    """Encodes and decodes the frames of a ledger node; records the addresses of senders."""

    def __init__(self, me: Sender, addresses: PeerAddresses, compress: bool = True) -> None:
        self._me = me
        self._compress = compress
        self._addresses = addresses
        self._last_entries: EncodedEntries | None = None
        """Sent last; the next message usually carries them to another follower."""

    def encode(self, message: object) -> bytes | DeferredFrame:
        """Encodes a message as a frame."""
        entries: EncodedEntries | None = None
        if isinstance(message, AppendRequest):
            if message.entries:
                entries = self._encode_entries(message.entries)
                message = msgspec.structs.replace(message, entries=[])
            else:
                self._last_entries = None
        head = _ENCODER.encode(LedgerFrame(self._me, message))  # type: ignore[arg-type]
        packed_entries = entries.packed if entries is not None else b""
        if len(head) > MAX_INLINE_BYTES or packed_entries is None:
            return _DeferredFrame(head, entries, self._compress)
        packed_head = pack(head, self._compress)
        return HEAD_LENGTH.pack(len(packed_head)) + packed_head + packed_entries

    def _encode_entries(self, entries: list[Entry]) -> EncodedEntries:
        last = self._last_entries
        if last is None or not last.holds(entries):
            last = EncodedEntries(entries, self._compress)
            self._last_entries = last
        return last

    def decode(self, frame: bytes) -> tuple[str, LedgerMessage]:
        """Decodes a frame to its sender's name and message. Raises `msgspec.DecodeError`."""
        try:
            (length,) = HEAD_LENGTH.unpack_from(frame)
            head_end = HEAD_LENGTH.size + length
            decoded = _DECODER.decode(unpack(frame[HEAD_LENGTH.size : head_end], MAX_FRAME_BYTES))
            message = decoded.message
            if isinstance(message, AppendRequest) and len(frame) > head_end:
                body = unpack(frame[head_end:], MAX_FRAME_BYTES)
                entries = _ENTRIES_DECODER.decode(body)
                message = msgspec.structs.replace(message, entries=entries)
        except (ValueError, struct.error) as error:
            raise msgspec.DecodeError(str(error)) from error
        sender = decoded.sender
        self._addresses.record_sender(sender.node_id, (sender.host, sender.port))
        return sender.node_id, message

    def uses_datagram(self, message: object) -> bool:
        """Always False: messages go over TCP, whose ordering avoids retransmission of entries."""
        return False


def _is_same(first: Entry, second: Entry) -> bool:
    return first is second
