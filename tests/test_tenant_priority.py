"""Priorities of tenants and routes: at the leader, in requests to samplers, in metrics and logs."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

import msgspec
import testtools
from prometheus_client import CollectorRegistry
from tornado.httputil import HTTPHeaders

from stileloom.api.headers import HeaderNames
from stileloom.api.routes import RouteConfiguration
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.api.tenants import Tenant
from stileloom.events import LogEvent
from stileloom.fairness.order import MAX_AGING_S
from stileloom.fairness.priority import effective_priority, priority_of
from stileloom.fairness.tenant_load import MAX_REPORTED_TENANTS, TenantLoad
from stileloom.http.native_dialect import NativeDialect
from stileloom.jobs.item_request import encode_item_request
from stileloom.jobs.metrics import JobMetrics
from stileloom.proxy.access_control import AccessControl, Caller
from stileloom.proxy.route_table import RouteTable
from stileloom.tenants.credentials import digest_of_key
from tests.runner_fixture import SERVICE, RunnerFixture, routes, submission
from tests.service_cluster import ServiceCluster, configuration, with_cluster
from tests.test_fairness import open_item
from tests.test_tenants import KEYS, bearer, runs_of, tenants

NAMES = NativeDialect.names


def with_tenants(table: RouteTable, version: int, **priorities: int | None) -> RouteConfiguration:
    """The configuration of a table with these tenants; their keys are their names."""
    assert table.configuration is not None
    found = [Tenant(name, [digest_of_key(name)], held) for name, held in priorities.items()]
    return msgspec.structs.replace(table.configuration, version=version, tenants=found)


def with_route_priority(found: RouteConfiguration, priority: int) -> RouteConfiguration:
    """The configuration with this priority of all routes."""
    changed = [msgspec.structs.replace(route, priority=priority) for route in found.routes]
    return msgspec.structs.replace(found, routes=changed)


class PriorityTest(testtools.TestCase):
    """The priority of a request."""

    def test_the_priority_of_the_tenant_precedes_that_of_the_route(self) -> None:
        table = routes()
        found = with_route_priority(with_tenants(table, 2, a=0, b=None), 7)
        route = found.routes[0]
        priorities = [priority_of(found, name, route) for name in ("a", "b", "", "unknown")]
        self.assertEqual([0, 7, 7, 7], priorities)
        self.assertEqual(7, priority_of(None, "a", route))

    def test_a_priority_out_of_range_is_sent_as_the_nearest_one(self) -> None:
        route = routes().services and routes().configuration.routes[0]  # type: ignore[union-attr]
        self.assertEqual([0, 9], [effective_priority(value, route) for value in (-3, 40)])


class HeadersTest(testtools.TestCase):
    """`HeaderNames.priority` in requests to samplers."""

    def test_an_item_carries_its_priority_only_where_there_are_tenants(self) -> None:
        for names in (NAMES, HeaderNames(priority="Request-Priority")):
            item = open_item("i", "a", 3)
            item.item.headers[names.priority.lower()] = "0"
            sent = encode_item_request(item, "h", "s", 1.0, names, True).decode().lower()
            self.assertEqual(1, sent.count(names.priority.lower()))
            self.assertIn(f"{names.priority.lower()}: 3\r\n", sent)
            without = encode_item_request(item, "h", "s", 1.0, names).decode().lower()
            self.assertIn(f"{names.priority.lower()}: 0\r\n", without)
            self.assertEqual(1, without.count(names.priority.lower()))

    def test_a_lookup_carries_the_priority_that_the_gateway_sets(self) -> None:
        """Guards against a caller that raises its own priority."""
        table = routes()
        table.adopt(with_route_priority(with_tenants(table, 2, a=1, b=None), 6))
        access = AccessControl(table, NAMES)
        route = table.configuration.routes[0]  # type: ignore[union-attr]
        sent = [("x", "1"), (NAMES.priority.upper(), "0"), (NAMES.priority, "2")]
        for tenant, expected in (("a", "1"), ("b", "6")):
            headers = HTTPHeaders({"Authorization": f"Bearer {tenant}"})
            caller = access.authenticate(headers, route)
            passed = access.headers_for_sampler(sent, caller, route)
            found = [value for name, value in passed if name.lower() == NAMES.priority.lower()]
            self.assertEqual([expected], found)

    def test_without_tenants_headers_stay_as_they_are(self) -> None:
        table = routes()
        sent = [("x", "1"), (NAMES.priority, "0"), (NAMES.priority.lower(), "2")]
        route = table.configuration.routes[0]  # type: ignore[union-attr]
        passed = AccessControl(table, NAMES).headers_for_sampler(sent, Caller(), route)
        self.assertEqual(sent, passed)

    def test_samplers_get_the_priority_over_the_network(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for version, prioritized in ((2, False), (3, True)):
                spec = configuration(version, priority=4, public=not prioritized)
                if prioritized:
                    spec["tenants"] = tenants(KEYS)
                    spec["tenants"][1]["priority"] = 1
                await cluster.write("configuration", "main", spec)
                await cluster.wait_until(
                    lambda: cluster.gateways[0].directory.routes.version == version  # noqa: B023
                )
                for number, key in enumerate(("key-of-harbour-1", "key-of-survey")):
                    answer = await cluster.call(
                        "POST",
                        "/charts/7",
                        b"x",
                        request_id=f"r{version}-{number}",
                        priority="0",
                        authorization=bearer(key),
                    )
                    self.assertEqual(200, answer.code)
            found = {request: headers.get(NAMES.priority) for request, headers in runs_of(cluster)}
            expected = {"r2-0": "0", "r2-1": "0", "r3-0": "4", "r3-1": "1"}
            self.assertEqual(expected, found)

        with_cluster(scenario)


class RunnerTest(testtools.TestCase):
    """Priorities and reports of the leader."""

    def _fixture(self) -> RunnerFixture:
        sampler = SamplerEntry("s", SERVICE, ("127.0.0.1", 9), "a", 4, False, {"m": 1})
        return RunnerFixture(sampler)

    def _submit(self, fixture: RunnerFixture, tenant: str, items: int = 2) -> None:
        names = [f"{tenant}-{number}" for number in range(items)]
        job = submission(f"{tenant}:j", names)
        fixture.submit(msgspec.structs.replace(job, tenant=tenant))

    def test_priorities_are_read_at_adoption_and_again_with_a_new_configuration(self) -> None:
        async def scenario() -> None:
            fixture = self._fixture()
            with fixture.clock():
                for name in ("a", "b"):
                    self._submit(fixture, name)
                scheduler = fixture.runner.scheduler
                seen = []
                for version, priorities in ((1, None), (2, {"a": 1, "b": None}), (3, {"b": 9})):
                    if priorities is not None:
                        found = with_tenants(fixture.routes, version, **priorities)
                        fixture.routes.adopt(with_route_priority(found, 4))
                    fixture.step()
                    held = {item.tenant: item.priority for item in scheduler.items.values()}
                    seen.append((scheduler.has_tenants, held["a"], held["b"]))
                self.assertEqual([(False, 5, 5), (True, 1, 4), (True, 4, 9)], seen)
                fixture.change_leader()
                fixture.step()
                later = fixture.runner.scheduler.items.values()
                self.assertEqual({("a", 4), ("b", 9)}, {(i.tenant, i.priority) for i in later})
                fixture.runner.stop()

        asyncio.run(scenario())

    def test_a_leader_and_its_successor_divide_the_slots_between_tenants(self) -> None:
        """Guards against a leader that does not pass its configuration on to the order of starts.

        Without tenants the items of the first job start first, as all have the same length.
        """

        async def scenario(has_tenants: bool) -> list[dict[str, int]]:
            fixture = self._fixture()
            found = []
            with fixture.clock():
                if has_tenants:
                    fixture.routes.adopt(with_tenants(fixture.routes, 2, a=None, b=None))
                self._submit(fixture, "a", 6)
                fixture.step(0.1)
                self._submit(fixture, "b", 6)
                for _ in range(2):
                    fixture.runner.on_versions_listed()
                    fixture.step(1.0)
                    items = fixture.runner.scheduler.items.values()
                    running = [item.tenant for item in items if item.run is not None]
                    found.append({name: running.count(name) for name in ("a", "b")})
                    fixture.change_leader()
                fixture.runner.stop()
            return found

        self.assertEqual([{"a": 2, "b": 2}] * 2, asyncio.run(scenario(True)))
        self.assertEqual([{"a": 4, "b": 0}] * 2, asyncio.run(scenario(False)))

    def test_a_new_leader_continues_the_wait_of_an_item(self) -> None:
        """Guards against changes of leader that restart the aging of items."""

        async def scenario() -> None:
            fixture = self._fixture()
            with fixture.clock():
                self._submit(fixture, "a", 1)
                fixture.step()
                fixture.state.job_book.record_ages({"a:j": 8})
                fixture.change_leader()
                fixture.step(1.0)
                (item,) = fixture.runner.scheduler.items.values()
                self.assertEqual(8.0, fixture.now - item.waiting_since)
                fixture.runner.stop()

        asyncio.run(scenario())

    def test_a_tenant_that_waits_is_logged_once_in_ten_seconds(self) -> None:
        async def scenario() -> None:
            fixture = self._fixture()
            with fixture.clock(), mock.patch.object(fixture._log, "emit") as emit:
                fixture.routes.adopt(with_tenants(fixture.routes, 2, a=None, b=None))
                fixture.samplers.replace_all([])
                for name in ("a", "b"):
                    self._submit(fixture, name, 3)
                lines = []
                for elapsed_s in (0.0, MAX_AGING_S - 0.1, 1.1, 1.1, 9.0):
                    emit.reset_mock()
                    fixture.step(elapsed_s)
                    calls = [call.args for call in emit.call_args_list]
                    lines.append([f for event, f in calls if event is LogEvent.TENANT_WAITING])
                self.assertEqual([0, 0, 2, 0, 2], [len(found) for found in lines])
                first = lines[2][0]
                self.assertEqual(("a", 3, 5, 0.0), tuple(first[k] for k in ("tenant", "waiting", "priority", "share")))  # fmt: skip  # noqa: E501
                fixture.runner.stop()

        asyncio.run(scenario())

    def test_series_of_tenants_are_bounded_and_removed(self) -> None:
        """Guards against a metric that grows with the number of tenants."""
        registry = CollectorRegistry()
        metrics = JobMetrics(registry)
        rng = random.Random(1)
        for _ in range(5):
            loads = [
                TenantLoad("s", f"t{rng.randrange(1000)}-{n}", rng.random(), rng.randrange(1, 99))
                for n in range(84)
            ]
            metrics.set_tenant_loads(loads)
            greatest = max(loads, key=lambda load: load.share)
            labels = {"tenant": greatest.tenant, "service": "s"}
            value = registry.get_sample_value("stileloom_tenant_dominant_share", labels)
            self.assertEqual(greatest.share, value)
        for name in ("stileloom_tenant_dominant_share", "stileloom_tenant_items_waiting"):
            (family,) = [family for family in registry.collect() if family.name == name]
            self.assertEqual(MAX_REPORTED_TENANTS, len(family.samples))
        metrics.set_tenant_loads([])
        (family,) = [family for family in registry.collect() if "dominant" in family.name]
        self.assertEqual([], family.samples)
