"""Ends of jobs take effect although their caller has left or no majority has stored them yet."""

from __future__ import annotations

import asyncio
from unittest import mock

import testtools

from stileloom.ledger.commands import Command, CommandResult, EndJob
from tests.service_cluster import HOST, HOSTNAME, ServiceCluster, with_cluster

CALLER_PATIENCE_S = 0.5
OBSERVATION_S = 1.0


async def end_and_leave(cluster: ServiceCluster, job_id: str) -> None:
    """Asks a gateway to end a job and closes the connection before the answer."""
    _, writer = await asyncio.open_connection(HOST, cluster.front_ports[0])
    head = f"DELETE /v1/jobs/{job_id} HTTP/1.1\r\nHost: {HOSTNAME}\r\n\r\n"
    writer.write(head.encode())
    await asyncio.sleep(CALLER_PATIENCE_S)
    writer.close()


def has_ended(cluster: ServiceCluster, job_id: str) -> bool:
    """Whether a leader has committed the end of a job."""
    leader = cluster.leader()
    if leader is None:
        return False
    driver = cluster.ledger_nodes[leader]._driver
    assert driver is not None
    return driver.state.job_book.jobs[job_id].ended


class EndDeliveryTest(testtools.TestCase):
    """An end that a gateway has received."""

    def test_an_end_whose_caller_left_before_a_leader_was_found_still_ends_the_job(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for name in ("draft-1", "draft-2"):
                cluster.samplers[name].faults.unresponsive = True
            await cluster.submit("j1", ["a", "b"])
            leader = cluster.leader()
            assert leader is not None
            stopped = [leader, *[name for name in cluster.ledger_nodes if name != leader][:1]]
            for name in stopped:
                await cluster.kill(name)
            await end_and_leave(cluster, "j1")
            for name in stopped:
                cluster.restart(name)
            await cluster.wait_until(lambda: has_ended(cluster, "j1"))

        with_cluster(scenario)

    def test_no_item_starts_while_the_end_of_its_job_waits_for_a_majority(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            drafts = [cluster.samplers[name] for name in ("draft-1", "draft-2")]
            for sampler in drafts:
                sampler.faults.fail_status = 503
            leader = cluster.leader()
            assert leader is not None
            await cluster.submit("j1", [f"i{number}" for number in range(12)])
            await cluster.wait_until(lambda: any(sampler.runs for sampler in drafts))
            ledger = cluster.ledger_nodes[leader]._driver
            assert ledger is not None
            propose = ledger.propose

            async def propose_late(command: Command) -> CommandResult:
                if isinstance(command, EndJob):
                    await asyncio.sleep(OBSERVATION_S)
                return await propose(command)

            with mock.patch.object(ledger, "propose", propose_late):
                end = asyncio.create_task(cluster.call("DELETE", "/v1/jobs/j1"))
                await asyncio.sleep(OBSERVATION_S / 2)
                started = sum(len(sampler.runs) for sampler in drafts)
                await end
            self.assertEqual(started, sum(len(sampler.runs) for sampler in drafts))

        with_cluster(scenario)
