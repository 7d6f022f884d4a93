"""Configurations that change while jobs are open: accepted items follow the one in force."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import testtools

from stileloom.api.jobs import ItemState
from stileloom.api.routes import Backend, Engine, RouteConfiguration, RouteKind, Service
from stileloom.jobs.job_terms import DEADLINE_MARGIN_S
from stileloom.logging import configure_logs
from tests.runner_fixture import MAX_WAIT_S, MODEL, SERVICE, RunnerFixture, submission
from tests.service_cluster import TIMEOUT_S, ServiceCluster, configuration, with_cluster

OLD, NEW = "old", "new"
SLOTS = 4
SLOW_EVENT_S = 0.15


def moved_to(version: int, service: str) -> dict[str, Any]:
    """A configuration whose batch route goes to one of the two services."""
    routes = configuration(version)
    routes["routes"][1]["backends"] = [{"service": service, "weight": 1}]
    drafts = routes["services"][1]
    routes["services"] += [{**drafts, "name": OLD}, {**drafts, "name": NEW}]
    return routes


class MovedRouteTest(testtools.TestCase):
    """A batch route that moves to another service."""

    def play(self, leaves_first: bool, moves: list[str]) -> None:
        """Items run at the old service's sampler, which ends, and wait for it."""

        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.write("configuration", "main", moved_to(2, OLD))
            cluster.event_interval_s = SLOW_EVENT_S
            old = await self.add_sampler(cluster, "old-1", OLD)
            cluster.event_interval_s = 0.002
            new = await self.add_sampler(cluster, "new-1", NEW)
            items = [f"i{number}" for number in range(2 * SLOTS)]
            await cluster.wait_until(
                lambda: cluster.gateways[0].directory.samplers.get("old-1") is not None
            )
            self.assertEqual(202, (await cluster.submit("job", items)).code)
            await cluster.wait_until(lambda: len(old.runs) == SLOTS)
            if leaves_first:
                await cluster.remove_sampler_entry("old-1")
                await old.stop()
            for number, service in enumerate(moves):
                await cluster.write("configuration", "main", moved_to(3 + number, service))
            if not leaves_first:
                await cluster.remove_sampler_entry("old-1")
                await old.stop()
            rows = await cluster.results("job", len(items))
            self.assertEqual({"succeeded"}, {row[1] for row in rows})
            self.assertEqual(set(items), {row[0] for row in rows})
            self.assertEqual(set(items), {run.request_id for run in new.runs})
            self.assertEqual(SLOTS, len(old.runs))

        with_cluster(scenario)

    async def add_sampler(self, cluster: ServiceCluster, name: str, service: str) -> Any:
        """A model sampler of a service."""
        sampler = await cluster.add_sampler(name, "drafts")
        entry = await cluster.api.get("samplers", name)
        assert entry is not None
        await cluster.write("samplers", name, {**entry.spec, "service": service})
        return sampler

    def test_items_run_at_the_new_service_once_the_samplers_of_the_old_one_are_gone(self) -> None:
        self.play(leaves_first=False, moves=[NEW])

    def test_items_whose_samplers_are_gone_run_once_their_route_moves(self) -> None:
        self.play(leaves_first=True, moves=[NEW])

    def test_items_follow_a_route_that_moves_back_and_forth(self) -> None:
        self.play(leaves_first=False, moves=[NEW, OLD, NEW])


class TermsTest(testtools.TestCase):
    """What a configuration sets for open items."""

    def setUp(self) -> None:
        super().setUp()
        configure_logs("error")

    def change(self, fixture: RunnerFixture, tokens_per_event: float = 1.0, **route: Any) -> None:
        """Puts a configuration in force whose batch route has other values."""
        former = fixture.routes.configuration
        assert former is not None
        routes = [
            msgspec.structs.replace(found, **route) if found.kind is RouteKind.BATCH else found
            for found in former.routes
        ]
        engine = Engine(SLOTS, 10_000, [MODEL], tokens_per_event)
        services = [*former.services, Service(NEW, 50, engine)]
        changed = RouteConfiguration(former.version + 1, routes, services)
        self.assertTrue(fixture.routes.adopt(changed))

    def test_an_open_item_has_the_terms_that_a_new_leader_would_read(self) -> None:
        """Guards against terms that are copied at adoption and never read again."""
        changes: list[dict[str, Any]] = [
            {"backends": [Backend(NEW, 1.0)], "tokens_per_event": 7.0},
            {"single_version": True},
            {"max_attempts": 9},
            {"max_wait_s": 2 * MAX_WAIT_S},
            {"max_wait_s": MAX_WAIT_S / 2},
            {"priority": 1},
        ]

        async def scenario(change: dict[str, Any]) -> None:
            fixture = RunnerFixture()
            fixture.submit(submission("j", ["i"]))
            with fixture.clock():
                fixture.step()
                self.change(fixture, **change)
                before = msgspec.structs.asdict(fixture.runner.scheduler.items["j", "i"])
                fixture.step()
                after = msgspec.structs.asdict(fixture.runner.scheduler.items["j", "i"])
                fixture.change_leader()
                fixture.step()
                adopted = msgspec.structs.asdict(fixture.runner.scheduler.items["j", "i"])
                fixture.runner.stop()
            self.assertNotEqual(before, after)
            self.assertEqual(adopted, after)

        for change in changes:
            with self.subTest(str(change)):
                asyncio.run(scenario(change))

    def given_up_after(self, **route: Any) -> float:
        """Seconds after which an item without samplers is given up; its route changes at 10 s."""

        async def scenario() -> float:
            fixture = RunnerFixture()
            fixture.submit(submission("j", ["i"]))
            job = fixture.state.job_book.jobs["j"]
            started_at = fixture.now
            with fixture.clock():
                fixture.step()
                fixture.step(10.0)
                self.change(fixture, **route)
                item = fixture.runner.scheduler.items["j", "i"]
                while not item.finished:
                    fixture.step(1.0)
                waited_s = fixture.now - started_at
                async with asyncio.timeout(TIMEOUT_S):
                    while not job.results:
                        await asyncio.sleep(0.01)
                fixture.runner.stop()
            self.assertEqual(ItemState.GIVEN_UP, job.results[0].state)
            return waited_s

        return asyncio.run(scenario())

    def test_an_item_is_given_up_by_the_wait_of_the_configuration_in_force(self) -> None:
        for max_wait_s in (MAX_WAIT_S / 2, MAX_WAIT_S, 2 * MAX_WAIT_S):
            waited_s = self.given_up_after(max_wait_s=max_wait_s)
            self.assertGreaterEqual(waited_s, max_wait_s)
            self.assertLessEqual(waited_s, max_wait_s + DEADLINE_MARGIN_S + 2.0)

    def test_a_job_keeps_its_terms_without_its_route(self) -> None:
        self.assertGreaterEqual(self.given_up_after(path_prefix="/elsewhere/"), MAX_WAIT_S)

    def test_a_run_occupies_the_service_at_which_it_began(self) -> None:
        """Guards against a tenant that is charged for ended runs after its route has moved."""

        async def scenario() -> None:
            fixture = RunnerFixture()
            fixture.submit(submission("j", ["i"]))
            with fixture.clock():
                fixture.step()
                scheduler = fixture.runner.scheduler
                item = scheduler.items["j", "i"]
                scheduler.has_tenants = True
                scheduler.start_on(item, "s", fixture.now)
                self.change(fixture, backends=[Backend(NEW, 1.0)])
                fixture.step()
                self.assertEqual(NEW, item.service)
                scheduler.end_run(item)
                fixture.runner.stop()
            charged = {load.service for load in scheduler.tenant_loads()}
            self.assertNotIn(SERVICE, charged)

        asyncio.run(scenario())
