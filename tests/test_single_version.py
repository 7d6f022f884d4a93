"""Results of routes that require a single version, while beliefs about samplers are out of date.

A sampler writes its entry some time after it has loaded weights. A leader that knows the entry
alone believes that it still has the former ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import testtools

from stileloom.emulator.http_sampler import HttpSampler, expected_events
from tests.service_cluster import MODEL, ServiceCluster, configuration, with_cluster

EVENTS = 40
EVENT_S = 0.04
ITEM = "i"


def routes(version: int, single_version: bool = True) -> dict[str, Any]:
    """A configuration whose batch route requires a single version, or accepts several."""
    changed = configuration(version)
    changed["routes"][1]["single_version"] = single_version
    return changed


class SingleVersionTest(testtools.TestCase):
    """A result has one version, and the whole text of it."""

    def play(
        self,
        scenario: Callable[[ServiceCluster, list[HttpSampler]], Awaitable[None]],
        samplers: int = 1,
        single_version: bool = True,
        rewards: bool = False,
    ) -> None:
        """Plays a scenario while an item runs; from its end on, a result of one version is due."""

        async def run(cluster: ServiceCluster) -> None:
            await cluster.write("configuration", "main", routes(2, single_version))
            for name in ("draft-1", "draft-2"):
                await cluster.remove_sampler_entry(name)
                await cluster.samplers.pop(name).stop()
            cluster.event_interval_s = EVENT_S
            found = []
            for number in range(samplers):
                found.append(await cluster.add_sampler(f"sampler-{number}", "drafts"))
                found[-1]._events = EVENTS
            for sampler in found[1:]:
                sampler.faults.refuse = True
            for number in range(samplers):
                await cluster.wait_until_listed(f"sampler-{number}")
            for gateway in cluster.gateways:
                await cluster.wait_until(lambda: gateway.directory.routes.version == 2)  # noqa: B023
            self.assertEqual(202, (await cluster.submit("job", [ITEM], rewards=rewards)).code)
            await cluster.wait_until(lambda: bool(found[0].runs))
            await asyncio.sleep(EVENTS * EVENT_S / 2)
            await scenario(cluster, found)
            ((item, state, text, versions, *_),) = await cluster.results("job", 1)
            self.assertEqual((ITEM, "succeeded"), (item, state))
            self.assertEqual("\n".join(expected_events(ITEM, EVENTS)), text)
            self.assertEqual([2], versions)

        with_cluster(run)

    def test_a_text_is_not_resumed_by_a_sampler_that_has_loaded_another_version(self) -> None:
        for ignore in (False, True):
            resumed_after: list[int | None] = []

            async def scenario(cluster: ServiceCluster, samplers: list[HttpSampler]) -> None:
                old, new = samplers
                new.model_versions[MODEL] = 2
                new.faults.ignore_expected_version = ignore  # noqa: B023
                new.faults.refuse = False
                await old.stop()
                await cluster.remove_sampler_entry("sampler-0")
                await cluster.wait_until(lambda: bool(new.completed_at))
                resumed_after.extend(run.after_event for run in new.runs)  # noqa: B023

            with self.subTest(f"the sampler ignores the expected version: {ignore}"):
                self.play(scenario, samplers=2)
                if not ignore:
                    # It did not run what it would have continued under its own version.
                    self.assertEqual([None], resumed_after)

    def test_a_text_does_not_go_on_when_its_sampler_changes_its_version(self) -> None:
        async def scenario(cluster: ServiceCluster, samplers: list[HttpSampler]) -> None:
            samplers[0].model_versions[MODEL] = 2

        self.play(scenario)

    def test_a_new_leader_does_not_resume_a_saved_text_under_another_version(self) -> None:
        """Guards against versions that a new leader knows from the samplers' entries only."""
        for ignore in (False, True):

            async def scenario(cluster: ServiceCluster, samplers: list[HttpSampler]) -> None:
                samplers[0].model_versions[MODEL] = 2
                samplers[0].faults.ignore_expected_version = ignore  # noqa: B023
                leader = cluster.leader()
                assert leader is not None
                await cluster.kill(leader)

            with self.subTest(f"the sampler ignores the expected version: {ignore}"):
                self.play(scenario)

    def test_a_text_of_two_versions_is_not_listed_once_its_route_requires_one(self) -> None:
        async def scenario(cluster: ServiceCluster, samplers: list[HttpSampler]) -> None:
            samplers[0].model_versions[MODEL] = 2
            await asyncio.sleep(EVENTS * EVENT_S / 4)
            await cluster.write("configuration", "main", routes(3))

        self.play(scenario, single_version=False)

    def test_a_scored_text_of_two_versions_is_not_listed_once_its_route_requires_one(self) -> None:
        async def scenario(cluster: ServiceCluster, samplers: list[HttpSampler]) -> None:
            for name in ("chart-1", "chart-2"):
                cluster.samplers[name].faults.work_s = 1.0
            samplers[0].model_versions[MODEL] = 2
            scorers = [cluster.samplers[name] for name in ("chart-1", "chart-2")]
            await cluster.wait_until(lambda: any(scorer.runs for scorer in scorers))
            await cluster.write("configuration", "main", routes(3))

        self.play(scenario, single_version=False, rewards=True)
