"""Reward calls of many items at once: what a step looks at while hundreds wait."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

import testtools
from prometheus_client import CollectorRegistry

from stileloom.api.jobs import JobItem, RewardCall
from stileloom.api.routes import Backend, Route, RouteConfiguration, RouteKind, Service
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.http.native_dialect import NativeDialect
from stileloom.jobs.metrics import JobMetrics
from stileloom.jobs.open_items import OpenItem
from stileloom.jobs.reward_caller import RewardCaller
from stileloom.logging import EventLog
from stileloom.proxy.lookup import Lookup, LookupResponse
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_table import SamplerTable

HOST = "scores.example"
ITEMS = 500
SLOTS = 8


def open_item(number: int) -> OpenItem:
    """An item with a complete text."""
    item = JobItem(f"i{number}", "/p", {}, b"", "g")
    sizes = {"expected_tokens": 10.0, "prompt_tokens": 1.0, "tokens_per_event": 1.0}
    return OpenItem(
        ("j", item.item_id), item, "m", 1, 1, False, "s", 3, adopted_at=0.0, deadline=1e9, **sizes
    )


class HeldForwarder:
    """Answers no call until it is told to."""

    def __init__(self) -> None:
        self.calls: list[asyncio.Future[LookupResponse]] = []

    async def forward(self, lookup: Lookup, route: Route, service: str) -> LookupResponse:
        """Waits for the answer."""
        future: asyncio.Future[LookupResponse] = asyncio.get_running_loop().create_future()
        self.calls.append(future)
        return await future


class RewardLoadTest(testtools.TestCase):
    """A new leader finds the complete texts of a whole step."""

    def test_steps_do_not_look_at_every_waiting_call_for_each_item_and_each_answer(self) -> None:
        """Guards against a leader that loses its lease while it queues 500 calls."""
        asyncio.run(self.check_matches())

    async def check_matches(self) -> None:
        """Counts the calls that steps look at."""
        backend = [Backend("scores", 1.0)]
        route = Route("r", HOST, "/score/", RouteKind.SAFE, backend, 5.0, 0.2, 3)
        routes = RouteTable(random.Random(1))
        routes.adopt(RouteConfiguration(1, [route], [Service("scores", 50)]))
        samplers = SamplerTable()
        samplers.put(SamplerEntry("a", "scores", ("10.0.0.1", 1), "z", SLOTS, False, {}))
        forwarder = HeldForwarder()
        listener = mock.Mock()
        caller = RewardCaller(
            forwarder,  # type: ignore[arg-type]
            routes,
            samplers,
            NativeDialect().names,
            listener,
            EventLog("n"),
            JobMetrics(CollectorRegistry()),
            lambda: True,
        )
        with mock.patch.object(routes, "match", wraps=routes.match) as match:
            for number in range(ITEMS):
                call = RewardCall(f"c{number}", HOST, f"/score/{number}", b"")
                caller.request_score(open_item(number), call)
            await asyncio.sleep(0.01)
            self.assertLessEqual(match.call_count, 2 * ITEMS)
            started = len(forwarder.calls)
            self.assertGreater(started, 0)
            match.reset_mock()
            head = mock.Mock(status=200, headers={NativeDialect().names.signature: "score"})
            for future in forwarder.calls[:started]:
                future.set_result(LookupResponse(head, b""))
            await asyncio.sleep(0.01)
            self.assertEqual(started, listener.on_scored.call_count)
            self.assertGreaterEqual(len(forwarder.calls), 2 * started)
            self.assertLess(match.call_count, ITEMS)
        caller.stop()
        await asyncio.sleep(0)
