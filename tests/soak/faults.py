"""Faults from outside, drawn from a seed. Each task brings one about and takes it back."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from stileloom.clock import steady_time
from stileloom.emulator.http_sampler import SamplerFaults
from tests.soak.deployment import Deployment
from tests.soak.loopback_proxy import LinkFault
from tests.soak.record import Record

PAUSE_S = (0.4, 2.5)
LASTS_S = (0.3, 4.0)
CATCH_UP_S = 6.0
"""A ledger node that was lost counts as lost for so long after it is back."""
DELAYS_S = (0.02, 0.4)
LINK_FAULTS = [fault for fault in LinkFault if fault is not LinkFault.NONE]

Fault = Callable[[], Awaitable[str]]


class FaultSchedule:
    """Draws faults until it is stopped."""

    def __init__(self, deployment: Deployment, record: Record, rng: random.Random) -> None:
        self.story: list[str] = []
        """What was done, with its time."""
        self._deployment = deployment
        self._record = record
        self._rng = rng
        self._started_at = steady_time()
        self._lost_until = 0.0
        """One ledger node may be lost at a time: the next one after this."""
        self._ending: set[str] = set()
        """Gateways that a fault ends and starts again just now."""
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Brings faults about for a time, and waits until all are over."""
        faults: list[Fault] = [
            self._link_fault,
            self._link_fault,
            self._reset,
            self._silence_open,
            self._kill_ledger_node,
            self._wipe_ledger_node,
            self._pause_ledger_node,
            self._stop_ledger_node,
            self._fill_disk,
            self._kill_all_ledger_nodes,
            self._kill_gateway,
            self._stop_gateway,
            self._pause_gateway,
            self._store_fault,
            self._crash_sampler,
            self._sampler_fault,
        ]
        give_up_at = steady_time() + seconds
        while steady_time() < give_up_at:
            self._spawn(self._rng.choice(faults))
            await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _spawn(self, fault: Fault) -> None:
        task = asyncio.get_running_loop().create_task(self._carry_out(fault))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, fault: Fault) -> None:
        began_at = steady_time() - self._started_at
        told = await fault()
        if told:
            ended_at = steady_time() - self._started_at
            self.story.append(f"{began_at:6.2f} to {ended_at:6.2f} s  {told}")
            self._record.counts["faults"] += 1

    def _lasts_s(self) -> float:
        return self._rng.uniform(*LASTS_S)

    # Links.

    async def _link_fault(self) -> str:
        name = self._rng.choice(sorted(self._deployment.links))
        loses_node = name.startswith("to ledger")
        if loses_node and not self._may_lose():
            return ""
        fault = self._rng.choice(LINK_FAULTS)
        lasts_s = self._lasts_s()
        if loses_node:
            self._lose(lasts_s)
        self._deployment.links[name].set(fault, self._rng.uniform(*DELAYS_S))
        await asyncio.sleep(lasts_s)
        self._deployment.links[name].set(LinkFault.NONE)
        return f"{name}: {fault.value}"

    async def _reset(self) -> str:
        name = self._rng.choice(sorted(self._deployment.links))
        self._deployment.reset(name)
        return f"{name}: connections reset"

    async def _silence_open(self) -> str:
        # Not between ledger nodes: frames go one way there, and only unacknowledged bytes show the
        # silence. This proxy acknowledges whatever it throws away.
        links = [name for name in self._deployment.links if not name.startswith("to ledger")]
        name = self._rng.choice(sorted(links))
        self._deployment.stall_open_connections(name)
        return f"{name}: what was open is silent for good"

    # Ledger nodes.

    def _may_lose(self) -> bool:
        return steady_time() >= self._lost_until

    def _lose(self, lasts_s: float) -> None:
        self._lost_until = steady_time() + lasts_s + CATCH_UP_S

    def _any_ledger_node(self) -> str:
        return self._rng.choice(
            [name for name in sorted(self._deployment.programs) if name.startswith("ledger")]
        )

    async def _kill_ledger_node(self) -> str:
        if not self._may_lose():
            return ""
        name, lasts_s = self._any_ledger_node(), self._lasts_s()
        self._lose(lasts_s)
        await self._deployment.programs[name].kill()
        self._deployment.tear_journal(name)
        await asyncio.sleep(lasts_s)
        self._deployment.programs[name].start()
        return f"{name}: killed, its journal torn"

    async def _wipe_ledger_node(self) -> str:
        if not self._may_lose():
            return ""
        name, lasts_s = self._any_ledger_node(), self._lasts_s()
        self._lose(lasts_s)
        await self._deployment.programs[name].kill()
        self._deployment.wipe(name)
        await asyncio.sleep(lasts_s)
        self._deployment.programs[name].start()
        return f"{name}: its disk lost"

    async def _pause_ledger_node(self) -> str:
        if not self._may_lose():
            return ""
        name, lasts_s = self._any_ledger_node(), self._lasts_s()
        self._lose(lasts_s)
        self._deployment.programs[name].pause()
        await asyncio.sleep(lasts_s)
        self._deployment.programs[name].resume()
        return f"{name}: paused"

    async def _stop_ledger_node(self) -> str:
        if not self._may_lose():
            return ""
        name = self._any_ledger_node()
        self._lose(1.0)
        return await self._stop(name)

    async def _fill_disk(self) -> str:
        if not self._may_lose():
            return ""
        name, lasts_s = self._any_ledger_node(), self._lasts_s()
        self._lose(lasts_s)
        program = self._deployment.programs[name]
        program.refuse_writes(True)
        await asyncio.sleep(lasts_s)
        program.refuse_writes(False)
        return f"{name}: its disk refuses writes"

    async def _kill_all_ledger_nodes(self) -> str:
        if not self._may_lose() or self._rng.random() < 0.5:
            return ""
        names = [name for name in sorted(self._deployment.programs) if name.startswith("ledger")]
        self._lose(1.0)
        await asyncio.gather(*(self._deployment.programs[name].kill() for name in names))
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        for name in names:
            self._deployment.programs[name].start()
        return "all ledger nodes: killed"

    # Gateways.

    def _any_gateway(self) -> str:
        return self._rng.choice(
            [name for name in sorted(self._deployment.programs) if name.startswith("gateway")]
        )

    async def _kill_gateway(self) -> str:
        name = self._any_gateway()
        if name in self._ending or not self._deployment.programs[name].running:
            return ""
        self._ending.add(name)
        await self._deployment.programs[name].kill()
        await asyncio.sleep(self._rng.uniform(0.1, 1.0))
        self._deployment.programs[name].start()
        self._ending.discard(name)
        return f"{name}: killed"

    async def _stop_gateway(self) -> str:
        name = self._any_gateway()
        if name in self._ending or not self._deployment.programs[name].running:
            return ""
        self._ending.add(name)
        told = await self._stop(name)
        self._ending.discard(name)
        return told

    async def _stop(self, name: str) -> str:
        program = self._deployment.programs[name]
        if not await program.terminate():
            self._record.breaks("a stopped program ends in time", name)
        program.start()
        return f"{name}: stopped and started"

    async def _pause_gateway(self) -> str:
        name, lasts_s = self._any_gateway(), self._lasts_s()
        program = self._deployment.programs[name]
        if not program.running or program.paused:
            return ""
        program.pause()
        await asyncio.sleep(lasts_s)
        program.resume()
        return f"{name}: paused"

    # The store and samplers.

    async def _store_fault(self) -> str:
        lasts_s = self._lasts_s()
        fault = self._rng.choice(["down_s", "delay_s", "lost_answer_probability"])
        amount = {"down_s": lasts_s, "delay_s": 0.2, "lost_answer_probability": 0.4}[fault]
        await self._deployment.set_store_faults({fault: amount})
        await asyncio.sleep(lasts_s)
        if fault != "down_s":
            await self._deployment.set_store_faults({fault: 0.0})
        return f"store: {fault} {amount:.1f}"

    async def _crash_sampler(self) -> str:
        name = self._rng.choice(sorted(self._deployment.samplers))
        service = name.rpartition("-")[0]
        others = [n for n in self._deployment.samplers if n.startswith(service) and n != name]
        if not others:
            return ""
        await self._deployment.crash_sampler(name)
        await asyncio.sleep(self._lasts_s())
        await self._deployment.add_sampler(service)
        return f"{name}: crashed and replaced"

    async def _sampler_fault(self) -> str:
        name = self._rng.choice(sorted(self._deployment.samplers))
        sampler = self._deployment.samplers[name]
        sampler.faults = self._rng.choice(
            [
                SamplerFaults(disconnect_after_events=self._rng.randint(0, 5)),
                SamplerFaults(fail_status=500),
                SamplerFaults(refuse=True),
                SamplerFaults(unresponsive=True),
            ]
        )
        told = f"{name}: {sampler.faults}"
        await asyncio.sleep(self._lasts_s())
        sampler.faults = SamplerFaults()
        return told
