"""Faults from outside, drawn from a seed. Each task brings one about and takes it back."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from stileloom.clock import steady_time
from stileloom.emulator.http_sampler import SamplerFaults
from tests.soak.deployment import Deployment
from tests.soak.job_ends import LEDGER
from tests.soak.loopback_proxy import LinkFault
from tests.soak.record import Record

LULL_PAUSE_S = (0.4, 2.5)
STORM_PAUSE_S = (0.1, 1.0)
LASTS_S = (0.3, 4.0)
STORM_S = (3.0, 7.0)
"""Faults of all kinds for so long."""
LULL_S = (10.0, 14.0)
"""Then none of the ledger and its store for so long: the ends of jobs have bounds in steady time
only. Gateways and samplers are disturbed all the while."""
LEADER_SHARE = 0.5
"""Of the faults of one ledger node so many strike the leader."""
STRUCK_S = (1.5, 4.0)
"""A leader that is struck is away for long enough that another one is elected."""
REPLACED_S = 4.0
"""Before the next one is lost, another node has taken the place of one that does not return."""
ELECTION_S = 3.0
MOST_ROLLED = 6
CATCH_UP_S = 6.0
"""A ledger node that was lost needs at most so long after it is back."""
DELAYS_S = (0.02, 0.4)
LINK_FAULTS = [fault for fault in LinkFault if fault is not LinkFault.NONE]

Fault = Callable[[], Awaitable[str]]


def _is_of_ledger(link_name: str) -> bool:
    return link_name.startswith(("to ledger", "ledger"))


def _place(link_name: str) -> str:
    """Where a fault of the link disturbs."""
    return LEDGER if _is_of_ledger(link_name) else link_name


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
        """Ledger nodes are lost one after another; one after this may lose its files only once the
        others have caught up."""
        self._ending: set[str] = set()
        """Gateways that a fault ends and starts again just now."""
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Brings faults about for a time, and waits until all are over."""
        beside_ledger: list[Fault] = [
            self._outer_link_fault,
            self._outer_link_fault,
            self._reset_outer,
            self._silence_open_outer,
            self._kill_gateway,
            self._stop_gateway,
            self._roll_gateways,
            self._pause_gateway,
            self._crash_sampler,
            self._sampler_fault,
        ]
        of_ledger: list[Fault] = [
            self._ledger_link_fault,
            self._ledger_link_fault,
            self._reset_ledger,
            self._silence_open_to_store,
            self._kill_ledger_node,
            self._wipe_ledger_node,
            self._pause_ledger_node,
            self._stop_ledger_node,
            self._replace_ledger_node,
            self._replace_ledger_node,
            self._replace_ledger_node,
            self._fill_disk,
            self._kill_all_ledger_nodes,
            self._two_leaders_in_a_row,
            self._two_leaders_in_a_row,
            self._two_leaders_in_a_row,
            self._store_fault,
        ]
        give_up_at = steady_time() + seconds
        storm = False
        turns_at = 0.0
        while steady_time() < give_up_at:
            if steady_time() >= turns_at:
                storm = not storm
                turns_at = steady_time() + self._rng.uniform(*(STORM_S if storm else LULL_S))
            faults = of_ledger if storm and self._rng.random() < 0.7 else beside_ledger
            self._spawn(self._rng.choice(faults))
            await asyncio.sleep(self._rng.uniform(*(STORM_PAUSE_S if storm else LULL_PAUSE_S)))
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

    def _any_link(self, of_ledger: bool) -> str:
        """A link of the ledger, to its nodes or from them to the store, or any other."""
        names = sorted(name for name in self._deployment.links if _is_of_ledger(name) == of_ledger)
        name = self._rng.choice(names)
        return f"to {self._any_ledger_node()}" if name.startswith("to ledger") else name

    async def _outer_link_fault(self) -> str:
        return await self._link_fault(self._any_link(of_ledger=False))

    async def _ledger_link_fault(self) -> str:
        name = self._any_link(of_ledger=True)
        if name.startswith("to ledger") and not self._may_lose():
            return ""
        return await self._link_fault(name)

    async def _link_fault(self, name: str) -> str:
        fault = self._rng.choice(LINK_FAULTS)
        lasts_s = self._lasts_s()
        if name.startswith("to ledger"):
            self._lose(lasts_s)
        await self._disturb_link(name, fault, lasts_s)
        return f"{name}: {fault.value}"

    async def _disturb_link(self, name: str, fault: LinkFault, lasts_s: float) -> None:
        link = self._deployment.links[name]
        with self._record.disturbances.at(_place(name)):
            link.set(fault, self._rng.uniform(*DELAYS_S))
            await asyncio.sleep(lasts_s)
            link.set(LinkFault.NONE)

    async def _reset_outer(self) -> str:
        return self._reset(self._any_link(of_ledger=False))

    async def _reset_ledger(self) -> str:
        return self._reset(self._any_link(of_ledger=True))

    def _reset(self, name: str) -> str:
        with self._record.disturbances.at(_place(name)):
            self._deployment.reset(name)
        return f"{name}: connections reset"

    # Not between ledger nodes: frames go one way there, and only unacknowledged bytes show the
    # silence. This proxy acknowledges whatever it throws away.

    async def _silence_open_outer(self) -> str:
        return self._silence_open(self._any_link(of_ledger=False))

    async def _silence_open_to_store(self) -> str:
        return self._silence_open(f"{self._any_ledger_node()} to store")

    def _silence_open(self, name: str) -> str:
        with self._record.disturbances.at(_place(name)):
            self._deployment.stall_open_connections(name)
        return f"{name}: what was open is silent for good"

    # Ledger nodes.

    def _may_lose(self) -> bool:
        return steady_time() >= self._lost_until

    def _may_lose_files(self) -> bool:
        """Whether all ledger nodes are there and have had time to catch up."""
        return steady_time() >= self._lost_until + CATCH_UP_S

    def _lose(self, lasts_s: float) -> None:
        self._lost_until = max(self._lost_until, steady_time() + lasts_s)

    def _lose_until_told(self) -> None:
        self._lost_until = float("inf")

    def _ledger_nodes(self) -> list[str]:
        return [name for name in sorted(self._deployment.programs) if name.startswith("ledger")]

    def _any_ledger_node(self) -> str:
        leader = self._deployment.leader()
        if leader is not None and self._rng.random() < LEADER_SHARE:
            return leader
        return self._rng.choice(self._ledger_nodes())

    async def _kill_ledger_node(self) -> str:
        if not self._may_lose():
            return ""
        name, lasts_s = self._any_ledger_node(), self._lasts_s()
        self._lose(lasts_s)
        await self._kill(name, lasts_s)
        return f"{name}: killed, its journal torn"

    async def _kill(self, name: str, lasts_s: float) -> None:
        with self._record.disturbances.at(LEDGER):
            await self._deployment.programs[name].kill()
            self._deployment.tear_journal(name)
            await asyncio.sleep(lasts_s)
            await self._start_ledger_nodes(name)

    async def _start_ledger_nodes(self, *names: str) -> None:
        programs = [self._deployment.programs[name] for name in names]
        for program in programs:
            program.start()
        await asyncio.gather(*(program.started() for program in programs))

    async def _wipe_ledger_node(self) -> str:
        if not self._may_lose_files():
            return ""
        name, lasts_s = self._any_ledger_node(), self._lasts_s()
        self._lose(lasts_s)
        with self._record.disturbances.at(LEDGER):
            await self._deployment.programs[name].kill()
            self._deployment.wipe(name)
            await asyncio.sleep(lasts_s)
            await self._start_ledger_nodes(name)
        return f"{name}: its disk lost"

    async def _pause_ledger_node(self) -> str:
        if not self._may_lose():
            return ""
        name, lasts_s = self._any_ledger_node(), self._lasts_s()
        self._lose(lasts_s)
        await self._pause(name, lasts_s)
        return f"{name}: paused"

    async def _pause(self, name: str, lasts_s: float) -> None:
        with self._record.disturbances.at(LEDGER):
            self._deployment.programs[name].pause()
            await asyncio.sleep(lasts_s)
            self._deployment.programs[name].resume()

    async def _stop_ledger_node(self) -> str:
        if not self._may_lose():
            return ""
        name = self._any_ledger_node()
        self._lose_until_told()
        told = await self._stop(name, LEDGER)
        self._lost_until = steady_time()
        return told

    async def _replace_ledger_node(self) -> str:
        name = self._any_ledger_node()
        if not self._may_lose_files() or not self._deployment.may_replace(name):
            return ""
        self._lose_until_told()
        with self._record.disturbances.at(LEDGER):
            added = await self._deployment.replace_ledger_node(name)
            await self._deployment.programs[added].started()
        self._record.counts["ledger nodes replaced"] += 1
        self._lost_until = steady_time() + REPLACED_S
        return f"{name}: replaced by {added}, its address silent for good"

    async def _two_leaders_in_a_row(self) -> str:
        """The second one goes as soon as it leads, mostly before the first one is back."""
        first = self._deployment.leader()
        if first is None or not self._may_lose():
            return ""
        self._lose_until_told()
        loop = asyncio.get_running_loop()
        first_strike = loop.create_task(self._strike(first))
        give_up_at = steady_time() + ELECTION_S
        while self._deployment.leader() == first and steady_time() < give_up_at:
            await asyncio.sleep(0.05)
        second = self._deployment.leader() or first
        if second == first:
            await first_strike
        told = await self._strike(second)
        told = f"{await first_strike}, then {told}"
        self._lost_until = steady_time()
        return told

    async def _strike(self, name: str) -> str:
        lasts_s = self._rng.uniform(*STRUCK_S)
        how = self._rng.choice(["paused", "killed", "unreachable", "stopped"])
        if how == "paused":
            await self._pause(name, lasts_s)
        elif how == "killed":
            await self._kill(name, lasts_s)
        elif how == "unreachable":
            await self._disturb_link(f"to {name}", LinkFault.SILENT, lasts_s)
        else:
            await self._stop(name, LEDGER)
        self._record.counts["leaders struck"] += 1
        return f"{name}: led, {how}"

    async def _fill_disk(self) -> str:
        if not self._may_lose():
            return ""
        name, lasts_s = self._any_ledger_node(), self._lasts_s()
        self._lose(lasts_s)
        program = self._deployment.programs[name]
        with self._record.disturbances.at(LEDGER):
            program.refuse_writes(True)
            await asyncio.sleep(lasts_s)
            program.refuse_writes(False)
        return f"{name}: its disk refuses writes"

    async def _kill_all_ledger_nodes(self) -> str:
        if not self._may_lose() or self._rng.random() < 0.5:
            return ""
        names = self._ledger_nodes()
        self._lose_until_told()
        with self._record.disturbances.at(LEDGER):
            await asyncio.gather(*(self._deployment.programs[name].kill() for name in names))
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            await self._start_ledger_nodes(*names)
        self._lost_until = steady_time()
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
        program = self._deployment.programs[name]
        with self._record.disturbances.at(name):
            await program.kill()
            await asyncio.sleep(self._rng.uniform(0.1, 1.0))
            program.start()
            self._ending.discard(name)
            await program.started()
        return f"{name}: killed"

    async def _stop_gateway(self) -> str:
        return await self._stop_one_gateway(self._any_gateway())

    async def _stop_one_gateway(self, name: str) -> str:
        if name in self._ending or not self._deployment.programs[name].running:
            return ""
        self._ending.add(name)
        told = await self._stop(name, name)
        self._ending.discard(name)
        return told

    async def _roll_gateways(self) -> str:
        """One after another, the next one before the last one is back."""
        names = [name for name in sorted(self._deployment.programs) if name.startswith("gateway")]
        self._rng.shuffle(names)
        stops: list[asyncio.Task[str]] = []
        for name in names[:MOST_ROLLED]:
            stop = asyncio.get_running_loop().create_task(self._stop_one_gateway(name))
            stops.append(stop)
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        return ", ".join(filter(None, await asyncio.gather(*stops)))

    async def _stop(self, name: str, place: str) -> str:
        program = self._deployment.programs[name]
        with self._record.disturbances.at(place):
            if not await program.terminate():
                self._record.breaks("a stopped program ends in time", name)
            program.start()
            await program.started()
        return f"{name}: stopped and started"

    async def _pause_gateway(self) -> str:
        name, lasts_s = self._any_gateway(), self._lasts_s()
        program = self._deployment.programs[name]
        if not program.running or program.paused:
            return ""
        with self._record.disturbances.at(name):
            program.pause()
            await asyncio.sleep(lasts_s)
            program.resume()
        return f"{name}: paused"

    # The store and samplers.

    async def _store_fault(self) -> str:
        lasts_s = self._lasts_s()
        fault = self._rng.choice(["down_s", "delay_s", "lost_answer_probability"])
        amount = {"down_s": lasts_s, "delay_s": 0.2, "lost_answer_probability": 0.4}[fault]
        with self._record.disturbances.at(LEDGER):
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
