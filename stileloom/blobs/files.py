"""The log of byte strings in files of a ledger node's data folder.

The log is cut into segments of a fixed size, one file each, so that old ones can be removed.
Written bytes stay in memory until a thread flushes them. They need no sync of their own: until a
snapshot refers to them, the journal holds the commands that wrote them. A snapshot is therefore
written only after `sync`, and segments are removed only once no snapshot on disk refers to them.
"""

from __future__ import annotations

import os
import threading
from pathlib import Path

from stileloom.blobs.log import BlobUnavailable

SEGMENT_BYTES = 4 * 1024 * 1024
FLUSH_BYTES = 1024 * 1024
"""Bytes in memory from which the thread that writes the journal flushes them as well."""
SEGMENT_PREFIX = "blobs-"
MAX_OPEN_SEGMENTS = 16


class FileBlobLog:
    """Segments in one folder.

    The event loop calls `write` and `read`; threads call `flush`, `sync` and `discard_before`.
    """

    def __init__(self, folder: Path, segment_bytes: int | None = None) -> None:
        self._folder = folder
        self._segment_bytes = segment_bytes or SEGMENT_BYTES
        self._unflushed: dict[int, bytes] = {}
        """Written bytes by position, kept until they are in their files."""
        self._unflushed_bytes = 0
        self._memory_lock = threading.Lock()
        """Guards the bytes in memory; never held during calls that may wait for the disk."""
        self._file_lock = threading.Lock()
        """Orders flushes, syncs and removals of different threads."""
        self._unsynced: set[int] = set()
        self._folder_unsynced = False
        """Whether a segment was created since the folder was synced."""
        self._read_descriptors: dict[int, int] = {}
        """Used by the event loop only."""

    # Event loop.

    def write(self, offset: int, data: bytes) -> None:
        """Implements `BlobLog`."""
        if not data:
            return
        with self._memory_lock:
            self._unflushed_bytes += len(data) - len(self._unflushed.get(offset, b""))
            self._unflushed[offset] = data

    def read(self, offset: int, size: int) -> bytes:
        """Implements `BlobLog`."""
        with self._memory_lock:
            data = self._unflushed.get(offset, b"")
            if len(data) == size:
                return data
            overlapping = {
                first: chunk
                for first, chunk in self._unflushed.items()
                if first < offset + size and first + len(chunk) > offset
            }
        found = bytearray()
        while len(found) < size:
            position = offset + len(found)
            part = _from_memory(overlapping, position)
            if not part:
                next_chunk = min((f for f in overlapping if f > position), default=offset + size)
                part = self._read_file(position, min(next_chunk, offset + size) - position)
            if not part:
                raise BlobUnavailable(f"no bytes at {position}")
            found += part[: size - len(found)]
        return bytes(found)

    def needs_flush(self) -> bool:
        """Whether enough bytes are in memory to write them to their files."""
        return self._unflushed_bytes >= FLUSH_BYTES

    def _read_file(self, offset: int, size: int) -> bytes:
        segment, start = divmod(offset, self._segment_bytes)
        try:
            descriptor = self._read_descriptor(segment)
            os.lseek(descriptor, start, os.SEEK_SET)
            return os.read(descriptor, min(size, self._segment_bytes - start))
        except OSError as error:
            raise BlobUnavailable(f"segment {segment}: {error!r}") from error

    def _read_descriptor(self, segment: int) -> int:
        descriptor = self._read_descriptors.pop(segment, None)
        if descriptor is None:
            descriptor = os.open(self._path(segment), os.O_RDONLY)
        self._read_descriptors[segment] = descriptor
        while len(self._read_descriptors) > MAX_OPEN_SEGMENTS:
            os.close(self._read_descriptors.pop(next(iter(self._read_descriptors))))
        return descriptor

    # Threads.

    def flush(self) -> None:
        """Writes the bytes in memory to their files. Raises `OSError`; it may then be repeated.

        Does nothing while another thread syncs: commits wait for the journal's thread.
        """
        if not self._file_lock.acquire(blocking=False):
            return
        try:
            self._flush()
        finally:
            self._file_lock.release()

    def sync(self) -> None:
        """Makes all bytes written so far durable. Raises `OSError`; it may then be repeated."""
        with self._file_lock:
            self._flush()
            for segment in sorted(self._unsynced):
                descriptor = os.open(self._path(segment), os.O_RDONLY)
                try:
                    os.fsync(descriptor)
                finally:
                    os.close(descriptor)
                self._unsynced.discard(segment)
            if self._folder_unsynced:
                self._sync_folder()

    def discard_before(self, offset: int) -> None:
        """Removes the segments that end at or before a position. Raises `OSError`."""
        with self._file_lock:
            for segment in self._segments():
                if (segment + 1) * self._segment_bytes <= offset:
                    self._path(segment).unlink()
                    self._unsynced.discard(segment)

    def _flush(self) -> None:
        with self._memory_lock:
            chunks = list(self._unflushed.items())
        for run in _consecutive(chunks):
            self._write_chunk(run[0][0], b"".join(data for _, data in run))
            with self._memory_lock:
                for offset, data in run:
                    if self._unflushed.get(offset) is data:
                        del self._unflushed[offset]
                        self._unflushed_bytes -= len(data)

    def _write_chunk(self, offset: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            segment, start = divmod(offset, self._segment_bytes)
            part = view[: self._segment_bytes - start]
            self._unsynced.add(segment)
            self._folder_unsynced = self._folder_unsynced or not self._path(segment).exists()
            descriptor = os.open(self._path(segment), os.O_WRONLY | os.O_CREAT, 0o644)
            try:
                os.lseek(descriptor, start, os.SEEK_SET)
                written = os.write(descriptor, part)
            finally:
                os.close(descriptor)
            view = view[written:]
            offset += written

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._folder_unsynced = False

    # Start and end of the process.

    def covers(self, first: int, end: int) -> bool:
        """Whether the files are long enough to hold all bytes of a range."""
        while first < end:
            segment, start = divmod(first, self._segment_bytes)
            needed = min(self._segment_bytes, start + end - first)
            path = self._path(segment)
            if not path.exists() or path.stat().st_size < needed:
                return False
            first += needed - start
        return True

    def remove_all(self) -> None:
        """Removes all segments, before the first write. Raises `OSError`."""
        for segment in self._segments():
            self._path(segment).unlink()

    def close(self) -> None:
        """Closes all files."""
        for descriptor in self._read_descriptors.values():
            os.close(descriptor)
        self._read_descriptors.clear()

    def _segments(self) -> list[int]:
        names = [path.name for path in self._folder.glob(f"{SEGMENT_PREFIX}*")]
        return sorted(int(name.removeprefix(SEGMENT_PREFIX)) for name in names)

    def _path(self, segment: int) -> Path:
        return self._folder / f"{SEGMENT_PREFIX}{segment:012}"


def _consecutive(chunks: list[tuple[int, bytes]]) -> list[list[tuple[int, bytes]]]:
    """Groups chunks that follow one another, up to `FLUSH_BYTES`, to save system calls."""
    runs: list[list[tuple[int, bytes]]] = []
    run_bytes = 0
    for offset, data in chunks:
        last = runs[-1][-1] if runs else None
        follows = last is not None and last[0] + len(last[1]) == offset
        if follows and run_bytes + len(data) <= FLUSH_BYTES:
            runs[-1].append((offset, data))
            run_bytes += len(data)
        else:
            runs.append([(offset, data)])
            run_bytes = len(data)
    return runs


def _from_memory(chunks: dict[int, bytes], position: int) -> bytes:
    for first, chunk in chunks.items():
        if first <= position < first + len(chunk):
            return chunk[position - first :]
    return b""
