"""The blob log: byte strings that the replicated state refers to."""

from __future__ import annotations

import contextlib
import errno
import os
import random
import tempfile
import threading
from pathlib import Path
from unittest import mock

import testtools

from stileloom.blobs import BlobReference, BlobUnavailable, MemoryBlobLog, read_blob, reference_to
from stileloom.blobs.files import FLUSH_BYTES, FileBlobLog

SEGMENT_BYTES = 100
FUZZ_ROUNDS = 60


class FileBlobLogTest(testtools.TestCase):
    """Segments in a folder."""

    def setUp(self) -> None:
        super().setUp()
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)
        self.log = self.reopened()

    def reopened(self) -> FileBlobLog:
        """What a new process opens."""
        log = FileBlobLog(self.folder, SEGMENT_BYTES)
        self.addCleanup(log.close)
        return log

    def fill(self, count: int, seed: int = 1) -> list[tuple[BlobReference, bytes]]:
        """Writes byte strings one after another, many of them across segments."""
        rng = random.Random(seed)
        written = []
        offset = 0
        for _ in range(count):
            data = rng.randbytes(rng.randint(0, 3 * SEGMENT_BYTES))
            reference = reference_to(offset, data)
            self.log.write(offset, data)
            written.append((reference, data))
            offset = reference.end
        return written

    def test_bytes_are_read_from_memory_and_from_files(self) -> None:
        written = self.fill(20)
        for flush in (False, True):
            if flush:
                self.log.flush()
            for reference, data in written:
                self.assertEqual(data, read_blob(self.log, reference))
        self.assertEqual(written, [(r, read_blob(self.reopened(), r)) for r, _ in written])
        end = written[-1][0].end
        whole = b"".join(data for _, data in written)
        self.assertEqual(whole[30:-30], self.log.read(30, end - 60))

    def test_a_range_may_be_partly_in_memory(self) -> None:
        written = self.fill(6)
        self.log.flush()
        end = written[-1][0].end
        self.log.write(end, b"x" * 150)
        whole = b"".join(data for _, data in written) + b"x" * 150
        self.assertEqual(whole, self.log.read(0, len(whole)))
        self.assertRaises(BlobUnavailable, self.log.read, end, 151)

    def test_segments_are_removed_only_as_a_whole(self) -> None:
        written = self.fill(20)
        self.log.sync()
        kept_from = written[10][0].offset
        self.log.discard_before(kept_from)
        for reference, data in written[10:]:
            self.assertEqual(data, read_blob(self.log, reference))
        names = sorted(path.name for path in self.folder.iterdir())
        self.assertEqual(f"blobs-{kept_from // SEGMENT_BYTES:012}", names[0])

    def test_a_disk_that_refuses_writes_loses_nothing(self) -> None:
        """Guards against texts that are gone because the disk was full for a while."""
        with mock.patch("os.write", side_effect=OSError(errno.ENOSPC, "no space left")):
            written = self.fill(10)
            self.assertRaises(OSError, self.log.sync)
        for reference, data in written:
            self.assertEqual(data, read_blob(self.log, reference))
        self.log.sync()
        for reference, data in written:
            self.assertEqual(data, read_blob(self.reopened(), reference))

    def test_bytes_in_memory_are_bounded_by_flushes(self) -> None:
        self.log.write(0, bytes(FLUSH_BYTES - 1))
        self.assertFalse(self.log.needs_flush())
        self.log.write(FLUSH_BYTES - 1, b"x")
        self.assertTrue(self.log.needs_flush())
        self.log.flush()
        self.assertFalse(self.log.needs_flush())

    def test_damaged_files_are_noticed_and_never_served(self) -> None:
        """Guards against texts that are answered from files that were cut, flipped or lost."""
        rng = random.Random(7)
        written = self.fill(30)
        self.log.sync()
        end = written[-1][0].end
        contents = {path: path.read_bytes() for path in self.folder.iterdir()}
        self.assertTrue(self.reopened().covers(0, end))
        for _ in range(FUZZ_ROUNDS):
            path = rng.choice(sorted(contents))
            data = bytearray(contents[path])
            damage = rng.choice(["cut", "flip", "missing", "doubled"])
            if damage == "cut":
                path.write_bytes(data[: rng.randrange(len(data))])
            elif damage == "flip":
                data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
                path.write_bytes(data)
            elif damage == "missing":
                path.unlink()
            else:
                path.write_bytes(data[: len(data) // 2] + data[: len(data) - len(data) // 2])
            log = FileBlobLog(self.folder, SEGMENT_BYTES)
            for reference, expected in written:
                with contextlib.suppress(BlobUnavailable):
                    self.assertEqual(expected, read_blob(log, reference))
            if damage in ("cut", "missing"):
                self.assertFalse(log.covers(0, end))
            log.close()
            path.write_bytes(contents[path])

    def test_reads_do_not_wait_for_a_flush(self) -> None:
        """Guards against an event loop that waits for the disk behind a thread that writes."""
        written = self.fill(3)
        self.log.flush()
        writing, finish = threading.Event(), threading.Event()
        write = os.write

        def wait_and_write(descriptor: int, data: bytes) -> int:
            writing.set()
            finish.wait(10.0)
            return write(descriptor, data)

        reference = reference_to(written[-1][0].end, b"new")
        self.log.write(reference.offset, b"new")
        with mock.patch("os.write", wait_and_write):
            thread = threading.Thread(target=self.log.flush)
            thread.start()
            self.assertTrue(writing.wait(10.0))
            self.assertEqual(written[0][1], read_blob(self.log, written[0][0]))
            self.assertEqual(b"new", read_blob(self.log, reference))
            finish.set()
            thread.join()
        self.assertEqual(b"new", read_blob(self.log, reference))

    def test_a_flush_does_not_wait_for_a_sync(self) -> None:
        """Guards against commits that wait until a snapshot's bytes are durable."""
        self.fill(3)
        syncing, finish = threading.Event(), threading.Event()

        def wait(descriptor: int) -> None:
            syncing.set()
            finish.wait(10.0)

        with mock.patch("os.fsync", wait):
            thread = threading.Thread(target=self.log.sync)
            thread.start()
            self.assertTrue(syncing.wait(10.0))
            self.log.write(10_000, b"later")
            flushing = threading.Thread(target=self.log.flush)
            flushing.start()
            flushing.join(5.0)
            self.assertFalse(flushing.is_alive())
            finish.set()
            thread.join()
        self.assertEqual(b"later", self.log.read(10_000, 5))
        self.log.flush()
        self.assertEqual(b"later", self.reopened().read(10_000, 5))


class MemoryBlobLogTest(testtools.TestCase):
    """The log of replicas without a disk."""

    def test_a_position_never_holds_other_bytes(self) -> None:
        """Guards against replicas whose references mean different texts."""
        log = MemoryBlobLog()
        log.write(0, b"abcdef")
        log.write(2, b"cdefgh")
        self.assertEqual(b"abcdefgh", log.read(0, 8))
        self.assertRaises(ValueError, log.write, 4, b"xy")

    def test_gaps_and_removed_bytes_are_unavailable(self) -> None:
        log = MemoryBlobLog()
        log.write(4, b"ef")
        self.assertRaises(BlobUnavailable, log.read, 3, 2)
        log.write(0, b"abcd")
        self.assertEqual(b"abcdef", log.read(0, 6))
        log.discard_before(2)
        self.assertRaises(BlobUnavailable, log.read, 0, 3)
        log.truncate(5)
        self.assertRaises(BlobUnavailable, log.read, 4, 2)
        self.assertEqual(b"cde", log.read(2, 3))
        log.discard_before(9)
        log.write(0, b"abcdefghijk")
        self.assertEqual(b"jk", log.read(9, 2))
