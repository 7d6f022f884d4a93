"""Where the readings of the load view come from: responses of samplers, without a network."""

from __future__ import annotations

import asyncio
import contextlib
import random

import testtools
from prometheus_client import CollectorRegistry
from tornado.httputil import HTTPHeaders

from stileloom.api.headers import HeaderNames
from stileloom.api.routes import Route, RouteKind
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.clock import steady_time
from stileloom.errors import StileloomError
from stileloom.http1.buffered_response import BufferedResponse
from stileloom.http1.connection import ExchangeEnd
from stileloom.http1.response_decoder import ResponseHead
from stileloom.jobs.item_stream import ItemStream
from stileloom.jobs.partial_text import PartialText
from stileloom.load import LoadReading, LoadView
from stileloom.load.recording import record_response_load
from stileloom.logging import EventLog, configure_logs
from stileloom.proxy.forwarder import Forwarder
from stileloom.proxy.lookup import Lookup
from stileloom.proxy.metrics import AttemptMetrics
from stileloom.proxy.sampler_access import SamplerAccess
from stileloom.proxy.sampler_table import SamplerTable
from stileloom.quarantine.guard import QuarantineGuard
from stileloom.quarantine.metrics import QuarantineMetrics
from tests.test_quarantine_guard import FakeLedger as FakeQuarantineLedger

NAMES = HeaderNames()
ENTRY = SamplerEntry("s", "lookups", ("127.0.0.1", 1), "a", 6, False, {}, 7)


class FakePool:
    """Connections to samplers that respond at once with the next of the given heads."""

    def __init__(self, heads: list[ResponseHead | None]) -> None:
        self.heads = heads

    async def acquire(self, sampler_id: str, address: tuple[str, int]) -> FakePool:
        """Returns a connection."""
        return self

    def release(self, sampler_id: str, connection: FakePool) -> None:
        """Takes a connection back."""

    def close(self) -> None:
        """Closes the connection."""

    def exchange(
        self, request: bytes, response: BufferedResponse, method: str, max_body_bytes: int
    ) -> None:
        """Responds; None stands for a connection that breaks."""
        head = self.heads.pop(0)
        if head is not None:
            response.on_head(head)
        response.on_end(ExchangeEnd.COMPLETE if head is not None else ExchangeEnd.CUT)


def head(status: int, load: str = "5,1,6,250", **headers: str) -> ResponseHead:
    """A response head with a load."""
    values = {NAMES.load: load, NAMES.request_id: "r", NAMES.signature: "signed"}
    values |= {getattr(NAMES, name): text for name, text in headers.items()}
    return ResponseHead(status, "", HTTPHeaders(values))


class ForwarderTest(testtools.TestCase):
    """Readings from the responses to lookups and reward calls."""

    def forward(self, heads: list[ResponseHead | None]) -> LoadView:
        """The view after one lookup that got these responses."""
        configure_logs("error")
        log = EventLog("node")
        samplers = SamplerTable()
        samplers.replace_all([ENTRY])
        metrics = QuarantineMetrics(CollectorRegistry())
        guard = QuarantineGuard(FakeQuarantineLedger(), log, metrics)
        access = SamplerAccess(
            "a",
            samplers,
            NAMES,
            log,
            AttemptMetrics(CollectorRegistry()),
            random.Random(1),
            guard,
        )
        self.active: list[str] = []
        self.known_when_active: list[bool] = []
        """Whether the load of the sampler was known when an exchange could start."""

        async def run() -> None:
            forwarder = Forwarder(access)
            forwarder._pool = FakePool(heads)  # type: ignore[assignment]

            def on_lookup_active(service: str) -> None:
                self.active.append(service)
                self.known_when_active.append(access.load.latest(ENTRY) is not None)

            forwarder.on_lookup_active = on_lookup_active
            now = steady_time()
            lookup = Lookup("r", "GET", "/", [], b"", now, now + 5.0)
            route = Route("r", "", "/", RouteKind.SAFE, [], 5.0, 2.0, 1)
            with contextlib.suppress(StileloomError):
                await forwarder.forward(lookup, route, "lookups")

        asyncio.run(run())
        return access.load

    def test_a_response(self) -> None:
        """Guards against loads that count for some statuses only, or as measured by others."""
        for status in (200, 404, 500):
            known = self.forward([head(status)]).latest(ENTRY)
            self.assertIsNotNone(known, status)
            self.assertEqual(LoadReading(5, 1, 6, 2.5), known.reading)
            self.assertFalse(known.shared)
            self.assertLess(steady_time() - known.measured_at, 1.5)
        self.assertIn("lookups", self.active)

    def test_the_last_response_can_be_shared_at_once(self) -> None:
        """Otherwise its load waits for the gateway's next lookup, which may come seconds later."""
        self.forward([head(200)])
        self.assertFalse(self.known_when_active[0])
        self.assertTrue(self.known_when_active[-1])

    def test_a_refusal_of_a_full_sampler(self) -> None:
        """In a surge most responses are refusals, and they show best that a sampler is full."""
        view = self.forward([head(503, not_run="1", load="6,0,6,100"), head(200, load="")])
        known = view.latest(ENTRY)
        self.assertIsNotNone(known)
        self.assertTrue(known.reading.is_full)

    def test_responses_without_a_valid_load_of_the_sampler(self) -> None:
        """Another process at the address must not count for the listed one."""
        for response in (head(421), None, head(200, request_id="other"), head(200, load="x")):
            view = self.forward([response])
            self.assertIsNone(view.latest(ENTRY), response)
            self.assertFalse(view.is_in_use("lookups", steady_time()))


class StallTest(testtools.TestCase):
    """Guards against loads that count as new because this process was frozen when they arrived."""

    def record(self, view: LoadView, received_at: float, now: float) -> bool:
        """Whether a response that was received at this time is recorded."""
        view.remove(ENTRY.sampler_id)
        record_response_load(view, ENTRY, head(200).headers, NAMES, received_at, now)
        return view.latest(ENTRY) is not None

    def test_responses_that_waited_during_a_stall(self) -> None:
        view = LoadView()
        for step in range(10):
            view.stalls.step(10.0 + step * 0.1)
        self.assertTrue(self.record(view, 10.95, 10.95))
        # The event loop reads sockets before it runs the timer that steps.
        self.assertFalse(self.record(view, 20.0, 20.0))
        view.stalls.step(20.0)
        self.assertFalse(self.record(view, 20.0, 20.0))
        self.assertFalse(self.record(view, 20.19, 20.19))
        for step in range(1, 10):
            view.stalls.step(20.0 + step * 0.1)
        # The body of a response may end long after its head was received.
        self.assertFalse(self.record(view, 20.0, 20.9))
        self.assertTrue(self.record(view, 20.21, 20.9))
        self.assertTrue(self.record(view, 10.5, 20.9))

    def test_a_second_stall_does_not_hide_the_first(self) -> None:
        view = LoadView()
        for at in (10.0, 20.0, 20.1, 20.2, 20.9, 21.0, 21.1):
            view.stalls.step(at)
        self.assertFalse(self.record(view, 20.0, 21.1))
        self.assertTrue(self.record(view, 21.11, 21.11))

    def test_responses_count_in_a_process_without_steps(self) -> None:
        """Tools that use the forwarder alone do not step."""
        self.assertTrue(self.record(LoadView(), 10.0, 10.0))


class InactiveTest(testtools.TestCase):
    """Requirement 9: samplers that report no fourth figure are served as before."""

    def sends(self, load: str | None) -> list[str]:
        """Samplers to which 200 lookups went, of which samplers refuse every third."""
        configure_logs("error")
        log = EventLog("node")
        samplers = SamplerTable()
        entries = [
            SamplerEntry(f"s-{number}", "lookups", ("127.0.0.1", 1), "ab"[number % 2], 6, False, {})
            for number in range(5)
        ]
        samplers.replace_all(entries)
        metrics = QuarantineMetrics(CollectorRegistry())
        guard = QuarantineGuard(FakeQuarantineLedger(), log, metrics)
        rng = random.Random(1)
        attempts = AttemptMetrics(CollectorRegistry())
        access = SamplerAccess("a", samplers, NAMES, log, attempts, rng, guard)
        sent: list[str] = []

        class Pool(FakePool):
            """Records to which sampler a request goes."""

            async def acquire(self, sampler_id: str, address: tuple[str, int]) -> FakePool:
                """Returns a connection."""
                sent.append(sampler_id)
                headers = {NAMES.request_id: "r", NAMES.signature: "signed"}
                headers |= {NAMES.load: load} if load is not None else {}
                refused = len(sent) % 3 == 0
                headers |= {NAMES.not_run: "1"} if refused else {}
                status = 503 if refused else 200
                self.heads = [ResponseHead(status, "", HTTPHeaders(headers))]
                return self

        async def run() -> None:
            forwarder = Forwarder(access)
            forwarder._pool = Pool([])  # type: ignore[assignment]
            route = Route("r", "", "/", RouteKind.SAFE, [], 5.0, 2.0, 3)
            for number in range(200):
                now = steady_time()
                lookup = Lookup("r", "GET", f"/{number}", [], b"", now, now + 5.0)
                await forwarder.forward(lookup, route, "lookups")

        asyncio.run(run())
        if load is not None:
            self.assertTrue(access.load.unexpired(steady_time()))
        return sent

    def test_same_sends_with_three_figures_as_without_a_header(self) -> None:
        without_header = self.sends(None)
        self.assertGreater(len(without_header), 250)
        self.assertEqual(without_header, self.sends("6,3,6"))


class ItemStreamTest(testtools.TestCase):
    """Readings from the heads of items' streams."""

    def received(self, response: ResponseHead) -> LoadView:
        """The view after the head of an item's response."""
        view = LoadView()
        stream = ItemStream(
            "i",
            PartialText(),
            0,
            NAMES,
            lambda event_id: None,
            lambda outcome, detail: None,
            lambda head: record_response_load(view, ENTRY, head.headers, NAMES, 1.0, 1.0),
        )
        stream.on_head(response)
        return view

    def test_a_head_counts_at_once(self) -> None:
        """A stream may last seconds, after which the load in its head is too old."""
        refusal = head(503, request_id="i", not_run="1")
        for response in (head(200, request_id="i", versions="1"), refusal):
            self.assertIsNotNone(self.received(response).latest(ENTRY))

    def test_responses_without_a_valid_load_of_the_sampler(self) -> None:
        misdirected = head(421, request_id="i")
        for response in (misdirected, head(200, request_id="other", versions="1")):
            self.assertIsNone(self.received(response).latest(ENTRY))
