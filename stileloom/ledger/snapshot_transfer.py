"""Transfer of a snapshot in pieces: the state, then the bytes of the blob log that it refers to.

A leader that encodes, compresses and sends a whole snapshot in one message does nothing else
meanwhile, and heartbeats wait behind that message on the same connection. So it is sent in pieces,
one at a time, and the follower names the position from which to continue. It skips bytes of the
blob log that it holds already.
"""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.blobs import BlobLog
from stileloom.ledger.messages import SnapshotRecord, SnapshotRequest


class OutgoingSnapshot(msgspec.Struct, frozen=True):
    """A snapshot that the leader sends to one or more followers."""

    transfer: int
    snapshot: SnapshotRecord
    blobs: BlobLog

    @property
    def size(self) -> int:
        """Size of the state and of what it refers to."""
        return snapshot_size(self.snapshot, len(self.snapshot.state))

    def piece(self, offset: int) -> SnapshotRecord:
        """The snapshot with only the piece at this position.

        Raises `BlobUnavailable` if the leader's own blob log is damaged.
        """
        state_size = len(self.snapshot.state)
        if offset < state_size:
            data = self.snapshot.state[offset : offset + constants.SNAPSHOT_PIECE_BYTES]
        else:
            position = self.snapshot.first_blob + offset - state_size
            remaining = self.snapshot.blob_end - position
            data = self.blobs.read(position, min(remaining, constants.SNAPSHOT_PIECE_BYTES))
        return msgspec.structs.replace(self.snapshot, state=data)


class IncomingSnapshot:
    """The pieces that a follower has received of one snapshot.

    Pieces of the blob log go straight to the follower's own log: what is written at a position is
    the same on every replica, so they do no harm if the transfer is broken off.
    """

    def __init__(
        self, epoch: int, transfer: int, blobs: BlobLog, held: tuple[int, int] = (0, 0)
    ) -> None:
        self._epoch = epoch
        self._transfer = transfer
        self._blobs = blobs
        self._held = held
        """Range of the blob log that the follower holds."""
        self._state = bytearray()
        self.received = 0
        """Position up to which the snapshot has been received or is held."""

    def accepts(self, request: SnapshotRequest) -> bool:
        """Whether the piece belongs to this snapshot."""
        return (request.epoch, request.transfer) == (self._epoch, self._transfer)

    def add(self, request: SnapshotRequest) -> SnapshotRecord | None:
        """Adds a piece if it is the next one; returns the snapshot once it is complete.

        The pieces are released then.
        """
        piece = request.snapshot.state
        if request.offset == self.received and self.received < request.state_size:
            self._state += piece
            self.received += len(piece)
        elif request.offset == self.received:
            position = request.snapshot.first_blob + self.received - request.state_size
            self._blobs.write(position, piece)
            self.received += len(piece)
        self._skip_held(request)
        if self.received < snapshot_size(request.snapshot, request.state_size):
            return None
        state = bytes(self._state)
        self._state.clear()
        return msgspec.structs.replace(request.snapshot, state=state)

    def _skip_held(self, request: SnapshotRequest) -> None:
        if self.received < request.state_size:
            return
        position = request.snapshot.first_blob + self.received - request.state_size
        first, end = self._held
        if first <= position < end:
            self.received += min(end, request.snapshot.blob_end) - position


def snapshot_size(snapshot: SnapshotRecord, state_size: int) -> int:
    """Size of a state and of the bytes of the blob log that it refers to."""
    return state_size + snapshot.blob_end - snapshot.first_blob
