"""Work must not go on after what asked for it has ended: a job, a leader's term, a connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from unittest import mock

import msgspec
import testtools

from stileloom.api.headers import HeaderNames
from stileloom.api.jobs import ItemState
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.http1.buffered_response import BufferedResponse
from stileloom.http1.connection import SamplerConnection
from stileloom.jobs.intake import item_size
from stileloom.jobs.job_ages import JobAges
from stileloom.jobs.messages import EndJobCall, JobEnded, JobTaken, NoSuchJob, SubmitJobCall
from stileloom.jobs.open_items import ItemSize, OpenItem
from stileloom.jobs.partial_text import PartialText
from stileloom.jobs.registry import JobRegistry
from stileloom.jobs.runner import DEADLINE_MARGIN_S, PROGRESS_SAVE_PERIOD_S
from stileloom.jobs.scheduler import MIN_EVENTS_PER_SAVE
from stileloom.ledger.commands import EndJob
from stileloom.logging import configure_logs
from tests.runner_fixture import MAX_WAIT_S, RunnerFixture, submission

HOST = "127.0.0.1"
TIMEOUT_S = 30.0
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


class LostLeaseTest(testtools.TestCase):
    """A leader whose lease has expired while its process was held up, before its next step."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def received_after_lease(self, lost_before_text: bool) -> int:
        """The bytes of a reward call that a sampler receives from a leader without a lease."""

        async def scenario() -> int:
            received: list[int] = []

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                received.append(len(await reader.read(65_536)))
                writer.close()

            server = await asyncio.start_server(serve, HOST, 0)
            address = server.sockets[0].getsockname()
            fixture = RunnerFixture(SamplerEntry("c", "charts", address, "a", 4, False, {}))
            fixture.submit(submission("j", ["i"], rewards=True))
            fixture.step()
            (item,) = fixture.runner.scheduler.items.values()
            item.partial.add(1, "x", 1)
            fixture.ledger.leads = not lost_before_text
            fixture.runner._on_complete_text(item)
            fixture.ledger.leads = False
            await asyncio.sleep(0.3)
            fixture.runner.stop()
            server.close()
            return sum(received)

        return asyncio.run(scenario())

    def test_no_reward_call_is_sent_without_a_lease(self) -> None:
        """Neither a new call nor an attempt of one that has started."""
        for lost_before_text in (True, False):
            self.assertEqual(0, self.received_after_lease(lost_before_text), lost_before_text)


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
