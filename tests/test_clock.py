"""Leases and timers must account for time in system suspend.

Guards against a resumed leader that acts on a lease which expired during suspend.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from unittest import mock

import testtools

from stileloom.clock import SuspendAwareEventLoop, run_main
from tests.service_cluster import ServiceCluster, with_cluster

SUSPEND_S = 10.0
LOOP_ITERATIONS = 50
"""Due callbacks run in the first or second iteration."""

_read_clock = time.clock_gettime


@contextlib.contextmanager
def suspended(seconds: float) -> Iterator[None]:
    """Simulates a suspend: advances only the clock that includes suspend time."""

    def read_clock(clock_id: int) -> float:
        offset_s = seconds if clock_id == time.CLOCK_BOOTTIME else 0.0
        return _read_clock(clock_id) + offset_s

    with mock.patch("time.clock_gettime", read_clock):
        yield


class SuspendedLeaderTest(testtools.TestCase):
    """A ledger leader after a suspend longer than its lease."""

    def test_a_leader_may_not_act_after_a_suspend_longer_than_its_lease(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            leader = cluster.ledger_nodes[cluster.leader() or ""]
            assert leader._leadership is not None
            window = leader._leadership.runner._loader._window
            self.assertTrue(leader.is_active_leader())
            self.assertTrue(await window.open())
            with suspended(SUSPEND_S):
                self.assertFalse(leader.is_active_leader())
                self.assertFalse(window.is_open())

        with_cluster(scenario)


class SuspendedLoopTest(testtools.TestCase):
    """Event loop timers across a suspend."""

    def test_a_timer_due_during_suspend_fires_after_resume(self) -> None:
        async def run() -> bool:
            fired = asyncio.Event()
            asyncio.get_running_loop().call_later(SUSPEND_S / 2, fired.set)
            with suspended(SUSPEND_S):
                for _ in range(LOOP_ITERATIONS):
                    await asyncio.sleep(0)
            return fired.is_set()

        self.assertTrue(run_main(run()))

    def test_run_program_uses_the_suspend_aware_loop(self) -> None:
        async def run() -> type:
            return type(asyncio.get_running_loop())

        self.assertIs(SuspendAwareEventLoop, run_main(run()))
