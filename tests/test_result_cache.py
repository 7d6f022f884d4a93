"""Result cache of a gateway, and compression and framing of calls between nodes."""

from __future__ import annotations

import asyncio
import random
import zlib

import testtools

from stileloom.api.jobs import ItemResult, ItemState, ResultPage
from stileloom.errors import ErrorKind, StileloomError
from stileloom.jobs.messages import JobReply, JobRequest, NoSuchJob, ReadResultsCall, ResultsRead
from stileloom.jobs.registry import PAGE_BYTES, result_size
from stileloom.jobs.result_cache import ResultCache
from stileloom.jobs.result_reader import ResultReader
from stileloom.transport.calls import FrameDecoder, encode_frame
from stileloom.transport.compression import DEFLATED, PLAIN, pack, unpack

TOTAL = 9


def results(first: int, last: int, text: str = "t") -> list[ItemResult]:
    """Returns results for a range of positions."""
    return [ItemResult(f"i{n}", ItemState.SUCCEEDED, text, [1]) for n in range(first, last)]


def page(first: int, last: int, total: int = TOTAL) -> ResultPage:
    """Returns a page for a range of positions."""
    return ResultPage(total, last, results(first, last))


class FakeLeader:
    """A fake leader of a job with `listed` results."""

    def __init__(self, listed: int) -> None:
        self.listed = listed
        self.calls: list[ReadResultsCall] = []
        self.reachable = True
        self.job_exists = True

    async def call(self, request: JobRequest, request_id: str, timeout_s: float) -> JobReply:
        """Handles a read."""
        assert isinstance(request, ReadResultsCall)
        self.calls.append(request)
        if not self.reachable:
            raise StileloomError(ErrorKind.LEDGER_UNAVAILABLE, "leader unreachable")
        if not self.job_exists:
            return NoSuchJob()
        return ResultsRead(page(request.position, max(request.position, self.listed)))


class ReaderTest(testtools.TestCase):
    """Reads through the cache of one gateway."""

    def setUp(self) -> None:
        super().setUp()
        self.leader = FakeLeader(4)
        self.cache = ResultCache()
        self.reader = ResultReader(self.leader, self.cache)

    def read(self, position: int, wait_s: float = 1.0) -> JobReply:
        """Reads results of the job."""
        return asyncio.run(self.reader.read("j", position, wait_s, 5.0))

    def test_a_repeated_read_requests_only_new_results(self) -> None:
        self.assertEqual(ResultsRead(page(0, 4)), self.read(0))
        self.leader.listed = 6
        self.assertEqual(ResultsRead(page(1, 6)), self.read(1))
        self.assertEqual(ResultsRead(page(0, 6)), self.read(0))
        requested = [(call.position, call.wait_s) for call in self.leader.calls]
        self.assertEqual([(0, 1.0), (4, 0.0), (6, 0.0)], requested)

    def test_all_results_are_read_again_without_a_call(self) -> None:
        self.leader.listed = TOTAL
        self.read(0)
        self.leader.reachable = False
        self.assertEqual(ResultsRead(page(3, TOTAL)), self.read(3))
        self.assertEqual(1, len(self.leader.calls))

    def test_without_a_leader_only_cached_results_are_returned(self) -> None:
        self.read(0)
        self.leader.reachable = False
        self.assertEqual(ResultsRead(page(2, 4)), self.read(2))
        self.assertRaises(StileloomError, self.read, 4)

    def test_a_job_that_no_longer_exists_is_removed_from_the_cache(self) -> None:
        self.read(0)
        self.leader.job_exists = False
        self.assertEqual(NoSuchJob(), self.read(0))
        self.assertIsNone(self.cache.page("j", 0))


class CacheTest(testtools.TestCase):
    """Contents and size limit of the cache."""

    def test_pages_read_out_of_order_leave_gaps(self) -> None:
        cache = ResultCache()
        cache.put("j", 4, page(4, 6))
        cache.put("j", 0, page(0, 2))
        self.assertEqual(page(0, 2), cache.page("j", 0))
        self.assertIsNone(cache.page("j", 2))
        self.assertEqual(page(5, 6), cache.page("j", 5))
        self.assertIsNone(cache.page("other", 0))

    def test_a_page_is_limited_in_size_but_has_at_least_one_result(self) -> None:
        cache = ResultCache()
        large = results(0, 3, text="x" * (PAGE_BYTES // 2 + 1))
        cache.put("j", 0, ResultPage(TOTAL, 3, large))
        found = cache.page("j", 0)
        assert found is not None
        self.assertEqual((1, 1), (len(found.results), found.next_position))

    def test_the_least_recently_read_job_is_evicted(self) -> None:
        one = result_size(results(0, 1)[0])
        cache = ResultCache(max_bytes=5 * one)
        for job_id in ("a", "b"):
            cache.put(job_id, 0, page(0, 2))
        cache.page("a", 0)
        cache.put("c", 0, page(0, 2))
        self.assertIsNone(cache.page("b", 0))
        self.assertIsNotNone(cache.page("a", 0))
        self.assertIsNotNone(cache.page("c", 0))


class CompressionTest(testtools.TestCase):
    """Compressed bodies and damaged frames."""

    def test_compression_round_trip(self) -> None:
        rng = random.Random(1)
        for body in (b"", b"short", b"text " * 500, rng.randbytes(4000)):
            self.assertEqual(body, unpack(pack(body), 10_000))
        self.assertLess(len(pack(b"text " * 500)), 200)
        self.assertEqual(PLAIN, pack(rng.randbytes(4000))[:1])

    def test_invalid_bodies_are_rejected(self) -> None:
        complete = DEFLATED + zlib.compress(b"x" * 5000)
        for packed in (b"", b"\x07abc", DEFLATED + b"abc", complete[:-6], DEFLATED):
            self.assertRaises(ValueError, unpack, packed, 10_000)
        self.assertRaises(ValueError, unpack, complete, 4999)

    def test_a_damaged_frame_raises_an_error(self) -> None:
        frame = bytearray(asyncio.run(encode_frame(["a" * 500])))
        frame[6] ^= 0xFF
        self.assertRaises(ValueError, FrameDecoder().feed, bytes(frame))
