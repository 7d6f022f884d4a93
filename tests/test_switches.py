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
from stileloom.jobs.version_planner import LOAD_DELAY_S, VersionPlanner
from stileloom.ledger import LedgerReplica, empty_ledger
from stileloom.ledger.commands import StartEpoch
from stileloom.ledger.messages import Entry, HardState
from stileloom.proxy.attempt_plan import AttemptPlan
from stileloom.service_settings import ServiceSettings
from stileloom.settings_file import load_settings
from stileloom.switches import Switches
from stileloom.transport.compression import PLAIN, pack
from tests.ablation import BASELINE, Play, Played, report
from tests.test_item_scheduler import SERVICE, SchedulerFixture, entry, record
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

    def fixture(self, **off: bool) -> SchedulerFixture:
        """A scheduler with a fast and a slow sampler and the given switches."""
        fixture = SchedulerFixture(entry("fast", slots=4), entry("slow", slots=4))
        switches = msgspec.structs.replace(Switches(), **off)
        fixture.scheduler = ItemScheduler(fixture.samplers, {"fast": 0.04, "slow": 0.05}, switches)
        fixture.planner = VersionPlanner(fixture.scheduler, fixture.samplers, switches)
        for sampler in ("fast", "slow"):
            fixture.scheduler.models_of(sampler).record_version("m", 1)
        return fixture

    def placed(self, fixture: SchedulerFixture, items: int) -> list[str]:
        """The samplers on which items of decreasing length start."""
        sizes = {f"j-i{n}": ItemSize(9000.0 - n) for n in range(items)}
        fixture.adopt(record("j", items), sizes=sizes)
        starts = fixture.starts()
        return [starts[f"j-i{n}"] for n in range(items)]

    def test_fastest_first(self) -> None:
        self.assertEqual(["fast"] * 3, self.placed(self.fixture(), 3))
        self.assertIn("slow", self.placed(self.fixture(fastest_first=False), 3))

    def test_group_bonus(self) -> None:
        for on, cost_is_lower in ((True, True), (False, False)):
            fixture = self.fixture(group_bonus=on)
            fixture.adopt(record("j", 1))
            (item,) = fixture.scheduler.items.values()
            sampler = fixture.samplers.get("fast")
            assert sampler is not None
            before = fixture.scheduler._cost(item, sampler)
            fixture.scheduler.stats("fast").groups.add(item.item.group)
            self.assertEqual(cost_is_lower, fixture.scheduler._cost(item, sampler) < before)

    def test_kept_texts(self) -> None:
        for on in (True, False):
            fixture = self.fixture(kept_texts=on)
            fixture.adopt(record("j", 1))
            (item,) = fixture.scheduler.items.values()
            item.partial.add(1, "x", 1)
            fixture.scheduler.remove_job("j")
            self.assertEqual(on, bool(fixture.scheduler._retained_texts))

    def test_sampler_shares(self) -> None:
        for on in (True, False):
            fixture = self.fixture(sampler_shares=on)
            self.assertEqual(on, bool(fixture.scheduler.assign_models(SERVICE, ["m", "other"])))

    def test_loads(self) -> None:
        after_settling = LOAD_DELAY_S + 1
        for name, expected in (("parallel_loads", 1), ("evacuation", 2)):
            fixture = self.fixture(**{name: False})
            fixture.planner.set_target("m", 2, 0.0)
            self.assertEqual(expected, len(fixture.loads(after_settling)), name)

    def test_without_evacuation_runs_are_retained_during_a_required_load(self) -> None:
        for on in (True, False):
            fixture = self.fixture(evacuation=on)
            self.placed(fixture, 1)
            fixture.samplers.put(entry("new", slots=4, versions={"m": 2}))
            fixture.scheduler.models_of("new").record_version("m", 2)
            fixture.planner.set_target("m", 2, 0.0)
            job = record("next", 1, min_version=2)
            fixture.adopt(job)
            loads = {row[0]: row for row in fixture.loads(LOAD_DELAY_S + 1)}
            strategy = LoadStrategy.WAIT if on else LoadStrategy.RETAIN
            self.assertEqual((strategy, int(on)), loads["fast"][2:])


class OtherSwitchTest(testtools.TestCase):
    """Switches of gateways, frames and the ledger."""

    def test_hedging(self) -> None:
        plan = AttemptPlan("s", "z", True, 3, 0.2, 0.0)
        plan.record_start("a", 1.0)
        self.assertLess(plan.hedge_at(), 2.0)
        plan.hedges = False
        self.assertEqual(float("inf"), plan.hedge_at())

    def test_compression(self) -> None:
        self.assertEqual(PLAIN, pack(b"text " * 500, compress=False)[:1])

    def test_order_windows(self) -> None:
        ledger = FakeLedger()
        window = OrderWindow("a", ledger, required=False)
        self.assertTrue(window.is_open())
        ledger.has_lease = False
        self.assertFalse(window.is_open())
        self.assertEqual([], ledger.proposed)

    def test_restart_head_start(self) -> None:
        recovered = empty_ledger(VOTERS)
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
