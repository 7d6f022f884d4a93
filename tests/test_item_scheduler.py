"""Item scheduling, moves and planned weight loads, with explicit times and no I/O."""

from __future__ import annotations

import testtools

from stileloom.api.dialect import LoadStrategy
from stileloom.api.jobs import ItemProgress, JobItem, JobSubmission
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.http.native_dialect import NativeDialect
from stileloom.jobs.book import JobBook, JobRecord
from stileloom.jobs.intake import item_size
from stileloom.jobs.model_versions import assign_samplers
from stileloom.jobs.open_items import ItemSize
from stileloom.jobs.scheduler import SILENCE_S, ItemScheduler
from stileloom.jobs.version_planner import SETTLE_S, VersionPlanner, loads_at_once
from stileloom.proxy.sampler_table import SUSPECT_S, SamplerTable

SERVICE = "engines"
LATER = 100.0
"""A time after all delays."""


def entry(name: str, slots: int = 2, versions: dict[str, int] | None = None) -> SamplerEntry:
    """A sampler of the test service."""
    return SamplerEntry(name, SERVICE, ("10.0.0.1", 1), "a", slots, False, versions or {"m": 1})


def record(job_id: str, items: int, **fields: object) -> JobRecord:
    """A job of model `m`."""
    items_list = [JobItem(f"{job_id}-i{n}", "/p", {}, b"", f"g{n}") for n in range(items)]
    values = {"step": 0, "model": "m", "min_version": 1, "desired_groups": 1, **fields}
    return JobRecord(JobSubmission(job_id, "h", "/p", items=items_list, **values))  # type: ignore[arg-type]


class Desk:
    """A scheduler and a version planner over the given samplers."""

    def __init__(self, *entries: SamplerEntry, models: tuple[str, ...] = ("m",)) -> None:
        self.samplers = SamplerTable()
        self.samplers.replace_all(list(entries))
        self.scheduler = ItemScheduler(self.samplers)
        self.planner = VersionPlanner(self.scheduler, self.samplers)
        self.models = list(models)
        for sampler in entries:
            for model, version in sampler.model_versions.items():
                self.scheduler.models_of(sampler.sampler_id).saw(model, version)
        self.scheduler.share_out(SERVICE, self.models)

    def adopt(
        self,
        job: JobRecord,
        now: float = 0.0,
        sizes: dict[str, ItemSize] | None = None,
        tokens_per_event: float = 50.0,
    ) -> None:
        """Adopts a job."""
        self.scheduler.adopt_job(job, SERVICE, False, 3, 60.0, sizes or {}, now, tokens_per_event)

    def starts(self, now: float = 0.0) -> dict[str, str]:
        """Starts the due items; returns the sampler by item id."""
        self.scheduler.share_out(SERVICE, self.models)
        starts = self.scheduler.plan_starts(now, self.models)
        return {start.item.item.item_id: start.sampler_id for start in starts}

    def loads(self, now: float) -> list[tuple[str, int, LoadStrategy, int]]:
        """Planned loads: sampler, version, strategy and number of evacuated runs."""
        return [
            (load.sampler_id, load.version, load.strategy, len(load.evacuate))
            for load in self.planner.plan(now, SERVICE, self.models, set())
        ]


class SchedulerTest(testtools.TestCase):
    """Starts and moves of runs."""

    def test_no_sampler_gets_more_runs_than_slots(self) -> None:
        desk = Desk(entry("a"), entry("b"))
        desk.adopt(record("j", 9))
        placed = list(desk.starts().values())
        self.assertEqual({"a": 2, "b": 2}, {name: placed.count(name) for name in placed})

    def test_an_item_waits_for_a_version_that_its_job_allows(self) -> None:
        desk = Desk(entry("a"))
        desk.adopt(record("j", 1, min_version=2))
        self.assertEqual({}, desk.starts())
        desk.scheduler.models_of("a").saw("m", 2)
        self.assertEqual({"j-i0": "a"}, desk.starts())

    def test_the_longest_item_starts_first(self) -> None:
        desk = Desk(entry("a", slots=1))
        desk.adopt(record("j", 2), sizes={"j-i1": ItemSize(9000.0)})
        self.assertEqual({"j-i1": "a"}, desk.starts())

    def test_a_sampler_with_a_full_cache_gets_no_more_runs(self) -> None:
        desk = Desk(entry("a", slots=8))
        desk.scheduler.cache_tokens[SERVICE] = 500
        desk.adopt(record("j", 3), sizes={f"j-i{n}": ItemSize(400.0, 50.0) for n in range(3)})
        self.assertEqual(2, len(desk.starts()))

    def test_a_run_without_events_becomes_unresponsive(self) -> None:
        desk = Desk(entry("a"))
        desk.adopt(record("j", 1))
        desk.starts()
        self.assertEqual([], desk.scheduler.unresponsive_runs(SILENCE_S - 0.1))
        self.assertEqual(1, len(desk.scheduler.unresponsive_runs(SILENCE_S + 0.1)))

    def test_a_long_run_on_a_slow_sampler_moves_to_a_faster_one(self) -> None:
        desk = Desk(entry("a", slots=1), entry("b", slots=1))
        desk.adopt(record("j", 1), sizes={"j-i0": ItemSize(20000.0)})
        (sampler,) = desk.starts().values()
        (item,) = desk.scheduler.items.values()
        for number in range(1, 20):
            item.partial.add(number, "x", 1)
            desk.scheduler.record_event(item, number * 0.3)
        now = 19 * 0.3
        self.assertEqual([item], desk.scheduler.slow_runs(now))
        faster = desk.scheduler.faster_sampler(item, now)
        self.assertNotIn(faster, (None, sampler))
        desk.scheduler.end_run(item)
        desk.scheduler.start_at(item, str(faster), now)
        self.assertEqual(1, desk.scheduler.pace(str(faster)).running)

    def test_a_new_leader_uses_the_recorded_event_intervals(self) -> None:
        desk = Desk(entry("a"), entry("b"))
        desk.adopt(record("j", 1))
        (first,) = desk.starts().values()
        (item,) = desk.scheduler.items.values()
        for number in range(1, 60):
            desk.scheduler.record_event(item, number * 0.2)
        measured = desk.scheduler.measured_intervals()
        self.assertEqual([first], list(measured))
        later = ItemScheduler(desk.samplers, measured)
        self.assertAlmostEqual(0.2, later.pace(first).interval_s, places=2)
        self.assertEqual({}, later.measured_intervals())

    def test_slow_runs_do_not_all_move_to_the_same_free_slot(self) -> None:
        desk = Desk(entry("a", slots=2), entry("b", slots=1))
        desk.scheduler.pace("b").refused_until = 1.0
        desk.adopt(record("j", 2), sizes={f"j-i{n}": ItemSize(20000.0) for n in range(2)})
        desk.starts()
        for number in range(1, 20):
            for item in desk.scheduler.items.values():
                item.partial.add(number, "x", 1)
                desk.scheduler.record_event(item, number * 0.3)
        now = 19 * 0.3
        first, second = desk.scheduler.slow_runs(now)
        desk.scheduler.end_run(first, avoid=True)
        desk.scheduler.start_at(first, "b", now)
        self.assertIsNone(desk.scheduler.faster_sampler(second, now))

    def test_long_items_go_to_the_fastest_sampler_while_it_has_free_slots(self) -> None:
        """Load must not outweigh speed: a full sampler is nearly as fast as an idle one."""
        desk = Desk(entry("fast", slots=4), entry("slow", slots=4))
        desk.scheduler.pace("fast").interval_s = 0.038
        desk.scheduler.pace("slow").interval_s = 0.053
        desk.adopt(record("j", 5), sizes={f"j-i{n}": ItemSize(9000.0 - n) for n in range(5)})
        placed = desk.starts()
        self.assertEqual(["fast"] * 4 + ["slow"], [placed[f"j-i{n}"] for n in range(5)])

    def test_remaining_events_depend_on_the_tokens_per_event_of_the_service(self) -> None:
        for tokens_per_event, left in ((50.0, 20.0), (10.0, 100.0)):
            desk = Desk(entry("a"))
            sizes = {"j-i0": ItemSize(1000.0)}
            desk.adopt(record("j", 1), sizes=sizes, tokens_per_event=tokens_per_event)
            (item,) = desk.scheduler.items.values()
            self.assertEqual(left, desk.scheduler.events_left(item))

    def test_a_moved_run_does_not_come_back_while_another_sampler_has_room(self) -> None:
        desk = Desk(entry("a"), entry("b"))
        desk.adopt(record("j", 1))
        (first,) = desk.starts().values()
        (item,) = desk.scheduler.items.values()
        desk.scheduler.end_run(item, avoid=True)
        desk.scheduler.pace(first).interval_s = 0.001
        self.assertNotEqual([first], list(desk.starts().values()))

    def test_a_sampler_that_does_not_answer_gets_one_run_after_a_while(self) -> None:
        """Guards against repeated connection attempts to samplers that do not answer."""
        desk = Desk(entry("a", slots=4), entry("b", slots=4))
        desk.samplers.failed("a", 0.0)
        desk.adopt(record("j", 12))
        self.assertEqual({"b"}, set(desk.starts(0.0).values()))
        self.assertEqual({}, desk.starts(SUSPECT_S - 0.1))
        probe = desk.starts(SUSPECT_S + 0.1)
        self.assertEqual(["a"], list(probe.values()))
        self.assertEqual({}, desk.starts(SUSPECT_S + 0.2))
        (item,) = [desk.scheduler.items["j", item_id] for item_id in probe]
        desk.scheduler.record_event(item, SUSPECT_S + 0.3)
        self.assertEqual(["a"] * 3, list(desk.starts(SUSPECT_S + 0.4).values()))

    def test_a_new_leader_resumes_from_saved_events(self) -> None:
        book = JobBook()
        job = record("j", 1)
        book.submit(job.submission)
        book.save("j", [ItemProgress("j-i0", 0, ["a", "b"], 2, [1])])
        desk = Desk(entry("a"))
        desk.adopt(book.jobs["j"])
        (item,) = desk.scheduler.items.values()
        self.assertEqual(["a", "b"], item.partial.parts)
        self.assertEqual(2, item.partial.last_event_id)
        self.assertEqual(2, item.saved_parts)

    def test_a_reused_item_resumes_only_if_its_versions_are_accepted(self) -> None:
        for min_version, kept in ((1, 1), (2, 0)):
            desk = Desk(entry("a"))
            first = record("j", 1)
            desk.adopt(first)
            (item,) = desk.scheduler.items.values()
            item.partial.add(1, "x", 1)
            desk.scheduler.drop_job("j")
            later = JobRecord(
                JobSubmission("k", "h", "/p", 1, "m", min_version, 1, list(first.submission.items))
            )
            desk.adopt(later)
            (item,) = desk.scheduler.items.values()
            self.assertEqual(kept, len(item.partial.parts))
            self.assertTrue(item.reused)


class AssignmentTest(testtools.TestCase):
    """Assignment of samplers to models."""

    def test_assignment_is_proportional_and_stable(self) -> None:
        assignment = assign_samplers(list("abcde"), {"m": 2.0, "n": 1.0}, {})
        counts = {model: list(assignment.values()).count(model) for model in ("m", "n")}
        self.assertEqual({"m": 3, "n": 2}, counts)
        again = assign_samplers(list("abcdef"), {"m": 2.0, "n": 1.0}, assignment)
        self.assertEqual(assignment, {name: again[name] for name in assignment})

    def test_too_few_samplers_serve_all_models(self) -> None:
        self.assertEqual({}, assign_samplers(["a"], {"m": 1.0, "n": 1.0}, {}))

    def test_a_new_leader_keeps_the_assignment_of_the_previous_one(self) -> None:
        """Another assignment would delay all items until most samplers have loaded a model."""
        versions = {
            "a": {"m": 1, "n": 6},
            "b": {"m": 1, "n": 6},
            "c": {"m": 7, "n": 1},
            "d": {"m": 7, "n": 1},
        }
        entries = [entry(name, versions=held) for name, held in versions.items()]
        desk = Desk(*entries, models=("m", "n"))
        desk.adopt(record("j", 2, min_version=7))
        self.assertEqual({"c", "d"}, set(desk.starts().values()))


class VersionPlannerTest(testtools.TestCase):
    """Planned weight loads."""

    def test_idle_samplers_load_a_few_at_a_time_after_a_delay(self) -> None:
        desk = Desk(*(entry(name) for name in "abc"))
        desk.planner.named("m", 2, 0.0)
        self.assertEqual([], desk.loads(SETTLE_S / 2))
        loads = desk.loads(SETTLE_S + 0.1)
        self.assertEqual(2, len(loads))
        self.assertEqual({LoadStrategy.WAIT}, {load[2] for load in loads})
        self.assertEqual([], desk.loads(SETTLE_S + 0.2))

    def test_of_many_samplers_more_load_together(self) -> None:
        """Guards against loads that fall behind the announced versions in a large service."""
        self.assertEqual([2, 2, 2, 10], [loads_at_once(count) for count in (1, 5, 6, 25)])
        desk = Desk(*(entry(f"s{number:02}") for number in range(24)))
        desk.planner.named("m", 2, 0.0)
        self.assertEqual(9, len(desk.loads(SETTLE_S + 0.1)))

    def test_concurrent_evacuations_do_not_use_the_same_free_slots(self) -> None:
        """Guards against evacuations that together exceed the free slots."""
        desk = Desk(*(entry(name, slots=5) for name in "abcdefghij"))
        desk.adopt(record("j", 50))
        placed = desk.starts()
        for key, open_item in list(desk.scheduler.items.items()):
            if placed[key[1]] in "abcd" and desk.scheduler.running_on(placed[key[1]], "m") > 2:
                desk.scheduler.end_run(open_item)
                open_item.finished = True
        desk.planner.named("m", 2, 0.0)
        evacuated = [load[3] for load in desk.loads(SETTLE_S + 0.1)]
        self.assertEqual([2, 2], evacuated)

    def test_a_busy_sampler_does_not_load_a_version_that_no_item_requires(self) -> None:
        desk = Desk(entry("a"))
        desk.adopt(record("j", 2))
        desk.starts()
        desk.planner.named("m", 2, 0.0)
        self.assertEqual([], desk.loads(LATER))

    def test_a_version_that_waiting_items_require_is_loaded_while_others_run(self) -> None:
        desk = Desk(entry("a"))
        desk.adopt(record("j", 1))
        desk.starts()
        desk.adopt(record("k", 1, min_version=2))
        desk.planner.named("m", 2, 0.0)
        self.assertEqual([("a", 2, LoadStrategy.RETAIN, 0)], desk.loads(0.0))

    def test_few_runs_are_evacuated_before_a_load(self) -> None:
        desk = Desk(entry("a", slots=8), entry("b", slots=8))
        desk.adopt(record("j", 2))
        desk.starts()
        desk.planner.named("m", 2, 0.0)
        (load,) = [load for load in desk.loads(SETTLE_S + 0.1) if load[3]][:1]
        self.assertEqual(LoadStrategy.WAIT, load[2])

    def test_versions_never_decrease(self) -> None:
        desk = Desk(entry("a", versions={"m": 5}))
        desk.planner.named("m", 4, 0.0)
        self.assertEqual([], desk.loads(LATER))
        self.assertFalse(desk.planner.named("m", 3, 1.0))


class ItemSizeTest(testtools.TestCase):
    """Size estimates from request headers."""

    def test_a_length_hint_is_capped_by_the_token_limit(self) -> None:
        names = NativeDialect().names
        headers = {names.token_usage: "540,400", names.length_hint: "39450"}
        self.assertEqual(ItemSize(400.0, 540.0), item_size(headers, names))
        self.assertEqual(ItemSize(200.0, 540.0), item_size({names.token_usage: "540,400"}, names))
