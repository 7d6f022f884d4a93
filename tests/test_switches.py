"""Each feature switch disables its mechanism and no other."""

from __future__ import annotations

import random
import tempfile
from pathlib import Path

import msgspec
import testtools

from stileloom.api.dialect import LoadStrategy
from stileloom.errors import StileloomError
from stileloom.jobs.open_items import ItemSize
from stileloom.jobs.order_window import OrderWindow
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.jobs.version_planner import SETTLE_S, VersionPlanner
from stileloom.ledger import LedgerReplica, fresh_ledger
from stileloom.ledger.commands import StartEpoch
from stileloom.ledger.messages import Entry, HardState
from stileloom.proxy.attempt_plan import AttemptPlan
from stileloom.service_settings import ServiceSettings
from stileloom.settings_file import load_settings
from stileloom.switches import Switches
from stileloom.transport.compression import PLAIN, pack
from tests.ablation import BASELINE, Play, Played, report
from tests.test_item_scheduler import SERVICE, Desk, entry, record
from tests.test_ledger import VOTERS, FakeLedger

SETTINGS = 'node_id = "n"\nzone = "z"\nhost = "10.0.0.1"\nstore = "10.0.0.2:1"\n'


class SettingsTest(testtools.TestCase):
    """Loading of switches from a settings file."""

    def load(self, text: str) -> ServiceSettings:
        """Loads settings from a file with this text appended."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(SETTINGS + text)
            return load_settings(path, ServiceSettings)

    def test_switches_are_on_by_default_and_disabled_individually(self) -> None:
        self.assertEqual(Switches(), self.load("").switches)
        for name in Switches.__struct_fields__:
            expected = msgspec.structs.replace(Switches(), **{name: False})
            self.assertEqual(expected, self.load(f"[switches]\n{name} = false\n").switches)

    def test_an_unknown_name_is_rejected(self) -> None:
        self.assertRaises(StileloomError, self.load, "[switches]\nmove = false\n")


class SchedulerSwitchTest(testtools.TestCase):
    """Switches of the item scheduler and the version planner."""

    def desk(self, **off: bool) -> Desk:
        """A scheduler with a fast and a slow sampler and the given switches."""
        desk = Desk(entry("fast", slots=4), entry("slow", slots=4))
        switches = msgspec.structs.replace(Switches(), **off)
        desk.scheduler = ItemScheduler(desk.samplers, {"fast": 0.04, "slow": 0.05}, switches)
        desk.planner = VersionPlanner(desk.scheduler, desk.samplers, switches)
        for sampler in ("fast", "slow"):
            desk.scheduler.models_of(sampler).saw("m", 1)
        return desk

    def placed(self, desk: Desk, items: int) -> list[str]:
        """The samplers on which items of decreasing length start."""
        sizes = {f"j-i{n}": ItemSize(9000.0 - n) for n in range(items)}
        desk.adopt(record("j", items), sizes=sizes)
        starts = desk.starts()
        return [starts[f"j-i{n}"] for n in range(items)]

    def test_fastest_first(self) -> None:
        self.assertEqual(["fast"] * 3, self.placed(self.desk(), 3))
        self.assertIn("slow", self.placed(self.desk(fastest_first=False), 3))

    def test_group_bonus(self) -> None:
        for on, cost_is_lower in ((True, True), (False, False)):
            desk = self.desk(group_bonus=on)
            desk.adopt(record("j", 1))
            (item,) = desk.scheduler.items.values()
            sampler = desk.samplers.get("fast")
            assert sampler is not None
            before = desk.scheduler._cost(item, sampler)
            desk.scheduler.pace("fast").groups.add(item.item.group)
            self.assertEqual(cost_is_lower, desk.scheduler._cost(item, sampler) < before)

    def test_kept_texts(self) -> None:
        for on in (True, False):
            desk = self.desk(kept_texts=on)
            desk.adopt(record("j", 1))
            (item,) = desk.scheduler.items.values()
            item.partial.add(1, "x", 1)
            desk.scheduler.drop_job("j")
            self.assertEqual(on, bool(desk.scheduler._kept))

    def test_sampler_shares(self) -> None:
        for on in (True, False):
            desk = self.desk(sampler_shares=on)
            self.assertEqual(on, bool(desk.scheduler.share_out(SERVICE, ["m", "other"])))

    def test_loads(self) -> None:
        after_settling = SETTLE_S + 1
        for name, expected in (("parallel_loads", 1), ("evacuation", 2)):
            desk = self.desk(**{name: False})
            desk.planner.named("m", 2, 0.0)
            self.assertEqual(expected, len(desk.loads(after_settling)), name)

    def test_without_evacuation_runs_are_retained_during_a_required_load(self) -> None:
        for on in (True, False):
            desk = self.desk(evacuation=on)
            self.placed(desk, 1)
            desk.samplers.put(entry("new", slots=4, versions={"m": 2}))
            desk.scheduler.models_of("new").saw("m", 2)
            desk.planner.named("m", 2, 0.0)
            job = record("next", 1, min_version=2)
            desk.adopt(job)
            loads = {row[0]: row for row in desk.loads(SETTLE_S + 1)}
            strategy = LoadStrategy.WAIT if on else LoadStrategy.RETAIN
            self.assertEqual((strategy, int(on)), loads["fast"][2:])


class OtherSwitchTest(testtools.TestCase):
    """Switches of gateways, frames and the ledger."""

    def test_hedging(self) -> None:
        plan = AttemptPlan("s", "z", True, 3, 0.2, 0.0)
        plan.started("a", 1.0)
        self.assertLess(plan.hedge_at(), 2.0)
        plan.hedges = False
        self.assertEqual(float("inf"), plan.hedge_at())

    def test_compression(self) -> None:
        self.assertEqual(PLAIN, pack(b"text " * 500, compress=False)[:1])

    def test_order_windows(self) -> None:
        ledger = FakeLedger()
        window = OrderWindow("a", ledger, needed=False)
        self.assertTrue(window.is_open())
        ledger.acts = False
        self.assertFalse(window.is_open())
        self.assertEqual([], ledger.proposed)

    def test_restart_head_start(self) -> None:
        recovered = fresh_ledger(VOTERS)
        recovered.hard_state = HardState(1, None)
        recovered.entries = [Entry(1, 1, StartEpoch("a"))]
        election_times = []
        for on in (True, False):
            switches = Switches(restart_head_start=on)
            replica = LedgerReplica(VOTERS[0], recovered, random.Random(1), 0.0, 3, switches)
            election_times.append(next(n for n in range(400) if replica.tick(n * 0.01)) * 0.01)
        self.assertLess(election_times[0], 0.3)
        self.assertGreater(election_times[1], 0.7)

    def test_the_report_compares_each_switch_with_the_baseline(self) -> None:
        def played(switch: str, seed: int, worth: float | None, broken: str = "") -> Played:
            return Played(Play(switch, "x/site.toml", "d", seed), worth, broken)

        lines = report(
            [
                played(BASELINE, 1, 0.8),
                played(BASELINE, 2, 0.6),
                played("moves", 1, 0.7),
                played("moves", 2, 0.6, "LOST 1"),
                played("moves", 3, None),
            ]
        )
        self.assertEqual("| site | moves | 2 | 0.650 | +0.050 | 1 |", lines[1])
