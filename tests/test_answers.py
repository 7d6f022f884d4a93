"""Responses of samplers that are no answers, on every path on which callers depend on them."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
from tornado.simple_httpclient import HTTPStreamClosedError

from tests.raw_sampler import (
    NAMES,
    SCRIPTED,
    RawSampler,
    ReceivedRequest,
    Responder,
    answer,
    events,
)
from tests.service_cluster import ServiceCluster, configuration, with_cluster

DATA = ["first", "second", "third"]
SPOILED = b"these bytes belong to no request"
NO_STATUSES = ("000", "099", "101", "600", "700", "999")
"""101 answers a request for another protocol, which is never made."""
BODY = b"looked up"


def lookup_answer(request: ReceivedRequest) -> bytes:
    """The answer to a lookup."""
    return answer(request, body=BODY)


def stream_answer(request: ReceivedRequest) -> bytes:
    """The whole stream, or what is left of it."""
    return answer(request, body=events(request, DATA), versions="1")


def stream_start(request: ReceivedRequest) -> bytes:
    """A stream that breaks off after its first event."""
    whole = answer(request, body=events(request, DATA), versions="1")
    return whole[: whole.index(b"id: 2")]


def spoiled(status: str = "200", **headers: str | None) -> Responder:
    """A complete response with other bytes than the answer, for streams an event of its own."""

    def respond(request: ReceivedRequest) -> bytes:
        after = int(request.header(NAMES.last_event_id) or 0)
        body = f"id: {after + 1}\ndata: {SPOILED.decode()}\n\n".encode()
        return answer(request, status, body, **{"versions": "1", **headers})

    return respond


def cut_head(end: bytes) -> Responder:
    """A correct response that ends within its head, with a part of `end` or right before it."""

    def respond(request: ReceivedRequest) -> bytes:
        whole = answer(request, body=BODY, versions="1")
        return whole[: whole.index(end) + len(end) // 2]

    return respond


NO_ANSWERS: dict[str, Responder] = {
    "success without an id and a signature": spoiled(request_id=None, signature=None),
    "success without a signature": spoiled(signature=None),
    "success with an empty signature": spoiled(signature=""),
    "success without an id": spoiled(request_id=None),
    "success of another request": spoiled(request_id="another"),
    "success of a request that did not run": spoiled(not_run="1"),
    "success that is not 200, without a signature": spoiled("206", signature=None),
    "failure without an id": spoiled("404", request_id=None),
    "refusal without an id": spoiled("503", request_id=None, signature=None, not_run="1"),
    "misdirected without an id": spoiled("421", request_id=None, signature=None),
    **{f"status {status}": spoiled(status) for status in NO_STATUSES},
    "bytes that are no response": lambda request: SPOILED,
    "head cut within a line": cut_head(b"Content-Le"),
    "head cut after a line": cut_head(b"\r\nContent-Le"),
    "head cut before its last line end": cut_head(b"\r\n\r\n"),
    "interim response alone": lambda request: b"HTTP/1.1 100 Continue\r\n\r\n",
    "interim response and a cut head": lambda request: (
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + cut_head(b"\r\n\r\n")(request)
    ),
}

Scenario = Callable[[ServiceCluster, RawSampler, str], Awaitable[None]]


class NoAnswerTest(testtools.TestCase):
    """No caller gets such bytes, and no request that may have run is sent again unless it may."""

    def for_each_response(
        self, scenario: Scenario, default: Responder, *before: Responder, **route: Any
    ) -> None:
        """Plays a scenario with a sampler that sends `before`, a spoiled response, `default`."""

        async def play(cluster: ServiceCluster) -> None:
            routes = configuration(2, backends=[{"service": SCRIPTED, "weight": 1}], **route)
            routes["routes"][1]["backends"] = [{"service": SCRIPTED, "weight": 1}]
            engine = routes["services"][1]["engine"]
            routes["services"].append({"name": SCRIPTED, "max_connections": 50, "engine": engine})
            await cluster.write("configuration", "main", routes)
            for gateway in cluster.gateways:
                await cluster.wait_until(lambda: gateway.directory.routes.version == 2)  # noqa: B023
            for number, (name, response) in enumerate(NO_ANSWERS.items()):
                with self.subTest(name):
                    async with RawSampler([*before, response], default) as sampler:
                        sampler_id = f"{SCRIPTED}-{number}"
                        await sampler.register(cluster, sampler_id)
                        await scenario(cluster, sampler, f"r{number}")
                        await cluster.remove_sampler_entry(sampler_id)

        with_cluster(play)

    def test_a_safe_lookup_is_sent_again(self) -> None:
        async def scenario(cluster: ServiceCluster, sampler: RawSampler, name: str) -> None:
            response = await cluster.call("POST", "/charts/7", b"x", request_id=name)
            self.assertEqual((200, BODY), (response.code, response.body))
            self.assertEqual(f"{SCRIPTED}/{name}", response.headers[NAMES.signature])
            self.assertEqual(2, len(sampler.requests))

        self.for_each_response(scenario, lookup_answer)

    def test_an_unsafe_lookup_ends_as_unknown(self) -> None:
        async def scenario(cluster: ServiceCluster, sampler: RawSampler, name: str) -> None:
            response = await cluster.call("POST", "/charts/7", b"x", request_id=name)
            self.assertIn(response.code, (502, 504))
            self.assertIn(b'"outcome":"unknown"', response.body)
            self.assertEqual(1, len(sampler.requests))
            # The sampler is avoided as after any other fault.
            (tracked,) = cluster.gateways[0].directory.samplers.of_service(SCRIPTED)
            self.assertEqual(1, tracked.failures)

        self.for_each_response(scenario, lookup_answer, kind="unsafe")

    def test_a_resumable_stream_is_sent_again(self) -> None:
        self.for_each_response(self.check_stream, stream_answer, kind="streaming", resumable=True)

    def test_a_stream_that_is_resumed_goes_on_elsewhere(self) -> None:
        self.for_each_response(
            self.check_stream, stream_answer, stream_start, kind="streaming", resumable=True
        )

    async def check_stream(self, cluster: ServiceCluster, sampler: RawSampler, name: str) -> None:
        """The caller gets all events, each once."""
        response = await cluster.call("POST", "/charts/7", b"x", request_id=name)
        whole = "".join(f"id: {n}\ndata: {text}\n\n" for n, text in enumerate(DATA, start=1))
        self.assertEqual((200, whole.encode()), (response.code, response.body))
        self.assertEqual(f"{SCRIPTED}/{name}", response.headers[NAMES.signature])

    def test_a_stream_that_may_not_be_resumed_ends_as_unknown(self) -> None:
        async def scenario(cluster: ServiceCluster, sampler: RawSampler, name: str) -> None:
            response = await cluster.call("POST", "/charts/7", b"x", request_id=name)
            self.assertIn(response.code, (502, 504))
            self.assertIn(b'"outcome":"unknown"', response.body)
            self.assertEqual(1, len(sampler.requests))

        self.for_each_response(scenario, stream_answer, kind="streaming")

    def test_an_item_runs_again(self) -> None:
        self.for_each_response(self.check_item, stream_answer)

    def test_an_item_that_is_resumed_goes_on_elsewhere(self) -> None:
        self.for_each_response(self.check_item, stream_answer, stream_start)

    async def check_item(self, cluster: ServiceCluster, sampler: RawSampler, name: str) -> None:
        """The item succeeds with the whole text."""
        await cluster.submit(f"job-{name}", [name])
        ((item, state, text, *_),) = await cluster.results(f"job-{name}", 1)
        self.assertEqual((name, "succeeded", "\n".join(DATA)), (item, state, text))

    def test_a_reward_call_is_sent_again(self) -> None:
        """The score of an item is the signature of a success, never of other bytes."""
        scores = itertools.count()

        def respond(request: ReceivedRequest) -> bytes:
            if "/score/" in request.target:
                return answer(request, signature=f"score-{next(scores)}")
            return stream_answer(request)

        async def scenario(cluster: ServiceCluster, sampler: RawSampler, name: str) -> None:
            expected = next(scores) + 1
            await cluster.submit(f"job-{name}", [name], rewards=True)
            (result,) = await cluster.results(f"job-{name}", 1)
            self.assertIn(f"score-{expected}", result)

        self.for_each_response(scenario, respond, stream_answer)


class CutStreamTest(testtools.TestCase):
    """A stream that cannot be completed."""

    def test_a_spoiled_response_after_the_start_breaks_the_stream_off(self) -> None:
        async def play(cluster: ServiceCluster) -> None:
            routes = configuration(
                2,
                kind="streaming",
                resumable=True,
                max_attempts=2,
                backends=[{"service": SCRIPTED, "weight": 1}],
            )
            routes["services"].append({"name": SCRIPTED, "max_connections": 50})
            await cluster.write("configuration", "main", routes)
            for gateway in cluster.gateways:
                await cluster.wait_until(lambda: gateway.directory.routes.version == 2)  # noqa: B023
            async with RawSampler([stream_start], spoiled(signature=None)) as sampler:
                await sampler.register(cluster, SCRIPTED)
                with self.assertRaises(HTTPStreamClosedError):
                    await cluster.call("POST", "/charts/7", b"x", request_id="r")

        with_cluster(play)
