"""The platform adapter: translation of the platform's formats to and from `api` types."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import testtools
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from stileloom.api.dialect import EndJob, LoadOrder, LoadStrategy, ReadItem, ReadResults
from stileloom.api.jobs import ItemResult, ItemState, ResultPage, RewardCall
from stileloom.api.object_store import ObjectRecord
from stileloom.api.routes import RouteKind
from stileloom.errors import ErrorKind, StileloomError
from stileloom.jobs.submission_check import check_submission

ROOT = Path(__file__).resolve().parents[1]
sys.path.append(str(ROOT / "platform"))

from stileloom_platform.dialect import PlatformDialect  # noqa: E402
from stileloom_platform.object_store import PlatformObjectStore  # noqa: E402

NESTING_DEPTH = 100_000
DIALECT = PlatformDialect()


def route(**changes: Any) -> dict[str, Any]:
    """A route in the platform's format."""
    return {
        "name": "r",
        "host": "h.example",
        "pathPrefix": "/a/",
        "routeType": "safe",
        "timeoutMs": 1500,
        "targetLatencyMs": 191,
        "priority": 2,
        "backends": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
        "maxAttempts": 2,
        **changes,
    }


class ConfigurationTest(testtools.TestCase):
    """Decoding of configurations, samplers and versions."""

    def test_configuration_is_decoded(self) -> None:
        rollout = {"routeType": "rollout", "service": "z", "backends": [], "maxWaitS": 40.0}
        engine = {"slots": 16, "kvCapacityTokens": 500, "models": [{"name": "m"}], "new": 1}
        spec = {
            "version": 7,
            "routes": [route(), route(name="b", **rollout)],
            "services": [{"name": "z", "healthPath": "/h", "maxConnections": 9, "engine": engine}],
            "limits": {"idleTimeoutMs": 15000},
        }
        configuration = DIALECT.decode_configuration(spec)
        safe, batch = configuration.routes
        self.assertEqual(
            (7, RouteKind.SAFE, 1.5), (configuration.version, safe.kind, safe.timeout_s)
        )
        self.assertEqual(["x", "y"], [backend.service for backend in safe.backends])
        self.assertEqual((RouteKind.BATCH, 40.0), (batch.kind, batch.max_wait_s))
        self.assertEqual(["z"], [backend.service for backend in batch.backends])
        assert configuration.services[0].engine is not None
        self.assertEqual(["m"], configuration.services[0].engine.models)

    def test_invalid_objects_are_rejected(self) -> None:
        for spec in (None, [], {"version": "x"}, {"version": 1, "routes": [{}], "services": []}):
            error = self.assertRaises(StileloomError, DIALECT.decode_configuration, spec)
            self.assertEqual(ErrorKind.OBJECT_INVALID, error.kind)
        record = ObjectRecord("s", 1, {"service": 5})
        error = self.assertRaises(StileloomError, DIALECT.decode_sampler, record)
        self.assertEqual(ErrorKind.OBJECT_INVALID, error.kind)

    def test_sampler_and_version_are_decoded(self) -> None:
        spec = {
            "service": "x",
            "address": "10.0.0.9:8080",
            "zone": "z",
            "slots": 16,
            "state": "draining",
            "models": [{"name": "m", "version": 3, "adapters": []}],
            "seq": 4,
        }
        entry = DIALECT.decode_sampler(ObjectRecord("i-1", 1, spec))
        self.assertEqual(
            ("i-1", True, {"m": 3}), (entry.sampler_id, entry.draining, entry.model_versions)
        )
        self.assertEqual(("10.0.0.9", 8080), entry.address)
        published = DIALECT.decode_version({"model": "m", "version": 8})
        self.assertEqual(("m", 8), (published.model, published.version))


class ForeignEntryTest(testtools.TestCase):
    """Invalid directory entries are rejected and do not make the other entries unreadable."""

    def entry(self, **changes: Any) -> dict[str, Any]:
        """A valid entry in which `changes` replace or add fields."""
        spec = {"service": "x", "address": "10.0.0.9:8080", "zone": "z", "slots": 16}
        return {
            **spec,
            "state": "ready",
            "models": [],
            "seq": 4,
            "born": 1_760_000_000_000,
        } | changes

    def test_start_time_is_part_of_incarnation(self) -> None:
        entry = DIALECT.decode_sampler(ObjectRecord("i-1", 1, self.entry()))
        self.assertEqual("i-1/1760000000000", entry.incarnation)

    def test_invalid_entries_are_rejected(self) -> None:
        for changes in (
            {"address": "10.0.0.9"},
            {"address": "10.0.0.9:99999"},
            {"address": "10.0.0.9:0"},
            {"address": "10.0.0.9:x"},
            {"address": ":8080"},
            {"address": 5},
            {"slots": 0},
            {"slots": -3},
            {"slots": "16"},
            {"state": "paused"},
            {"state": None},
            {"service": ""},
            {"service": ["x"]},
            {"born": "x"},
            {"born": 1.5},
            {"born": -1},
            {"models": [{"name": 5}]},
            {"zone": None},
        ):
            record = ObjectRecord("i-1", 1, self.entry(**changes))
            error = self.assertRaises(StileloomError, DIALECT.decode_sampler, record)
            self.assertEqual(ErrorKind.OBJECT_INVALID, error.kind, changes)
        for spec in (None, [], "text", 7, {}):
            error = self.assertRaises(
                StileloomError, DIALECT.decode_sampler, ObjectRecord("i-1", 1, spec)
            )
            self.assertEqual(ErrorKind.OBJECT_INVALID, error.kind, spec)

    def test_unreadable_objects_do_not_hide_others(self) -> None:
        good = {"metadata": {"name": "i-1", "revision": 3}, "spec": self.entry()}
        objects = [
            {"metadata": {"name": 5, "revision": 1}, "spec": {}},
            {"metadata": {"name": "i-2", "revision": "x"}, "spec": self.entry()},
            "text",
            good,
        ]
        page = msgspec.json.encode({"requests": objects, "at": 9, "more": False})
        watch = msgspec.json.encode({"events": [{"object": item} for item in objects], "at": 9})

        async def scenario() -> None:
            responses = {"/objects/servers": page, "/objects/servers?watch=1&waitMs=0": watch}
            async with fixed_response_server(responses) as address:
                store = PlatformObjectStore(address)
                listed = await store.list_objects("servers")
                self.assertEqual(["i-2", "i-1"], [record.name for record in listed.records])
                self.assertEqual((2, 9), (listed.unreadable, listed.store_revision))
                self.assertIsNone(listed.records[0].spec)
                batch = await store.watch_objects("servers", 1, 0.0)
                self.assertEqual(["i-2", "i-1"], [event.record.name for event in batch.events])
                self.assertEqual(2, batch.unreadable)

        asyncio.run(scenario())


@contextlib.asynccontextmanager
async def fixed_response_server(responses: dict[str, bytes]) -> AsyncIterator[str]:
    """Runs a server with a fixed response body for each target; yields its address."""

    def respond(request: HTTPServerRequest) -> None:
        assert request.connection is not None
        body = responses[request.uri or ""]
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        request.connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), headers, body)
        request.connection.finish()

    server = HTTPServer(respond)
    sockets = bind_sockets(0, address="127.0.0.1")
    server.add_sockets(sockets)
    yield f"127.0.0.1:{sockets[0].getsockname()[1]}"
    server.stop()
    await server.close_all_connections()


class JobCallTest(testtools.TestCase):
    """Translation of batch job calls."""

    def test_job_requests_are_parsed(self) -> None:
        headers = {DIALECT.names.wait_ms: "1000"}
        call = DIALECT.job_call("GET", "/lots/7c41?afterRev=12", headers)
        self.assertEqual(ReadResults("7c41", 12, 1.0), call)
        self.assertEqual(ReadItem("7c41", "e5"), DIALECT.job_call("GET", "/items/7c41?id=e5", {}))
        self.assertEqual(EndJob("7c41"), DIALECT.job_call("DELETE", "/lots/7c41", {}))
        self.assertIsNone(DIALECT.job_call("POST", "/lots/7c41", {}))
        self.assertIsNone(DIALECT.job_call("GET", "/other", {}))

    def test_invalid_numbers_are_rejected(self) -> None:
        for text in ("x", "-1", "nan", "inf", "1e30"):
            target = f"/lots/7?afterRev={text}"
            error = self.assertRaises(StileloomError, DIALECT.job_call, "GET", target, {})
            self.assertEqual(ErrorKind.BAD_REQUEST, error.kind)

    def test_job_is_decoded(self) -> None:
        item = {
            "id": "e5",
            "path": "/p/1",
            "headers": {"Model": "m"},
            "body": base64.b64encode(b"\xab\xcd").decode(),
            "tokens": 940,
            "group": "g",
        }
        body = {"step": 7, "model": "m", "minVersion": 6, "desired": 12, "requests": [item]}
        job = DIALECT.decode_job("j", "h", "/p/j", msgspec.json.encode(body))
        self.assertEqual((7, 6, 12), (job.step, job.min_version, job.desired_groups))
        self.assertEqual((b"\xab\xcd", "g"), (job.items[0].body, job.items[0].group))

    def test_invalid_jobs_are_rejected(self) -> None:
        one = {"id": "a", "path": "/p"}
        deep = b"[" * NESTING_DEPTH
        for body in (
            b"",
            b"\xff\xfe",
            b"{}",
            deep,
            b'{"requests":' + deep,
            msgspec.json.encode({"requests": [one, one]}),
            msgspec.json.encode({"requests": [one | {"body": "***"}]}),
            msgspec.json.encode({"requests": [one | {"headers": {"a": 1}}]}),
        ):
            error = self.assertRaises(StileloomError, self.decode_and_check, body)
            self.assertEqual(ErrorKind.BAD_REQUEST, error.kind)

    def decode_and_check(self, body: bytes) -> None:
        """Decodes and checks a job, as a gateway does."""
        check_submission(DIALECT.decode_job("j", "h", "/p", body))

    def test_reward_calls_are_decoded_and_checked(self) -> None:
        reward = {"id": "s5", "host": "h.example", "path": "/q/1", "body": "q80="}
        body = {"requests": [{"id": "e5", "path": "/p/1", "scorerUrl": reward}]}
        job = DIALECT.decode_job("j", "h", "/p/j", msgspec.json.encode(body))
        self.assertEqual(RewardCall("s5", "h.example", "/q/1", b"\xab\xcd"), job.items[0].reward)
        for change in ({"body": "***"}, {"id": ""}, {"id": "e5"}, {"path": "q"}, {"host": ""}):
            invalid_item = {"id": "e5", "path": "/p/1", "scorerUrl": reward | change}
            encoded = msgspec.json.encode({"requests": [invalid_item]})
            error = self.assertRaises(StileloomError, self.decode_and_check, encoded)
            self.assertEqual(ErrorKind.BAD_REQUEST, error.kind)

    def test_score_is_encoded(self) -> None:
        result = ItemResult("a", ItemState.SUCCEEDED, "x", [6], "stamp")
        page = msgspec.json.decode(DIALECT.encode_page(ResultPage(1, 1, [result])))
        self.assertEqual("stamp", page["results"][0]["score"])

    def test_result_page_is_encoded(self) -> None:
        results = [
            ItemResult("a", ItemState.SUCCEEDED, "x\ny", [6, 7]),
            ItemResult("b", ItemState.GIVEN_UP, "", []),
        ]
        page = msgspec.json.decode(DIALECT.encode_page(ResultPage(40, 2, results)))
        expected = [
            {"id": "a", "state": "succeeded", "text": "x\ny", "versions": [6, 7]},
            {"id": "b", "state": "unreachable", "text": "", "versions": []},
        ]
        self.assertEqual({"total": 40, "nextToken": 2, "results": expected}, page)


class OrderTest(testtools.TestCase):
    """Translation of load orders and sampler reports."""

    def test_load_order_is_encoded_and_report_decoded(self) -> None:
        order = LoadOrder("m", 2, LoadStrategy.RETAIN, "node-7", 41, 5)
        call = DIALECT.order_call(order)
        self.assertEqual(("POST", "/order"), (call.method, call.target))
        expected = {
            "operation": "version",
            "model": "m",
            "version": 2,
            "strategy": "retain",
            "holder": "node-7",
            "fence": 41,
            "expected": 5,
        }
        self.assertEqual(expected, msgspec.json.decode(call.body))
        body = b'{"stage":"both","models":[{"name":"m","version":2}],"busy":true,"seq":3,"x":1}'
        report = DIALECT.decode_report(body)
        self.assertEqual(
            ({"m": 2}, True, 3), (report.model_versions, report.busy, report.orders_taken)
        )


class AdapterBoundaryTest(testtools.TestCase):
    """The adapter stays small, and stileloom does not depend on it."""

    def test_size_and_dependencies(self) -> None:
        adapter = list((ROOT / "platform").rglob("*.py"))
        lines = sum(len(path.read_text().splitlines()) for path in adapter)
        self.assertLess(lines, 1500)
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())
        names = (
            "stileloom_platform",
            "Expect-Instance",
            "Not-Executed",
            "retirements",
            "minVersion",
        )
        for path in (ROOT / "stileloom").rglob("*.py"):
            text = path.read_text()
            self.assertEqual([], [name for name in names if name in text], path.name)
