"""Transfer of a snapshot in pieces.

A leader that encodes, compresses and sends its whole state in one message does nothing else
meanwhile, and heartbeats wait behind that message on the same connection. So the state is sent in
pieces, one at a time, and the follower names the position from which to continue.
"""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.ledger.messages import SnapshotRecord, SnapshotRequest


class OutgoingSnapshot(msgspec.Struct, frozen=True):
    """A snapshot that the leader sends to one or more followers."""

    transfer: int
    snapshot: SnapshotRecord

    @property
    def size(self) -> int:
        """Size of the whole state."""
        return len(self.snapshot.state)

    def piece(self, offset: int) -> SnapshotRecord:
        """The snapshot with only the piece of its state at this position."""
        end = offset + constants.SNAPSHOT_PIECE_BYTES
        return msgspec.structs.replace(self.snapshot, state=self.snapshot.state[offset:end])


class IncomingSnapshot:
    """The pieces that a follower has received of one snapshot."""

    def __init__(self, epoch: int, transfer: int) -> None:
        self._epoch = epoch
        self._transfer = transfer
        self._state = bytearray()

    @property
    def received(self) -> int:
        """Size of the consecutive pieces received so far."""
        return len(self._state)

    def accepts(self, request: SnapshotRequest) -> bool:
        """Whether the piece belongs to this snapshot."""
        return (request.epoch, request.transfer) == (self._epoch, self._transfer)

    def add(self, request: SnapshotRequest) -> SnapshotRecord | None:
        """Adds a piece if it is the next one; returns the snapshot once it is complete.

        The pieces are released then.
        """
        if request.offset == self.received:
            self._state += request.snapshot.state
        if self.received < request.size:
            return None
        state = bytes(self._state)
        self._state.clear()
        return msgspec.structs.replace(request.snapshot, state=state)
