"""A leader that loses its lease for a moment, while the end of a job waits for a majority."""

from __future__ import annotations

import asyncio

import testtools

from stileloom.jobs.messages import EndJobCall, JobEnded
from tests.runner_fixture import RunnerFixture, submission


class RegainedLeaseTest(testtools.TestCase):
    """The runner is replaced; commands that were proposed before still wait."""

    def test_a_job_whose_end_waits_for_a_majority_is_not_taken_up_again(self) -> None:
        async def scenario() -> None:
            fixture = RunnerFixture()
            with fixture.clock():
                fixture.submit(submission("j", ["i"]))
                fixture.submit(submission("other", ["o"]))
                fixture.step()
                fixture.ledger.majority.clear()
                service = fixture.service()
                end = asyncio.create_task(service.handle(EndJobCall("j")))
                await asyncio.sleep(0)
                self.assertEqual([("other", "o")], fixture.items())
                service.runner = None
                fixture.change_leader()
                service.runner = fixture.runner
                fixture.step(1.0)
                self.assertEqual([("other", "o")], fixture.items())
                fixture.ledger.majority.set()
                self.assertEqual(JobEnded(), await end)
                fixture.step()
                self.assertEqual([("other", "o")], fixture.items())
            fixture.runner.stop()

        asyncio.run(scenario())
