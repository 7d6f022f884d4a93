"""A machine that was suspended for seconds believes nothing older than its sleep.

Story: the steady clock of the system stands still while a machine is suspended. A leader that
slept past its lease woke with the lease as it was before, and could give orders beside the leader
elected meanwhile; a node counted what it had read before the sleep as fresh.

Evidence: with the system's steady clock in place of `steady_time` the leader below still may act
after a sleep of ten seconds, and the timer fires five seconds late.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from unittest import mock

import testtools

from stileloom.clock import SuspendAwareEventLoop, run_program
from tests.service_cluster import ServiceCluster, with_cluster

SLEEP_S = 10.0
STEPS = 50
"""Steps of the event loop: what is due runs in the first or second one."""

_read_clock = time.clock_gettime


@contextlib.contextmanager
def suspended(seconds: float) -> Iterator[None]:
    """The machine has slept: the clock that counts the sleep is ahead, all others are not."""

    def with_sleep(clock_id: int) -> float:
        slept_s = seconds if clock_id == time.CLOCK_BOOTTIME else 0.0
        return _read_clock(clock_id) + slept_s

    with mock.patch("time.clock_gettime", with_sleep):
        yield


class SuspendedLeaderTest(testtools.TestCase):
    """The ledger's leader after a sleep longer than its lease."""

    def test_a_leader_that_slept_past_its_lease_may_not_act_when_it_wakes(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            leader = cluster.ledger_nodes[cluster.leader() or ""]
            assert leader._leadership is not None
            window = leader._leadership.runner._loader._window
            self.assertTrue(leader.is_active_leader())
            self.assertTrue(await window.open())
            with suspended(SLEEP_S):
                self.assertFalse(leader.is_active_leader())
                self.assertFalse(window.is_open())

        with_cluster(scenario)


class SuspendedLoopTest(testtools.TestCase):
    """Timers of a program."""

    def test_a_timer_that_came_due_in_a_sleep_fires_at_the_wake(self) -> None:
        async def run() -> bool:
            fired = asyncio.Event()
            asyncio.get_running_loop().call_later(SLEEP_S / 2, fired.set)
            with suspended(SLEEP_S):
                for _ in range(STEPS):
                    await asyncio.sleep(0)
            return fired.is_set()

        self.assertTrue(run_program(run()))

    def test_programs_run_on_the_loop_whose_timers_count_the_sleep(self) -> None:
        async def run() -> type:
            return type(asyncio.get_running_loop())

        self.assertIs(SuspendAwareEventLoop, run_program(run()))
