"""The log of byte strings: its interface, references with a digest, and a log in memory."""

from __future__ import annotations

from typing import Protocol

import msgspec
import xxhash


class BlobUnavailable(Exception):
    """Bytes of the log are missing or do not match their digest."""


class BlobReference(msgspec.Struct, frozen=True, array_like=True):
    """Position, size in bytes and digest of a byte string in the log."""

    offset: int
    size: int
    digest: int
    """64-bit xxh3, which detects damaged files; it does not protect against forgery."""

    @property
    def end(self) -> int:
        """Position after the byte string."""
        return self.offset + self.size


class BlobLog(Protocol):
    """Bytes by position. What is written at a position is the same on every replica."""

    def write(self, offset: int, data: bytes) -> None:
        """Writes bytes; they become durable with the next snapshot that refers to them."""

    def read(self, offset: int, size: int) -> bytes:
        """Returns bytes. Raises `BlobUnavailable` if some of them are missing."""


def reference_to(offset: int, data: bytes) -> BlobReference:
    """The reference to a byte string that is written at a position."""
    return BlobReference(offset, len(data), xxhash.xxh3_64_intdigest(data))


def read_blob(log: BlobLog, reference: BlobReference) -> bytes:
    """Reads a byte string. Raises `BlobUnavailable` if it is missing or damaged."""
    data = log.read(reference.offset, reference.size)
    if xxhash.xxh3_64_intdigest(data) != reference.digest:
        raise BlobUnavailable(f"{reference.size} bytes at {reference.offset} are damaged")
    return data


class MemoryBlobLog:
    """A log in memory, for replicas without a disk."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._start = 0
        """Position of the first byte that is kept."""
        self._missing: list[tuple[int, int]] = []
        """Gaps as pairs of first and end position."""

    @property
    def end(self) -> int:
        """Position after the last byte."""
        return self._start + len(self._data)

    def write(self, offset: int, data: bytes) -> None:
        """Implements `BlobLog`. Raises `ValueError` if the position held other bytes."""
        if offset > self.end:
            self._missing.append((self.end, offset))
            self._data += bytes(offset - self.end)
        skipped = max(0, self._start - offset)
        position, kept = offset + skipped, data[skipped:]
        start = position - self._start
        overlap = bytes(self._data[start : start + len(kept)])
        if overlap != kept[: len(overlap)] and not self._has_gap(position, len(overlap)):
            raise ValueError(f"the bytes at {position} differ from those written before")
        self._data[start : start + len(kept)] = kept
        self._fill_gaps(position, position + len(kept))

    def read(self, offset: int, size: int) -> bytes:
        """Implements `BlobLog`."""
        if offset < self._start or offset + size > self.end or self._has_gap(offset, size):
            raise BlobUnavailable(f"{size} bytes at {offset} are missing")
        start = offset - self._start
        return bytes(self._data[start : start + size])

    def discard_before(self, offset: int) -> None:
        """Releases the bytes before a position."""
        removed = min(max(0, offset - self._start), len(self._data))
        del self._data[:removed]
        self._start = max(self._start, offset)
        self._missing = [gap for gap in self._missing if gap[1] > self._start]

    def truncate(self, end: int) -> None:
        """Removes the bytes from a position on, as a crash does that loses unsynced writes."""
        del self._data[max(0, end - self._start) :]
        self._missing = [(first, min(last, end)) for first, last in self._missing if first < end]

    def _has_gap(self, offset: int, size: int) -> bool:
        return any(first < offset + size and last > offset for first, last in self._missing)

    def _fill_gaps(self, first: int, end: int) -> None:
        rest: list[tuple[int, int]] = []
        for gap_first, gap_end in self._missing:
            rest += [(gap_first, min(gap_end, first)), (max(gap_first, end), gap_end)]
        self._missing = [gap for gap in rest if gap[0] < gap[1]]
