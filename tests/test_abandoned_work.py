"""Work must not go on after what asked for it has ended: a job, a leader's term, a connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from unittest import mock

import msgspec
import testtools

from stileloom.api.headers import HeaderNames
from stileloom.api.jobs import FinishedItem, ItemProgress, ItemState, ResultPage
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.clock import steady_time
from stileloom.http1.buffered_response import BufferedResponse
from stileloom.http1.connection import SamplerConnection
from stileloom.http1.pool import ConnectionPool
from stileloom.jobs.intake import item_size
from stileloom.jobs.job_ages import JobAges
from stileloom.jobs.job_terms import DEADLINE_MARGIN_S
from stileloom.jobs.messages import (
    EndJobCall,
    JobEnded,
    JobTaken,
    NoSuchJob,
    ReadResultsCall,
    ResultsRead,
    SubmitJobCall,
)
from stileloom.jobs.open_items import ItemSize, OpenItem
from stileloom.jobs.partial_text import PartialText
from stileloom.jobs.registry import MAX_ENDED_JOBS_WITH_TEXTS, JobRegistry
from stileloom.jobs.runner import PROGRESS_SAVE_PERIOD_S
from stileloom.jobs.scheduler import MIN_EVENTS_PER_SAVE
from stileloom.ledger.commands import EndJob, ForgetJob, RecordResults
from stileloom.logging import configure_logs
from stileloom.proxy.lookup import Lookup
from stileloom.proxy.stream_relay import StreamRelay
from tests.runner_fixture import HOST as RUNNER_HOST
from tests.runner_fixture import MAX_WAIT_S, MODEL, SERVICE, RunnerFixture, submission

HOST = "127.0.0.1"
TIMEOUT_S = 30.0
SETTLE_S = 0.6
"""Longer than the time after which a lookup without an answer is attempted again."""
RECEIVE_BUFFER_BYTES = 4096
REQUEST = b"x" * 200_000
"""Too long for the peer's receive buffer, so that the sender's kernel holds the rest."""


def listener() -> socket.socket:
    """A listener whose connections take little before somebody reads."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.bind((HOST, 0))
    listening.listen()
    listening.setblocking(False)
    return listening


async def read_to_end(accepted: socket.socket) -> int:
    """Reads until the end or a reset and returns the number of bytes."""
    loop = asyncio.get_running_loop()
    count = 0
    with contextlib.suppress(ConnectionResetError):
        async with asyncio.timeout(TIMEOUT_S):
            while data := await loop.sock_recv(accepted, 65_536):
                count += len(data)
    return count


class HeldUpRequestTest(testtools.TestCase):
    """A request that the kernel of its sender still holds when the exchange is given up."""

    def test_a_request_that_is_held_up_is_not_delivered_after_its_exchange_was_closed(self) -> None:
        async def scenario() -> int:
            with listener() as listening:
                connection = await SamplerConnection.open(listening.getsockname())
                accepted, _ = await asyncio.get_running_loop().sock_accept(listening)
                with accepted:
                    assert connection._transport is not None
                    sending = connection._transport.get_extra_info("socket")
                    sending.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(REQUEST))
                    connection.exchange(REQUEST, BufferedResponse())
                    self.assertEqual(0, connection._transport.get_write_buffer_size())
                    connection.close()
                    # The transport closes its socket in the next step of the event loop.
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                    return await read_to_end(accepted)

        self.assertLess(asyncio.run(scenario()), len(REQUEST))


class UnendedJobTest(testtools.TestCase):
    """A job whose end never comes, while leaders change."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def test_an_item_is_given_up_in_time_although_no_leader_led_that_long(self) -> None:
        async def scenario() -> tuple[list[int], RunnerFixture]:
            fixture = RunnerFixture()
            fixture.submit(submission("j", ["i"]))
            job = fixture.state.job_book.jobs["j"]
            listed_after: list[int] = []
            with fixture.clock():
                for leader in range(12):
                    for _ in range(10):
                        fixture.step(1.0)
                        # Commits are tasks of the event loop.
                        await asyncio.sleep(0)
                    await asyncio.sleep(0.03)
                    if job.results and not listed_after:
                        listed_after.append(leader)
                    fixture.change_leader()
                fixture.runner.stop()
            return listed_after, fixture

        listed_after, fixture = asyncio.run(scenario())
        (result,) = fixture.state.job_book.jobs["j"].results
        self.assertEqual(ItemState.GIVEN_UP, result.state)
        # Each change of leader may cost the time since the age was last recorded.
        self.assertLessEqual(10.0 * listed_after[0], 1.3 * (MAX_WAIT_S + DEADLINE_MARGIN_S))
        self.assertGreaterEqual(10.0 * (listed_after[0] + 1), MAX_WAIT_S)


class JobAgeTest(testtools.TestCase):
    """The count of one node."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = JobRegistry()
        self.ages = JobAges()
        self.registry.submit(submission("j", ["i"]))
        self.ages.observe(self.registry, 100.0)

    def test_a_node_that_did_not_lead_has_counted_the_age_of_a_job(self) -> None:
        self.ages.observe(self.registry, 107.0)
        self.assertEqual(7.0, self.ages.age_s("j", 107.0))

    def test_a_recorded_age_only_raises_the_count(self) -> None:
        self.registry.record_ages({"j": 3, "other": 9})
        self.ages.observe(self.registry, 107.0)
        self.assertEqual(7.0, self.ages.age_s("j", 107.0))
        self.registry.record_ages({"j": 20})
        self.registry.record_ages({"j": 1})
        self.ages.observe(self.registry, 107.0)
        self.assertEqual(20.0, self.ages.age_s("j", 107.0))

    def test_a_job_that_was_forgotten_is_not_counted_on(self) -> None:
        self.registry.forget("j")
        self.ages.observe(self.registry, 107.0)
        self.assertEqual({}, self.ages.accepted_at)


def fail_on_bad_items(headers: dict[str, str], names: HeaderNames) -> ItemSize:
    """Stands for an internal error that one job causes in each step of the runner."""
    if "bad" in headers:
        raise RuntimeError("bad item")
    return item_size(headers, names)


class FailingStepTest(testtools.TestCase):
    """A step of the runner that raises because of one job."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def test_jobs_are_taken_and_ended_although_one_of_them_breaks_each_step(self) -> None:
        async def scenario() -> list[object]:
            fixture = RunnerFixture()
            service = fixture.service()
            bad = submission("bad", ["b"])
            bad.items[0].headers["bad"] = "1"
            replies: list[object] = []
            with mock.patch("stileloom.jobs.runner.item_size", fail_on_bad_items):
                for job in (submission("first", ["f"]), bad, submission("last", ["l"])):
                    replies.append(await service.handle(SubmitJobCall(job)))
                self.assertEqual({("first", "f"), ("last", "l")}, set(fixture.items()))
                for job_id in ("first", "bad", "last"):
                    replies.append(await service.handle(EndJobCall(job_id)))
                    self.assertNotIn(job_id, {key[0] for key in fixture.items()})
            fixture.runner.stop()
            return replies

        self.assertEqual([JobTaken()] * 3 + [JobEnded()] * 3, asyncio.run(scenario()))

    def test_a_run_stops_with_its_job_although_the_step_fails_later(self) -> None:
        async def scenario() -> None:
            fixture = RunnerFixture()
            service = fixture.service()
            await service.handle(SubmitJobCall(submission("j", ["i"])))
            fails = mock.patch.object(
                fixture.runner.scheduler, "unresponsive_runs", side_effect=RuntimeError
            )
            with fails:
                self.assertEqual(JobEnded(), await service.handle(EndJobCall("j")))
            self.assertEqual([], fixture.items())
            fixture.runner.stop()

        asyncio.run(scenario())


class LateSubmissionTest(testtools.TestCase):
    """A submission that is committed after the caller has ended its job."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def test_a_job_does_not_run_whose_end_came_while_its_submission_waited_for_a_majority(
        self,
    ) -> None:
        async def scenario() -> list[object]:
            fixture = RunnerFixture()
            service = fixture.service()
            fixture.ledger.majority.clear()
            taking = asyncio.ensure_future(service.handle(SubmitJobCall(submission("j", ["i"]))))
            await asyncio.sleep(0)
            ending = asyncio.ensure_future(service.handle(EndJobCall("j")))
            await asyncio.sleep(0)
            fixture.ledger.majority.set()
            replies: list[object] = [await taking, await ending]
            fixture.step(1.0)
            self.assertEqual([], fixture.items())
            fixture.runner.stop()
            return replies

        self.assertEqual([JobTaken(), JobEnded()], asyncio.run(scenario()))

    def test_a_job_does_not_run_whose_submission_was_held_up_until_after_its_end(self) -> None:
        async def scenario() -> list[object]:
            fixture = RunnerFixture()
            service = fixture.service()
            replies: list[object] = [await service.handle(EndJobCall("j"))]
            fixture.change_leader()
            service.runner = fixture.runner
            replies.append(await service.handle(SubmitJobCall(submission("j", ["i"]))))
            fixture.step(1.0)
            self.assertEqual([], fixture.items())
            replies.append(await service.handle(EndJobCall("j")))
            fixture.runner.stop()
            return replies

        self.assertEqual([NoSuchJob(), JobTaken(), JobEnded()], asyncio.run(scenario()))


class RepeatedSubmissionTest(testtools.TestCase):
    """A submission that is repeated after the end of its job."""

    def test_a_repeat_is_taken_and_does_not_run(self) -> None:
        async def scenario() -> None:
            configure_logs("error")
            fixture = RunnerFixture()
            service = fixture.service()
            fixture.submit(submission("j", ["i"]))
            fixture.step()
            await service.handle(EndJobCall("j"))
            for _ in range(2):
                self.assertEqual(
                    JobTaken(), await service.handle(SubmitJobCall(submission("j", ["i"])))
                )
                fixture.step(1.0)
                self.assertEqual([], fixture.items())
                fixture.change_leader()
                service.runner = fixture.runner
            fixture.runner.stop()

        asyncio.run(scenario())

    def test_a_repeat_does_not_run_after_its_job_was_forgotten(self) -> None:
        for end_is_known in (True, False):
            registry = JobRegistry()
            registry.submit(submission("j", ["i"]))
            if end_is_known:
                registry.end("j")
            else:
                registry.record("j", [FinishedItem("i", ItemState.GIVEN_UP, 0, [], [])])
            registry.forget("j")
            registry.submit(submission("j", ["i"]))
            self.assertFalse(registry.jobs["j"].is_open)


class LostLeaseTest(testtools.TestCase):
    """A leader whose lease has expired while its process was held up, before its next step."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def received_after_lease(self, lost: str) -> int:
        """The bytes of a reward call that a sampler receives from a leader that loses its lease
        before the text is complete, before the call starts, or while it connects.
        """

        async def scenario() -> int:
            received: list[int] = []

            writers: list[asyncio.StreamWriter] = []

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writers.append(writer)
                received.append(len(await reader.read(65_536)))

            server = await asyncio.start_server(serve, HOST, 0)
            address = server.sockets[0].getsockname()
            fixture = RunnerFixture(SamplerEntry("c", "charts", address, "a", 4, False, {}))
            fixture.submit(submission("j", ["i"], rewards=True))
            fixture.step()
            (item,) = fixture.runner.scheduler.items.values()
            item.partial.add(1, "x", 1)
            acquire = ConnectionPool.acquire

            async def lose_lease_while_connecting(
                pool: ConnectionPool, sampler_id: str, address: tuple[str, int]
            ) -> SamplerConnection:
                connection = await acquire(pool, sampler_id, address)
                fixture.ledger.leads = False
                return connection

            with mock.patch.object(ConnectionPool, "acquire", lose_lease_while_connecting):
                fixture.ledger.leads = lost != "before the text"
                fixture.runner.on_complete_text(item)
                if lost == "before the call":
                    fixture.ledger.leads = False
                await asyncio.sleep(0.3)
            self.assertFalse(fixture.ledger.leads)
            fixture.runner.stop()
            fixture.forwarder.close_connections("c")
            server.close()
            for writer in writers:
                writer.transport.abort()
            await asyncio.sleep(0)
            return sum(received)

        return asyncio.run(scenario())

    def test_no_reward_call_is_sent_without_a_lease(self) -> None:
        """Neither a new call nor an attempt of one that has started."""
        for lost in ("before the text", "before the call", "while it connects"):
            self.assertEqual(0, self.received_after_lease(lost), lost)


class CarriedItemTest(testtools.TestCase):
    """An item that a later job carries again, after a change of leader."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def carried(self, min_version: int) -> tuple[OpenItem, list[str]]:
        """The item at a new leader that adopts a later job, and the text saved for that job."""

        async def scenario() -> tuple[OpenItem, list[str]]:
            fixture = RunnerFixture()
            fixture.submit(submission("first", ["i"]))
            with fixture.clock():
                fixture.step()
                (item,) = fixture.runner.scheduler.items.values()
                for number in range(1, MIN_EVENTS_PER_SAVE + 1):
                    item.partial.add(number, f"event {number}", 1)
                fixture.step(PROGRESS_SAVE_PERIOD_S)
                await asyncio.sleep(0)
                fixture.state.apply(EndJob("first"))
                fixture.change_leader()
                later = submission("later", ["i"])
                fixture.submit(msgspec.structs.replace(later, min_version=min_version))
                fixture.step()
                (item,) = fixture.runner.scheduler.items.values()
                await asyncio.sleep(0)
                fixture.runner.stop()
            saved = fixture.state.job_book.jobs["later"].progress.get("i", PartialText())
            return item, saved.parts

        return asyncio.run(scenario())

    def test_a_new_leader_continues_from_the_text_that_an_ended_job_saved(self) -> None:
        item, saved_by_later_job = self.carried(min_version=1)
        self.assertEqual(MIN_EVENTS_PER_SAVE, item.partial.last_event_id)
        # The later job saves all of it as its own, since the first one is forgotten earlier.
        self.assertEqual(item.partial.parts, saved_by_later_job)
        self.assertEqual(MIN_EVENTS_PER_SAVE, len(saved_by_later_job))

    def test_a_text_of_a_version_that_the_later_job_does_not_allow_is_not_used(self) -> None:
        item, saved_by_later_job = self.carried(min_version=2)
        self.assertEqual([], item.partial.parts + saved_by_later_job)


class EndedTextTest(testtools.TestCase):
    """Saved texts of ended jobs take a bounded part of the state."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = JobRegistry()
        self.jobs = [f"j{number}" for number in range(MAX_ENDED_JOBS_WITH_TEXTS + 2)]
        self.progress = [ItemProgress("i", 0, ["one", "two"], 2, [1], False)]
        for job in self.jobs:
            self.registry.submit(submission(job, ["i"]))
            self.registry.save(job, self.progress)
            self.registry.end(job)
            self.registry.end(job)

    def test_only_the_last_ended_jobs_keep_saved_texts(self) -> None:
        kept = [job for job in self.jobs if self.registry.jobs[job].progress]
        self.assertEqual(self.jobs[2:], kept)

    def test_events_that_are_saved_late_are_not_kept_for_an_older_job(self) -> None:
        self.registry.save(self.jobs[0], self.progress)
        self.assertEqual({}, self.registry.jobs[self.jobs[0]].progress)

    def test_no_result_is_listed_without_the_events_that_were_removed(self) -> None:
        finished = FinishedItem("i", ItemState.SUCCEEDED, 2, ["three"], [1])
        for job in (self.jobs[0], self.jobs[-1]):
            self.registry.record(job, [finished])
        self.assertEqual([], self.registry.jobs[self.jobs[0]].results)
        (result,) = self.registry.page(self.jobs[-1], 0).results
        self.assertEqual("one\ntwo\nthree", result.text)


class ResultReaderTest(testtools.TestCase):
    """Calls that wait for results."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def test_a_reader_of_a_complete_job_is_answered_at_its_end(self) -> None:
        async def scenario() -> None:
            fixture = RunnerFixture()
            service = fixture.service()
            fixture.submit(submission("j", ["i"]))
            result = FinishedItem("i", ItemState.SUCCEEDED, 0, ["one"], [1])
            fixture.state.apply(RecordResults("j", [result]))
            reading = asyncio.ensure_future(service.handle(ReadResultsCall("j", 1, TIMEOUT_S)))
            await asyncio.sleep(0)
            await service.handle(EndJobCall("j"))
            async with asyncio.timeout(TIMEOUT_S / 10):
                self.assertEqual(ResultsRead(ResultPage(1, 1, [])), await reading)
            fixture.runner.stop()

        asyncio.run(scenario())

    def test_readers_that_left_are_not_remembered(self) -> None:
        async def scenario() -> int:
            fixture = RunnerFixture()
            service = fixture.service()
            fixture.submit(submission("j", ["i"]))
            for _ in range(20):
                reading = asyncio.ensure_future(service.handle(ReadResultsCall("j", 0, TIMEOUT_S)))
                await asyncio.sleep(0)
                reading.cancel()
                await asyncio.wait([reading])
            remembered = sum(map(len, fixture.runner._writer._waiters.values()))
            fixture.runner.stop()
            return remembered

        self.assertEqual(0, asyncio.run(scenario()))


class SilentSampler:
    """Accepts requests, answers none of them, and counts them and the connections that end."""

    def __init__(self) -> None:
        self.requests = 0
        self.ended = 0
        self._server: asyncio.Server

    async def __aenter__(self) -> SilentSampler:
        self._writers: list[asyncio.StreamWriter] = []
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def entry(self, service: str) -> SamplerEntry:
        """Its entry in the directory."""
        address = self._server.sockets[0].getsockname()[:2]
        return SamplerEntry("s", service, address, "a", 4, False, {MODEL: 1})

    async def wait_for(self, requests: int, ended: int) -> None:
        """Waits for these counts, and then until more would have come."""
        async with asyncio.timeout(TIMEOUT_S):
            while (self.requests, self.ended) != (requests, ended):
                await asyncio.sleep(0.01)
        await asyncio.sleep(SETTLE_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        with contextlib.suppress(ConnectionResetError):
            while await reader.read(65_536):
                self.requests += 1
        self.ended += 1
        writer.close()


class StopPointTest(testtools.TestCase):
    """Each point between the plan of a run and its answer at which its reason may end."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def counts(self, stop: Callable[[RunnerFixture], None], running: bool) -> tuple[int, int]:
        """Requests and ended connections at a sampler if a run is stopped, before or after it was
        sent, and the runner steps on."""

        async def scenario() -> tuple[int, int]:
            async with SilentSampler() as sampler:
                fixture = RunnerFixture(sampler.entry(SERVICE))
                fixture.submit(submission("j", ["i"]))
                fixture.runner.on_versions_listed()
                fixture.step()
                (item,) = fixture.runner.scheduler.items.values()
                self.assertIsNotNone(item.run)
                if running:
                    await sampler.wait_for(1, 0)
                stop(fixture)
                for _ in range(5):
                    fixture.step()
                    await asyncio.sleep(SETTLE_S / 5)
                counts = (sampler.requests, sampler.ended)
                fixture.runner.stop()
                # Lets the closed connections end.
                await asyncio.sleep(0.01)
                return counts

        return asyncio.run(scenario())

    def end_job(self, fixture: RunnerFixture) -> None:
        """The end of the job is committed."""
        fixture.state.apply(EndJob("j"))
        fixture.step()

    def forget_job(self, fixture: RunnerFixture) -> None:
        """The job is removed from the ledger."""
        fixture.state.apply(ForgetJob("j"))
        fixture.step()

    def lose_lease(self, fixture: RunnerFixture) -> None:
        """The lease is lost; no step has noticed."""
        fixture.ledger.leads = False

    def stop_leading(self, fixture: RunnerFixture) -> None:
        """The leadership ends, as it does in the step after the loss of the lease."""
        fixture.ledger.leads = False
        fixture.runner.stop()

    def receive_end(self, fixture: RunnerFixture) -> None:
        """The leader has received the end, which waits for a majority."""
        fixture.runner.stop_job("j")

    def test_a_run_that_waits_for_a_connection_is_not_sent_after_its_reason_has_ended(self) -> None:
        for stop in (
            self.end_job,
            self.forget_job,
            self.receive_end,
            self.lose_lease,
            self.stop_leading,
        ):
            requests, _ = self.counts(stop, running=False)
            self.assertEqual(0, requests, stop.__name__)

    def test_a_run_that_was_sent_is_closed_and_not_repeated(self) -> None:
        for stop in (self.end_job, self.forget_job, self.receive_end, self.stop_leading):
            self.assertEqual((1, 1), self.counts(stop, running=True), stop.__name__)

    def test_nothing_is_sent_by_a_leader_that_has_not_noticed_the_loss_of_its_lease(self) -> None:
        self.assertEqual((1, 0), self.counts(self.lose_lease, running=True))

    def test_a_lookup_whose_caller_left_is_closed_and_not_attempted_again(self) -> None:
        async def scenario() -> None:
            async with SilentSampler() as sampler:
                fixture = RunnerFixture(sampler.entry("charts"))
                route = fixture.routes.match(RUNNER_HOST, "/charts/x")
                assert route is not None
                now = steady_time()
                lookup = Lookup("r", "GET", "/charts/x", [], b"", now, now + TIMEOUT_S)
                forwarding = asyncio.ensure_future(
                    fixture.forwarder.forward(lookup, route, "charts")
                )
                await sampler.wait_for(1, 0)
                forwarding.cancel()
                await sampler.wait_for(1, 1)
                fixture.runner.stop()

        asyncio.run(scenario())


class PausedGatewayTest(testtools.TestCase):
    """A process that is paused beyond the deadline of a lookup while it connects to a sampler."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def requests_after_pause(self, streaming: bool) -> int:
        """Requests that reach the sampler."""

        async def scenario() -> int:
            pause_s = 0.0

            async def acquire(sampler_id: str, address: tuple[str, int]) -> SamplerConnection:
                nonlocal pause_s
                connection = await SamplerConnection.open(address)
                pause_s = 2 * TIMEOUT_S
                return connection

            def paused_time() -> float:
                return steady_time() + pause_s

            async with SilentSampler() as sampler:
                fixture = RunnerFixture(sampler.entry("charts"))
                route = fixture.routes.match(RUNNER_HOST, "/charts/x")
                assert route is not None
                now = steady_time()
                lookup = Lookup("r", "GET", "/charts/x", [], b"", now, now + TIMEOUT_S)
                relay = StreamRelay(fixture.access)
                forwarder = fixture.forwarder
                with (
                    mock.patch("stileloom.proxy.forwarder.steady_time", paused_time),
                    mock.patch("stileloom.proxy.stream_relay.steady_time", paused_time),
                    mock.patch.object(forwarder._pool, "acquire", acquire),
                    mock.patch.object(relay._pool, "acquire", acquire),
                ):
                    if streaming:
                        calling = relay.relay(lookup, route, "charts", mock.Mock())
                    else:
                        calling = forwarder.forward(lookup, route, "charts")
                    task = asyncio.ensure_future(calling)
                    await asyncio.wait([task], timeout=SETTLE_S)
                    task.cancel()
                    await asyncio.wait([task])
                await asyncio.sleep(0.05)
                fixture.runner.stop()
                return sampler.requests

        return asyncio.run(scenario())

    def test_a_lookup_is_not_sent_after_its_deadline(self) -> None:
        self.assertEqual(0, self.requests_after_pause(streaming=False))

    def test_a_stream_is_not_sent_after_its_deadline(self) -> None:
        self.assertEqual(0, self.requests_after_pause(streaming=True))
