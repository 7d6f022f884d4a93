"""Item scheduling, moves and planned weight loads, with explicit times and no I/O."""

from __future__ import annotations

import testtools

from stileloom.api.dialect import LoadStrategy
from stileloom.api.jobs import ItemProgress, JobItem, JobSubmission
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.http.native_dialect import NativeDialect
from stileloom.jobs.intake import item_size
from stileloom.jobs.job_terms import JobTerms
from stileloom.jobs.model_versions import assign_samplers
from stileloom.jobs.open_items import ItemSize
from stileloom.jobs.registry import JobRecord, JobRegistry
from stileloom.jobs.scheduler import EVENT_TIMEOUT_S, ItemScheduler
from stileloom.jobs.version_planner import LOAD_DELAY_S, VersionPlanner, max_concurrent_loads
from stileloom.proxy.sampler_table import FAILURE_COOLDOWN_S, SamplerTable

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


class SchedulerFixture:
    """A scheduler and a version planner over the given samplers."""

    def __init__(self, *entries: SamplerEntry, models: tuple[str, ...] = ("m",)) -> None:
        self.samplers = SamplerTable()
        self.samplers.replace_all(list(entries))
        self.scheduler = ItemScheduler(self.samplers)
        self.planner = VersionPlanner(self.scheduler, self.samplers)
        self.models = list(models)
        for sampler in entries:
            for model, version in sampler.model_versions.items():
                self.scheduler.models_of(sampler.sampler_id).record_version(model, version)
        self.scheduler.assign_models(SERVICE, self.models)

    def adopt(
        self,
        job: JobRecord,
        now: float = 0.0,
        sizes: dict[str, ItemSize] | None = None,
        tokens_per_event: float = 50.0,
        single_version: bool = False,
    ) -> None:
        """Adopts a job."""
        terms = JobTerms(SERVICE, single_version, 3, 60.0, tokens_per_event)
        self.scheduler.adopt_job(job, job.submission.items, terms, sizes or {}, now)

    def starts(self, now: float = 0.0) -> dict[str, str]:
        """Starts the due items; returns the sampler by item id."""
        self.scheduler.assign_models(SERVICE, self.models)
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
        fixture = SchedulerFixture(entry("a"), entry("b"))
        fixture.adopt(record("j", 9))
        placed = list(fixture.starts().values())
        self.assertEqual({"a": 2, "b": 2}, {name: placed.count(name) for name in placed})

    def test_an_item_waits_for_a_version_that_its_job_allows(self) -> None:
        fixture = SchedulerFixture(entry("a"))
        fixture.adopt(record("j", 1, min_version=2))
        self.assertEqual({}, fixture.starts())
        fixture.scheduler.models_of("a").record_version("m", 2)
        self.assertEqual({"j-i0": "a"}, fixture.starts())

    def test_the_longest_item_starts_first(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=1))
        fixture.adopt(record("j", 2), sizes={"j-i1": ItemSize(9000.0)})
        self.assertEqual({"j-i1": "a"}, fixture.starts())

    def test_a_sampler_with_a_full_cache_gets_no_more_runs(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=8))
        fixture.scheduler.cache_tokens[SERVICE] = 500
        fixture.adopt(record("j", 3), sizes={f"j-i{n}": ItemSize(400.0, 50.0) for n in range(3)})
        self.assertEqual(2, len(fixture.starts()))

    def test_a_run_without_events_becomes_unresponsive(self) -> None:
        fixture = SchedulerFixture(entry("a"))
        fixture.adopt(record("j", 1))
        fixture.starts()
        self.assertEqual([], fixture.scheduler.unresponsive_runs(EVENT_TIMEOUT_S - 0.1))
        self.assertEqual(1, len(fixture.scheduler.unresponsive_runs(EVENT_TIMEOUT_S + 0.1)))

    def test_a_long_run_on_a_slow_sampler_moves_to_a_faster_one(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=1), entry("b", slots=1))
        fixture.adopt(record("j", 1), sizes={"j-i0": ItemSize(20000.0)})
        (sampler,) = fixture.starts().values()
        (item,) = fixture.scheduler.items.values()
        for number in range(1, 20):
            item.partial.add(number, "x", 1)
            fixture.scheduler.record_event(item, number * 0.3)
        now = 19 * 0.3
        self.assertEqual([item], fixture.scheduler.slow_runs(now))
        faster = fixture.scheduler.faster_sampler(item, now)
        self.assertNotIn(faster, (None, sampler))
        fixture.scheduler.end_run(item)
        fixture.scheduler.start_on(item, str(faster), now)
        self.assertEqual(1, fixture.scheduler.stats(str(faster)).running)

    def test_a_new_leader_uses_the_recorded_event_intervals(self) -> None:
        fixture = SchedulerFixture(entry("a"), entry("b"))
        fixture.adopt(record("j", 1))
        (first,) = fixture.starts().values()
        (item,) = fixture.scheduler.items.values()
        for number in range(1, 60):
            fixture.scheduler.record_event(item, number * 0.2)
        measured = fixture.scheduler.measured_intervals(12.0)
        self.assertEqual([first], list(measured))
        later = ItemScheduler(fixture.samplers, measured)
        self.assertAlmostEqual(0.2, later.stats(first).interval_s, places=2)
        self.assertEqual({}, later.measured_intervals(12.0))

    def test_slow_runs_do_not_all_move_to_the_same_free_slot(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=2), entry("b", slots=1))
        fixture.scheduler.stats("b").refused_until = 1.0
        fixture.adopt(record("j", 2), sizes={f"j-i{n}": ItemSize(20000.0) for n in range(2)})
        fixture.starts()
        for number in range(1, 20):
            for item in fixture.scheduler.items.values():
                item.partial.add(number, "x", 1)
                fixture.scheduler.record_event(item, number * 0.3)
        now = 19 * 0.3
        first, second = fixture.scheduler.slow_runs(now)
        fixture.scheduler.end_run(first, avoid=True)
        fixture.scheduler.start_on(first, "b", now)
        self.assertIsNone(fixture.scheduler.faster_sampler(second, now))

    def test_long_items_go_to_the_fastest_sampler_while_it_has_free_slots(self) -> None:
        """Load must not outweigh speed: a full sampler is nearly as fast as an idle one."""
        fixture = SchedulerFixture(entry("fast", slots=4), entry("slow", slots=4))
        fixture.scheduler.stats("fast").interval_s = 0.038
        fixture.scheduler.stats("slow").interval_s = 0.053
        fixture.adopt(record("j", 5), sizes={f"j-i{n}": ItemSize(9000.0 - n) for n in range(5)})
        placed = fixture.starts()
        self.assertEqual(["fast"] * 4 + ["slow"], [placed[f"j-i{n}"] for n in range(5)])

    def test_remaining_events_depend_on_the_tokens_per_event_of_the_service(self) -> None:
        for tokens_per_event, events_left in ((50.0, 20.0), (10.0, 100.0)):
            fixture = SchedulerFixture(entry("a"))
            sizes = {"j-i0": ItemSize(1000.0)}
            fixture.adopt(record("j", 1), sizes=sizes, tokens_per_event=tokens_per_event)
            (item,) = fixture.scheduler.items.values()
            self.assertEqual(events_left, fixture.scheduler.events_left(item))

    def test_an_item_is_not_expected_to_exceed_the_limit_of_its_output(self) -> None:
        fixture = SchedulerFixture(entry("a"))
        fixture.adopt(record("j", 1), sizes={"j-i0": ItemSize(500.0, max_tokens=5000.0)})
        (item,) = fixture.scheduler.items.values()
        for number in range(1, 91):
            item.partial.add(number, "x", 1)
        self.assertEqual(10.0, fixture.scheduler.events_left(item))

    def test_a_sampler_that_loaded_weights_is_not_taken_for_slow(self) -> None:
        fixture = SchedulerFixture(entry("a"))
        fixture.adopt(record("j", 1))
        fixture.starts()
        (item,) = fixture.scheduler.items.values()
        models = fixture.scheduler.models_of("a")
        for number in range(1, 5):
            fixture.scheduler.record_event(item, number * 0.05)
        models.loading = "m"
        fixture.scheduler.record_event(item, 1.2)
        models.loading, models.load_ended_at = None, 1.25
        fixture.scheduler.record_event(item, 1.3)
        fixture.scheduler.record_event(item, 1.35)
        self.assertAlmostEqual(0.05, fixture.scheduler.stats("a").interval_s, places=2)

    def test_a_run_that_paused_once_does_not_make_its_sampler_slow(self) -> None:
        fixture = SchedulerFixture(entry("a"))
        fixture.adopt(record("j", 1))
        fixture.starts()
        (item,) = fixture.scheduler.items.values()
        for number in range(1, 40):
            fixture.scheduler.record_event(item, number * 0.05)
        before = fixture.scheduler.stats("a").interval_s
        fixture.scheduler.record_event(item, 39 * 0.05 + 1.2)
        self.assertLess(fixture.scheduler.stats("a").interval_s, 2 * before)

    def test_a_moved_run_does_not_come_back_while_another_sampler_has_room(self) -> None:
        fixture = SchedulerFixture(entry("a"), entry("b"))
        fixture.adopt(record("j", 1))
        (first,) = fixture.starts().values()
        (item,) = fixture.scheduler.items.values()
        fixture.scheduler.end_run(item, avoid=True)
        fixture.scheduler.stats(first).interval_s = 0.001
        self.assertNotEqual([first], list(fixture.starts().values()))

    def test_a_sampler_that_does_not_answer_gets_one_run_after_a_while(self) -> None:
        """Guards against repeated connection attempts to samplers that do not answer."""
        fixture = SchedulerFixture(entry("a", slots=4), entry("b", slots=4))
        fixture.samplers.record_failure("a", 0.0)
        fixture.adopt(record("j", 12))
        self.assertEqual({"b"}, set(fixture.starts(0.0).values()))
        self.assertEqual({}, fixture.starts(FAILURE_COOLDOWN_S - 0.1))
        probe = fixture.starts(FAILURE_COOLDOWN_S + 0.1)
        self.assertEqual(["a"], list(probe.values()))
        self.assertEqual({}, fixture.starts(FAILURE_COOLDOWN_S + 0.2))
        (item,) = [fixture.scheduler.items["j", item_id] for item_id in probe]
        fixture.scheduler.record_event(item, FAILURE_COOLDOWN_S + 0.3)
        self.assertEqual(["a"] * 3, list(fixture.starts(FAILURE_COOLDOWN_S + 0.4).values()))

    def test_a_new_leader_resumes_from_saved_events(self) -> None:
        registry = JobRegistry()
        job = record("j", 1)
        registry.submit(job.submission)
        registry.save("j", [ItemProgress("j-i0", 0, ["a", "b"], 2, [1])])
        fixture = SchedulerFixture(entry("a"))
        fixture.adopt(registry.jobs["j"])
        (item,) = fixture.scheduler.items.values()
        self.assertEqual(["a", "b"], item.partial.parts)
        self.assertEqual(2, item.partial.last_event_id)
        self.assertEqual(2, item.saved_parts)

    def test_a_reused_item_resumes_only_if_its_versions_are_accepted(self) -> None:
        for min_version, resumed_events in ((1, 1), (2, 0)):
            fixture = SchedulerFixture(entry("a"))
            first = record("j", 1)
            fixture.adopt(first)
            (item,) = fixture.scheduler.items.values()
            item.partial.add(1, "x", 1)
            fixture.scheduler.remove_job("j")
            later = JobRecord(
                JobSubmission("k", "h", "/p", 1, "m", min_version, 1, list(first.submission.items))
            )
            fixture.adopt(later)
            (item,) = fixture.scheduler.items.values()
            self.assertEqual(resumed_events, len(item.partial.parts))
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
        fixture = SchedulerFixture(*entries, models=("m", "n"))
        fixture.adopt(record("j", 2, min_version=7))
        self.assertEqual({"c", "d"}, set(fixture.starts().values()))


class VersionPlannerTest(testtools.TestCase):
    """Planned weight loads."""

    def test_idle_samplers_load_a_few_at_a_time_after_a_delay(self) -> None:
        fixture = SchedulerFixture(*(entry(name) for name in "abc"))
        fixture.planner.set_target("m", 2, 0.0)
        self.assertEqual([], fixture.loads(LOAD_DELAY_S / 2))
        loads = fixture.loads(LOAD_DELAY_S + 0.1)
        self.assertEqual(2, len(loads))
        self.assertEqual({LoadStrategy.WAIT}, {load[2] for load in loads})
        self.assertEqual([], fixture.loads(LOAD_DELAY_S + 0.2))

    def test_of_many_samplers_more_load_together(self) -> None:
        """Guards against loads that fall behind the announced versions in a large service."""
        self.assertEqual([2, 2, 2, 10], [max_concurrent_loads(count) for count in (1, 5, 6, 25)])
        fixture = SchedulerFixture(*(entry(f"s{number:02}") for number in range(24)))
        fixture.planner.set_target("m", 2, 0.0)
        self.assertEqual(9, len(fixture.loads(LOAD_DELAY_S + 0.1)))

    def test_as_many_samplers_load_ahead_as_half_of_a_job_needs(self) -> None:
        fixture = SchedulerFixture(*(entry(f"s{number:02}", slots=4) for number in range(24)))
        fixture.adopt(record("j", 40))
        fixture.planner.set_target("m", 2, 0.0)
        fixture.scheduler.remove_job("j")
        self.assertEqual(5, len(fixture.loads(LOAD_DELAY_S + 0.1)))
        self.assertEqual([], fixture.loads(LOAD_DELAY_S + 0.2))

    def test_samplers_that_skipped_a_version_load_the_next_one_first(self) -> None:
        versions = {"a": 3, "b": 2, "c": 3, "d": 2}
        fixture = SchedulerFixture(
            *(entry(name, slots=2, versions={"m": held}) for name, held in versions.items())
        )
        fixture.adopt(record("j", 8))
        fixture.planner.set_target("m", 4, 0.0)
        fixture.scheduler.remove_job("j")
        self.assertEqual(["b", "d"], [load[0] for load in fixture.loads(LOAD_DELAY_S + 0.1)])

    def test_all_samplers_load_a_version_that_waiting_items_require(self) -> None:
        fixture = SchedulerFixture(*(entry(f"s{number}") for number in range(4)))
        fixture.adopt(record("j", 2, min_version=2))
        fixture.planner.set_target("m", 2, 0.0)
        first = fixture.loads(0.0)
        self.assertEqual(2, len(first))
        for load in first:
            models = fixture.scheduler.models_of(load[0])
            models.loading = None
            models.record_version("m", 2)
        self.assertEqual(2, len(fixture.loads(0.1)))

    def test_concurrent_evacuations_do_not_use_the_same_free_slots(self) -> None:
        """Guards against evacuations that together exceed the free slots."""
        fixture = SchedulerFixture(*(entry(name, slots=5) for name in "abcdefghij"))
        fixture.adopt(record("j", 50))
        placed = fixture.starts()
        for key, open_item in list(fixture.scheduler.items.items()):
            if placed[key[1]] in "abcd" and fixture.scheduler.running_on(placed[key[1]], "m") > 2:
                fixture.scheduler.end_run(open_item)
                open_item.finished = True
        fixture.planner.set_target("m", 2, 0.0)
        evacuated = [load[3] for load in fixture.loads(LOAD_DELAY_S + 0.1)]
        self.assertEqual([2, 2], evacuated)

    def test_a_busy_sampler_does_not_load_a_version_that_no_item_requires(self) -> None:
        fixture = SchedulerFixture(entry("a"))
        fixture.adopt(record("j", 2))
        fixture.starts()
        fixture.planner.set_target("m", 2, 0.0)
        self.assertEqual([], fixture.loads(LATER))

    def test_a_version_that_waiting_items_require_is_loaded_while_others_run(self) -> None:
        fixture = SchedulerFixture(entry("a"))
        fixture.adopt(record("j", 1))
        fixture.starts()
        fixture.adopt(record("k", 1, min_version=2))
        fixture.planner.set_target("m", 2, 0.0)
        self.assertEqual([("a", 2, LoadStrategy.RETAIN, 0)], fixture.loads(0.0))

    def test_few_runs_are_evacuated_before_a_load(self) -> None:
        fixture = SchedulerFixture(entry("a", slots=8), entry("b", slots=8))
        fixture.adopt(record("j", 2))
        fixture.starts()
        fixture.planner.set_target("m", 2, 0.0)
        (load,) = [load for load in fixture.loads(LOAD_DELAY_S + 0.1) if load[3]][:1]
        self.assertEqual(LoadStrategy.WAIT, load[2])

    def test_versions_never_decrease(self) -> None:
        fixture = SchedulerFixture(entry("a", versions={"m": 5}))
        fixture.planner.set_target("m", 4, 0.0)
        self.assertEqual([], fixture.loads(LATER))
        self.assertFalse(fixture.planner.set_target("m", 3, 1.0))


class ItemSizeTest(testtools.TestCase):
    """Size estimates from request headers."""

    def test_a_length_hint_is_capped_by_the_token_limit(self) -> None:
        names = NativeDialect().names
        headers = {names.token_usage: "540,400", names.length_hint: "39450"}
        self.assertEqual(ItemSize(400.0, 540.0, 400.0), item_size(headers, names))
        limited = {names.token_usage: "540,400"}
        self.assertEqual(ItemSize(200.0, 540.0, 400.0), item_size(limited, names))
