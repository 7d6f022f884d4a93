"""Accepted items that wait although samplers have room, over real sockets and in virtual time."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable

import testtools

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.jobs.open_items import ItemSize, OpenItem
from stileloom.quarantine.book import CRASH_THRESHOLD, MIN_PUBLISHED_CRASHES
from tests.runner_fixture import RunnerFixture, submission
from tests.service_cluster import ServiceCluster, configuration, with_cluster
from tests.test_item_scheduler import SERVICE, SchedulerFixture, entry, record
from tests.test_quarantine import POISON, replace_crashed, send_poison

MAX_WAIT_S = 5.0
"""An item that was at no sampler for this long while samplers had room counts as lost."""
STEP_S = 0.1
"""Of the leader."""


def set_crash_targets(cluster: ServiceCluster, *targets: str) -> None:
    """Requests to these targets crash their samplers from now on."""
    for sampler in cluster.samplers.values():
        sampler.faults.crash_targets = frozenset(targets)


def set_event_interval(cluster: ServiceCluster, interval_s: float) -> None:
    """Sets how long samplers take for an event, also those that are added later."""
    cluster.event_interval_s = interval_s
    for sampler in cluster.samplers.values():
        sampler._event_interval_s = interval_s


async def crash_under(cluster: ServiceCluster, service: str, target: str, crashes: int) -> None:
    """Lets samplers crash under a request so many times; the last ones are sound."""
    crashed = 0
    while crashed < crashes:
        for sampler in cluster.samplers.values():
            if not sampler.crashed_by:
                sampler.faults.crash_targets = frozenset({target})
        crashed += await replace_crashed(cluster, service, target)
        await asyncio.sleep(0.01)
    set_crash_targets(cluster)
    await replace_crashed(cluster, service, "")


class CrashedItemTest(testtools.TestCase):
    """Sound items that ran on samplers when these crashed."""

    def assert_in_time(self, work: Awaitable[object]) -> Awaitable[object]:
        """Work that ends within the longest wait."""

        async def limited() -> object:
            try:
                async with asyncio.timeout(MAX_WAIT_S):
                    return await work
            except TimeoutError:
                self.fail(f"no run ended well within {MAX_WAIT_S} s")

        return limited()

    def test_an_item_under_which_three_samplers_crashed_is_run_again(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            set_crash_targets(cluster, "/drafts/i")
            await cluster.submit("job", ["i"])
            await crash_under(cluster, "drafts", "/drafts/i", CRASH_THRESHOLD)
            await self.assert_in_time(cluster.results("job", 1))

        with_cluster(scenario)

    def test_an_item_under_which_samplers_crashed_runs_again_in_a_later_job(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            set_crash_targets(cluster, "/drafts/i")
            await cluster.submit("first", ["i"])
            await crash_under(cluster, "drafts", "/drafts/i", CRASH_THRESHOLD)
            await cluster.call("DELETE", "/v1/jobs/first")
            await cluster.submit("second", ["i"])
            await self.assert_in_time(cluster.results("second", 1))

        with_cluster(scenario)

    def test_an_item_under_which_samplers_crashed_runs_again_at_a_new_leader(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            set_crash_targets(cluster, "/drafts/i")
            await cluster.submit("job", ["i"])
            await crash_under(cluster, "drafts", "/drafts/i", CRASH_THRESHOLD)
            leader = cluster.leader()
            assert leader is not None
            await cluster.kill(leader)
            await cluster.wait_until(lambda: cluster.leader() is not None)
            await self.assert_in_time(cluster.results("job", 1))

        with_cluster(scenario)

    def test_items_of_a_burst_of_crashes_do_not_wait_for_each_other(self) -> None:
        """Guards against one item at a time on each sampler after two crashes under a step."""

        async def scenario(cluster: ServiceCluster) -> None:
            items = [f"i{number}" for number in range(8)]
            set_event_interval(cluster, 0.4)
            await cluster.submit("job", items)
            crashes: collections.Counter[str] = collections.Counter()
            while min(crashes[item] for item in items) < MIN_PUBLISHED_CRASHES:
                await asyncio.sleep(0.1)
                running = [
                    sampler
                    for name, sampler in cluster.samplers.items()
                    if name.startswith("draft") and sampler.runs
                ]
                for sampler in running:
                    crashes.update(run.request_id for run in sampler.runs)
                    await sampler._crash()
                # Each run has to be seen broken, and its sampler as crashed, before it returns.
                await asyncio.sleep(0.2)
                await replace_crashed(cluster, "drafts", "")
            calm_at = asyncio.get_running_loop().time()
            await asyncio.sleep(MAX_WAIT_S)
            runs = {
                run.request_id
                for name, sampler in cluster.samplers.items()
                if name.startswith("draft")
                for run in sampler.runs
            }
            waited_s = asyncio.get_running_loop().time() - calm_at
            self.assertEqual(set(items), runs, f"{waited_s:.1f} s after the last crash")

        with_cluster(scenario)

    def test_a_reward_call_under_which_samplers_crashed_is_sent_again(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            target = "/charts/score/i"
            set_crash_targets(cluster, target)
            await cluster.submit("job", ["i"], rewards=True)
            await crash_under(cluster, "charts", target, CRASH_THRESHOLD)
            await self.assert_in_time(cluster.results("job", 1))

        with_cluster(scenario)


class PoisonBesideItemsTest(testtools.TestCase):
    """Lookups that crash samplers on which items run."""

    def test_crashes_under_a_lookup_and_an_item_lead_to_the_lookup(self) -> None:
        """At most three samplers crash in the whole fleet, and the item succeeds."""

        async def scenario(cluster: ServiceCluster) -> None:
            backends = [{"service": "drafts", "weight": 1}]
            await cluster.write("configuration", "main", configuration(2, backends=backends))
            for gateway in cluster.gateways:
                await cluster.wait_until(lambda: gateway.directory.routes.version == 2)  # noqa: B023
            await cluster.add_sampler("draft-3", "drafts")
            await cluster.wait_until_listed("draft-3")
            set_event_interval(cluster, 0.1)
            items = [f"i{number}" for number in range(12)]
            await cluster.submit("job", items)
            crashed = 0
            items_on_crashed = 0
            for number in range(8):
                set_crash_targets(cluster, POISON)
                await send_poison(cluster, number, number % 2)
                items_on_crashed += sum(
                    run.request_id in items
                    for sampler in cluster.samplers.values()
                    if sampler.crashed_by
                    for run in sampler.runs
                )
                crashed += await replace_crashed(cluster, "drafts", POISON)
                # The gateways' views of the quarantine follow the ledger.
                await asyncio.sleep(0.1)
            self.assertLessEqual(crashed, CRASH_THRESHOLD)
            self.assertGreater(crashed, 0)
            self.assertGreater(items_on_crashed, 0)
            for gateway in cluster.gateways:
                self.assertEqual(1, gateway._guard.view.quarantined_count)
            results = await cluster.results("job", len(items))
            self.assertEqual({"succeeded"}, {result[1] for result in results})

        with_cluster(scenario)


class WaitingItemTest(testtools.TestCase):
    """Items that wait for a condition that nothing brings about, in virtual time."""

    def first_start(self, fixture: SchedulerFixture, running: OpenItem | None = None) -> float:
        """When the waiting item starts; `running` goes on with an event each step."""
        for step in range(round(MAX_WAIT_S / STEP_S) + 1):
            now = step * STEP_S
            if running is not None:
                event_id = (running.partial.last_event_id or 0) + 1
                running.partial.add(event_id, "x", 1)
                fixture.scheduler.record_event(running, now)
            if fixture.starts(now):
                return now
        self.fail(f"not started within {MAX_WAIT_S} s")

    def test_a_text_whose_version_no_sampler_has_any_more_begins_anew(self) -> None:
        """Guards against an item of a route with a single version that never fits again."""
        fixture = SchedulerFixture(entry("a", versions={"m": 2}))
        fixture.adopt(record("j", 1), single_version=True)
        (item,) = fixture.scheduler.items.values()
        item.partial.add(1, "x", 1)
        item.saved_parts = 1
        self.first_start(fixture)
        self.assertEqual((None, 0), (item.partial.last_event_id, item.saved_parts))

    def test_a_text_with_two_versions_begins_anew_where_one_is_allowed(self) -> None:
        fixture = SchedulerFixture(entry("a", versions={"m": 2}))
        fixture.adopt(record("j", 1), single_version=True)
        (item,) = fixture.scheduler.items.values()
        item.partial.add(1, "x", 1)
        item.partial.add(2, "x", 2)
        self.first_start(fixture)
        self.assertEqual([], item.partial.versions)

    def test_a_text_is_kept_while_a_sampler_of_its_version_is_only_full(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=1), entry("b", versions={"m": 2}))
        fixture.scheduler.stats("a").running = 1
        fixture.adopt(record("j", 1), single_version=True)
        (item,) = fixture.scheduler.items.values()
        item.partial.add(1, "x", 1)
        for step in range(30):
            self.assertEqual({}, fixture.starts(step * STEP_S))
        self.assertEqual([1], item.partial.versions)

    def test_a_sampler_that_failed_takes_items_again_while_an_older_run_goes_on(self) -> None:
        """Guards against a reset connection that keeps a sampler's free slots empty until its
        other runs have ended.
        """
        fixture = SchedulerFixture(entry("a", slots=4))
        fixture.adopt(record("old", 1))
        fixture.starts()
        (running,) = fixture.scheduler.items.values()
        running.partial.add(1, "x", 1)
        fixture.scheduler.record_event(running, 0.0)
        fixture.samplers.record_failure("a", 0.0)
        fixture.adopt(record("new", 1))
        self.first_start(fixture, running)

    def test_an_item_larger_than_the_free_memory_starts_beside_endless_smaller_ones(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=4))
        fixture.scheduler.cache_tokens[SERVICE] = 1000
        fixture.adopt(record("old", 1), sizes={"old-i0": ItemSize(100.0, 50.0)})
        fixture.starts()
        (running,) = fixture.scheduler.items.values()
        fixture.adopt(record("new", 1), sizes={"new-i0": ItemSize(100.0, 900.0)})
        self.first_start(fixture, running)

    def test_the_estimated_memory_holds_items_while_a_sampler_is_half_full(self) -> None:
        """Guards against preempted runs under load."""
        fixture = SchedulerFixture(entry("a", slots=4))
        fixture.scheduler.cache_tokens[SERVICE] = 1000
        sizes = {f"old-i{number}": ItemSize(100.0, 400.0) for number in range(2)}
        fixture.adopt(record("old", 2), sizes=sizes)
        self.assertEqual(2, len(fixture.starts()))
        fixture.adopt(record("new", 1), sizes={"new-i0": ItemSize(100.0, 900.0)})
        for step in range(round(MAX_WAIT_S / STEP_S)):
            self.assertEqual({}, fixture.starts(step * STEP_S))

    def test_a_run_that_was_not_sent_for_want_of_the_lease_ends_and_spares_its_sampler(
        self,
    ) -> None:
        async def scenario() -> None:
            writers: list[asyncio.StreamWriter] = []
            server = await asyncio.start_server(
                lambda reader, writer: writers.append(writer), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            fixture = RunnerFixture(
                SamplerEntry("s", "drafts", ("127.0.0.1", port), "a", 4, False, {"m": 1})
            )
            fixture.submit(submission("job", ["i"]))
            with fixture.clock():
                fixture.step(1.0)
                (item,) = fixture.runner.scheduler.items.values()
                self.assertIsNotNone(item.run)
                fixture.ledger.leads = False
                await asyncio.sleep(0.1)
                fixture.ledger.leads = True
                self.assertIsNone(item.run)
                tracked = fixture.samplers.get("s")
                assert tracked is not None
                self.assertEqual(0, tracked.failures)
            fixture.runner.stop()
            server.close()
            for writer in writers:
                writer.transport.abort()

        asyncio.run(scenario())
