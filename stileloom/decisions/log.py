"""Ring buffer of the latest decisions of a process. Performs no I/O.

Handles loads in which requests wait or are refused, up to surges with several hundred decisions per
second: the buffer is limited by number and by memory, and the oldest records are dropped first.
"""

from __future__ import annotations

import sys
from collections import deque
from typing import Protocol

import msgspec

from stileloom.decisions.records import DecisionRecord, DecisionsPage, served
from stileloom.tenants.job_scope import caller_job_id

MAX_RECORDS = 2000
MAX_BYTES = 400_000
MAX_LISTED = 50
"""Number of records listed without a request id."""
SHORT_RECORD_BYTES = 1000
"""Texts of longer records are shortened: callers choose request ids of any length."""
MAX_TEXT_LENGTH = 128
MAX_CANDIDATES = 2
REFERENCE_BYTES = 8
"""Memory of a record's place in the buffer."""


class DecisionRecorder(Protocol):
    """Receives the records of decisions."""

    def record(self, record: DecisionRecord) -> None:
        """Keeps a record."""


class _Discarded:
    """Keeps nothing."""

    def record(self, record: DecisionRecord) -> None:
        """Discards a record."""


NO_DECISIONS: DecisionRecorder = _Discarded()


class DecisionLog:
    """Keeps records in their encoded form, whose memory is known exactly."""

    def __init__(self, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES) -> None:
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records: deque[bytes] = deque()
        self._buffer = bytearray()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(DecisionRecord)
        self.held_bytes = 0
        """Memory of all records."""

    def __len__(self) -> int:
        """Returns the number of records."""
        return len(self._records)

    def record(self, record: DecisionRecord) -> None:
        """Keeps a record and drops the oldest ones over the limits."""
        encoded = self._encode(record)
        if len(encoded) > SHORT_RECORD_BYTES:
            encoded = self._encode(_shortened(record))
        self._records.append(encoded)
        self.held_bytes += _memory(encoded)
        while len(self._records) > self._max_records or self.held_bytes > self._max_bytes:
            self.held_bytes -= _memory(self._records.popleft())

    def _encode(self, record: DecisionRecord) -> bytes:
        # A copy: the result of `encode` keeps its larger working buffer, 237 instead of 179 bytes.
        self._encoder.encode_into(record, self._buffer)
        return bytes(self._buffer)

    def page(self, request: str, now: float) -> DecisionsPage:
        """The records of a lookup, item or job; the newest of all if `request` is empty."""
        records = self._matching(request[:MAX_TEXT_LENGTH]) if request else self._newest()
        oldest = self._decoder.decode(self._records[0]) if self._records else None
        return DecisionsPage(
            len(self._records),
            round(now - oldest.at, 3) if oldest is not None else None,
            [served(record, now) for record in records],
        )

    def _matching(self, request: str) -> list[DecisionRecord]:
        text = request.encode()
        candidates = (self._decoder.decode(kept) for kept in self._records if text in kept)
        return [record for record in candidates if request in _ids(record)]

    def _newest(self) -> list[DecisionRecord]:
        first = max(0, len(self._records) - MAX_LISTED)
        return [
            self._decoder.decode(self._records[position])
            for position in range(first, len(self._records))
        ]


def _ids(record: DecisionRecord) -> set[str]:
    """The ids by which a record is found; callers know a job without the name of its tenant."""
    ids = (record.request, record.job, caller_job_id(record.job))
    return {known[:MAX_TEXT_LENGTH] for known in ids}


def _memory(encoded: bytes) -> int:
    return sys.getsizeof(encoded) + REFERENCE_BYTES


def _shortened(record: DecisionRecord) -> DecisionRecord:
    texts = {
        name: value[:MAX_TEXT_LENGTH]
        for name, value in msgspec.structs.asdict(record).items()
        if isinstance(value, str)
    }
    candidates = [
        msgspec.structs.replace(candidate, sampler=candidate.sampler[:MAX_TEXT_LENGTH])
        for candidate in record.candidates[:MAX_CANDIDATES]
    ]
    return msgspec.structs.replace(record, **texts, candidates=candidates)
