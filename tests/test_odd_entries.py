"""Entries of other writers in the object store that no sampler would write."""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import testtools
from prometheus_client import CollectorRegistry

from stileloom.api.object_store import ObjectRecord
from stileloom.daemon.directory import Directory
from stileloom.daemon.process_metrics import ProcessMetrics
from stileloom.errors import StileloomError
from stileloom.events import LogEvent
from stileloom.http.json_slices import elements, is_deeper_than, members
from stileloom.logging import EventLog, configure_logs
from stileloom.service_settings import TimeBounds
from tests.service_cluster import ServiceCluster, with_cluster

sys.path.append(str(Path(__file__).resolve().parents[1] / "platform"))

from stileloom_platform.dialect import PlatformDialect
from stileloom_platform.object_store import PlatformObjectStore

HOST = "127.0.0.1"
ODD = "odd"


def entry(name: str, **fields: Any) -> bytes:
    """A sampler's object with changed fields of its spec; a value of `Raw` is put in as it is."""
    spec = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "slots": 4, **fields}
    return msgspec.json.encode({"metadata": {"name": name, "revision": 3}, "spec": spec})


def nested(depth: int) -> msgspec.Raw:
    """A list that is nested so deeply."""
    return msgspec.Raw(b"[" * depth + b"]" * depth)


def figure(text: str) -> msgspec.Raw:
    """A number as it is written."""
    return msgspec.Raw(text.encode())


ODD_ENTRIES = {
    "deep list in an unknown field": entry(ODD, x=nested(3000)),
    "very deep list in an unknown field": entry(ODD, x=nested(200_000)),
    "deep object in an unknown field": entry(
        ODD, x=msgspec.Raw(b'{"a":' * 3000 + b"1" + b"}" * 3000)
    ),
    "deep list as slots": entry(ODD, slots=nested(3000)),
    "moderately deep": entry(ODD, x=nested(900)),
    "slots beyond 64 bits": entry(ODD, slots=figure("9223372036854775808")),
    "slots of 400 digits": entry(ODD, slots=figure("1" + "0" * 400)),
    "slots of 5,000 digits": entry(ODD, slots=figure("9" * 5000)),
    "many slots": entry(ODD, slots=10**9),
    "no slots": entry(ODD, slots=0),
    "negative slots": entry(ODD, slots=-1),
    "a number out of range": entry(ODD, x=figure("1e999")),
    "not a number": entry(ODD, x=figure("NaN")),
    "large integer in an unknown field": entry(ODD, x=figure("1" + "0" * 400)),
    "large time of birth": entry(ODD, born=figure("1" + "0" * 400)),
    "large version": entry(ODD, models=[{"name": "m", "version": figure("1" + "0" * 400)}]),
    "port out of range": entry(ODD, address="10.0.0.1:99999"),
    "port 0": entry(ODD, address="10.0.0.1:0"),
    "port of 5,000 digits": entry(ODD, address="10.0.0.1:" + "9" * 5000),
    "a port of other digits": entry(ODD, address="10.0.0.1:٨٠"),
    "no address": entry(ODD, address="nowhere"),
    "larger than any entry": entry(ODD, x="x" * (5 << 20)),
    "not UTF-8": entry(ODD, x="?").replace(b'"?"', b'"\xff\xfe"'),
    "spec of another type": b'{"metadata":{"name":"odd","revision":3},"spec":7}',
    "spec is missing": b'{"metadata":{"name":"odd","revision":3}}',
    "revision of another type": entry(ODD).replace(b'"revision":3', b'"revision":"3"'),
    "large revision": entry(ODD).replace(b'"revision":3', b'"revision":' + b"9" * 400),
}
UNNAMED = {
    "no metadata": b'{"spec":{}}',
    "not an object": b"7",
    "deep list": b"[" * 3000 + b"]" * 3000,
    "name of another type": entry(ODD).replace(b'"odd"', b"7"),
}
SOUND = entry("sound")


class StoreStandIn:
    """Answers each call to the store with the next of its bodies; the last one again and again."""

    def __init__(self, *bodies: bytes) -> None:
        self.calls = 0
        self._bodies = list(bodies)
        self._server: asyncio.Server

    async def __aenter__(self) -> str:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if self.calls >= len(self._bodies):
                    await asyncio.sleep(0.05)
                body = self._bodies[min(self.calls, len(self._bodies) - 1)]
                self.calls += 1
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()


def listed(*objects: bytes, at: int = 5) -> bytes:
    """A page of objects."""
    return b'{"requests":[%s],"at":%d}' % (b",".join(objects), at)


def changed(*objects: bytes, at: int = 6) -> bytes:
    """A watch response."""
    events = b",".join(b'{"object":%s,"gone":false}' % item for item in objects)
    return b'{"events":[%s],"at":%d}' % (events, at)


class PlatformStoreTest(testtools.TestCase):
    """The adapter to the platform's store, with one odd object beside a sound one."""

    def on_store(self, body: bytes, call: Callable[[PlatformObjectStore], Awaitable[Any]]) -> Any:
        """The result of a call that is answered with `body`."""

        async def scenario() -> Any:
            async with StoreStandIn(body) as address:
                return await call(PlatformObjectStore(address))

        return asyncio.run(scenario())

    def test_an_odd_object_of_a_list_hides_no_other(self) -> None:
        for name, odd in (ODD_ENTRIES | UNNAMED).items():
            with self.subTest(name):
                body = listed(odd, SOUND)
                page = self.on_store(body, lambda store: store.list_objects("servers"))
                self.assertEqual(5, page.store_revision)
                self.assertIn("sound", [record.name for record in page.records])

    def test_an_odd_change_hides_no_other_and_replaces_what_its_name_stood_for(self) -> None:
        for name, odd in ODD_ENTRIES.items():
            with self.subTest(name):
                body = changed(odd, SOUND)
                batch = self.on_store(body, lambda store: store.watch_objects("servers", 5, 0.0))
                self.assertEqual(6, batch.store_revision)
                self.assertEqual([ODD, "sound"], [event.record.name for event in batch.events])

    def test_records_can_be_passed_on_to_other_nodes(self) -> None:
        for name, odd in (ODD_ENTRIES | UNNAMED).items():
            with self.subTest(name):
                body = listed(odd, SOUND)
                page = self.on_store(body, lambda store: store.list_objects("servers"))
                encoded = msgspec.msgpack.encode(page)
                self.assertEqual(page, msgspec.msgpack.decode(encoded, type=type(page)))

    def test_the_largest_object_that_a_store_keeps_is_read_whole(self) -> None:
        text = "x" * (1 << 20)
        body = listed(entry("large", x=text))
        page = self.on_store(body, lambda store: store.list_objects("servers"))
        self.assertEqual([text], [record.spec["x"] for record in page.records])

    def test_a_truncated_response_is_an_unavailable_store(self) -> None:
        for body in (listed(SOUND)[:-9], b"[" * 3000, b"", b"{}", b'{"requests":7,"at":5}'):
            with self.subTest(body[:20]), self.assertRaises(StileloomError):
                self.on_store(body, lambda store: store.list_objects("servers"))

    def test_pages_that_do_not_progress_end_the_list(self) -> None:
        body = listed(SOUND).replace(b'"at"', b'"more":true,"at"')
        with self.assertRaises(StileloomError):
            self.on_store(body, lambda store: store.list_objects("servers"))


class FollowingTest(testtools.TestCase):
    """A node that follows the samplers while odd entries come."""

    def test_odd_entries_cost_only_themselves_and_the_node_follows_on(self) -> None:
        for name, odd in ODD_ENTRIES.items():
            with self.subTest(name):
                asyncio.run(self.follow(odd))

    async def follow(self, odd: bytes) -> None:
        """A sound list, an odd change of one of its samplers, and a sound change after it."""
        configure_logs("error")
        log = EventLog("node")
        lines: list[LogEvent] = []
        bodies = (
            listed(entry(ODD), SOUND),
            changed(odd),
            changed(entry("later"), at=7),
            changed(at=7),
        )
        async with StoreStandIn(*bodies) as address:
            store = PlatformObjectStore(address)
            metrics = ProcessMetrics(CollectorRegistry(), log)
            directory = Directory(
                store, PlatformDialect(), TimeBounds(), log, random.Random(1), metrics
            )
            with mock.patch(
                "stileloom.logging.EventLog.emit", lambda log, event, fields: lines.append(event)
            ):
                directory._tasks.spawn(directory._watchers[1].run())
                async with asyncio.timeout(5.0):
                    while directory.samplers.get("later") is None:
                        await asyncio.sleep(0.01)
                usable = {tracked.entry.sampler_id for tracked in directory.samplers.all()}
                self.assertEqual({"sound", "later"}, usable)
            directory.stop()
        self.assertNotIn(LogEvent.INTERNAL_FAULT, lines)
        self.assertEqual(1, lines.count(LogEvent.OBJECT_NOT_UNDERSTOOD))


class OddNativeEntryTest(testtools.TestCase):
    """Odd entries in stileloom's own object API, on running nodes."""

    def test_running_nodes_follow_on_and_serve_while_odd_entries_come(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            sound = {"service": "drafts", "address": "127.0.0.1:9", "zone": "a", "slots": 4}
            deep: list[Any] = []
            for _ in range(200):
                deep = [deep]
            odd: dict[str, dict[str, Any]] = {
                "slots": {**sound, "slots": 2**63},
                "digits": {**sound, "slots": 10**400},
                "port": {**sound, "address": "127.0.0.1:99999"},
                "address": {**sound, "address": "nowhere"},
                "unknown": {**sound, "x": 10**400},
                "deep": {**sound, "x": deep},
                "version": {**sound, "model_versions": {"drafts": 10**30}},
                "born": {**sound, "born_ms": 10**30},
                "n%C3%A4me": sound,
            }
            for name, spec in odd.items():
                await cluster.write("samplers", name, spec)
            await cluster.add_sampler("draft-9", "drafts")
            await cluster.wait_until_listed("draft-9")
            directories = [gateway.directory for gateway in cluster.gateways]
            directories += [node._directory for node in cluster.ledger_nodes.values()]
            for directory in directories:
                await cluster.wait_until(lambda: directory.samplers.get("draft-9") is not None)  # noqa: B023
                drafts = directory.samplers.of_service("drafts")
                usable = {tracked.entry.sampler_id for tracked in drafts}
                self.assertEqual({"draft-1", "draft-2", "draft-9"}, usable)
            await cluster.submit("job", ["i1", "i2"])
            self.assertEqual(2, len(await cluster.results("job", 2)))
            answer = await cluster.call("POST", "/charts/x", b"x", request_id="r")
            self.assertEqual(200, answer.code)

        with_cluster(scenario)


class UndecodableEntryLogTest(testtools.TestCase):
    """Lines about entries that cannot be decoded."""

    def test_an_entry_is_reported_once_for_each_change(self) -> None:
        configure_logs("error")
        log = EventLog("node")
        metrics = ProcessMetrics(CollectorRegistry(), log)
        store = PlatformObjectStore(f"{HOST}:1")
        directory = Directory(
            store, PlatformDialect(), TimeBounds(), log, random.Random(1), metrics
        )
        lines: list[LogEvent] = []
        with mock.patch(
            "stileloom.logging.EventLog.emit", lambda log, event, fields: lines.append(event)
        ):
            for revision in (3, 3, 4, 4):
                directory._samplers_listed([ObjectRecord(ODD, revision, {"slots": 0})])
        self.assertEqual([LogEvent.OBJECT_NOT_UNDERSTOOD] * 2, lines)


class JsonSlicesTest(testtools.TestCase):
    """Slices of documents."""

    def test_slices_decode_to_what_the_document_decodes_to(self) -> None:
        document = b' {"a":[1,{"b":"x,]}\\" :"}],"c\\u0041":{},"d":[], "e" : -1.5e3 } '
        slices = {name: msgspec.json.decode(value) for name, value in members(document).items()}
        self.assertEqual(msgspec.json.decode(document), slices)
        self.assertEqual([b"1", b'{"b":[]}', b'"],"'], elements(b'[1, {"b":[]} ,"],"]'))
        self.assertEqual(([], {}), (elements(b"[ ]"), members(b"{}")))

    def test_other_documents_are_refused(self) -> None:
        for document in (b"", b"7", b"[1", b"[1]]", b"{", b'{"a":1'):
            with self.subTest(document):
                self.assertRaises(StileloomError, elements, document)
                self.assertRaises(StileloomError, members, document)

    def test_depth(self) -> None:
        self.assertFalse(is_deeper_than(b"[[1],[2],[3]]", 2))
        self.assertTrue(is_deeper_than(b"[[1],[[2]]]", 2))
        self.assertFalse(is_deeper_than(b'["[[[[["]', 2))
