"""Unit tests of the route table, the sampler table, attempt plans and the job registry."""

from __future__ import annotations

import random

import hypothesis
import testtools
from hypothesis import stateful, strategies

from stileloom.api.jobs import (
    FinishedItem,
    ItemProgress,
    ItemResult,
    ItemState,
    JobItem,
    JobSubmission,
)
from stileloom.api.routes import Backend, Route, RouteConfiguration, RouteKind, Service
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.jobs.registry import PAGE_BYTES, JobRegistry
from stileloom.proxy.attempt_plan import AttemptPlan
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_table import FAILURE_COOLDOWN_S, SamplerChange, SamplerTable

REQUESTS = 200


def route(name: str, prefix: str, *backends: Backend) -> Route:
    """A route for idempotent lookups on host h."""
    parts = list(backends) or [Backend(f"service-{name}", 1.0)]
    return Route(name, "h", prefix, RouteKind.SAFE, parts, 1.0, 0.2, 2)


def entry(name: str, zone: str = "a", draining: bool = False, born_ms: int = 0) -> SamplerEntry:
    """A sampler of service s."""
    return SamplerEntry(name, "s", ("10.0.0.1", 1), zone, 4, draining, {}, born_ms)


class RouteTableTest(testtools.TestCase):
    """Matching, weighted selection and monotonic versions."""

    def table(self, version: int, *routes: Route) -> RouteTable:
        """A table with one configuration."""
        table = RouteTable(random.Random(1))
        table.adopt(RouteConfiguration(version, list(routes), [Service("s", 1)]))
        return table

    def test_the_longest_prefix_wins(self) -> None:
        table = self.table(1, route("short", "/a/"), route("long", "/a/b/"))
        names = {path: table.match("H:80", path) for path in ("/a/x", "/a/b/x", "/a", "/c/")}
        found = {path: match.name if match else None for path, match in names.items()}
        self.assertEqual({"/a/x": "short", "/a/b/x": "long", "/a": None, "/c/": None}, found)
        self.assertIsNone(table.match("other", "/a/x"))

    def test_an_older_configuration_is_never_activated(self) -> None:
        table = self.table(5, route("new", "/a/"))
        self.assertFalse(table.adopt(RouteConfiguration(4, [route("old", "/b/")], [])))
        self.assertFalse(table.adopt(RouteConfiguration(5, [], [])))
        self.assertIsNotNone(table.match("h", "/a/x"))

    @hypothesis.given(strategies.integers(1, 99), strategies.integers())
    def test_shares_are_close_to_the_weights(self, weight: int, seed: int) -> None:
        split = route("r", "/", Backend("x", weight), Backend("y", 100 - weight))
        table = RouteTable(random.Random(seed))
        chosen = [table.choose_backend(split) for _ in range(REQUESTS)]
        self.assertLess(abs(chosen.count("x") / REQUESTS - weight / 100), 0.03)


class SamplerTableTest(testtools.TestCase):
    """Draining, removed and restarted samplers."""

    def test_an_explicit_leave_is_final(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("a")])
        table.put(entry("a", draining=True))
        table.replace_all([entry("a")])
        self.assertEqual([], table.of_service("s"))

    def test_an_expired_entry_may_be_listed_again(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("a")])
        self.assertEqual(["a"], table.replace_all([]))
        table.put(entry("a"))
        self.assertEqual(1, len(table.of_service("s")))

    def test_a_sampler_that_left_and_restarted_under_its_id_is_listed(self) -> None:
        """Guards against excluding a restarted sampler because its id once left."""
        table = SamplerTable()
        table.replace_all([entry("a", born_ms=1000)])
        self.assertEqual(SamplerChange.DRAINING, table.put(entry("a", draining=True, born_ms=1000)))
        table.remove("a")
        self.assertEqual(SamplerChange.NONE, table.put(entry("a", born_ms=1000)))
        self.assertEqual([], table.of_service("s"))
        self.assertEqual(SamplerChange.RESTARTED, table.put(entry("a", born_ms=2000)))
        self.assertEqual(1, len(table.of_service("s")))

    def test_a_restart_clears_recorded_failures(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("a", born_ms=1000)])
        table.record_failure("a", 5.0)
        self.assertEqual(["a"], table.replace_all([entry("a", born_ms=2000)]))
        tracked = table.get("a")
        assert tracked is not None
        self.assertEqual((0, 0.0), (tracked.failures, tracked.avoid_until))

    def test_a_late_entry_of_an_earlier_start_is_ignored(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("a", born_ms=2000)])
        self.assertEqual(SamplerChange.NONE, table.put(entry("a", draining=True, born_ms=1000)))
        self.assertEqual(SamplerChange.NONE, table.put(entry("a", "elsewhere", born_ms=1000)))
        tracked = table.get("a")
        assert tracked is not None
        self.assertEqual((2000, "a"), (tracked.entry.born_ms, tracked.entry.zone))


class AttemptPlanTest(testtools.TestCase):
    """Number of attempts, and selection of their samplers."""

    def plan(self, repeatable: bool) -> AttemptPlan:
        """A plan with at most two attempts."""
        return AttemptPlan("s", "a", repeatable, 2, 0.2, 0.0)

    def test_a_request_that_may_have_run_is_retried_only_if_repeatable(self) -> None:
        for repeatable in (True, False):
            plan = self.plan(repeatable)
            plan.record_start("x", 0.0)
            plan.record_run()
            self.assertEqual(repeatable, plan.may_start())

    def test_a_confirmed_refusal_allows_another_attempt(self) -> None:
        plan = self.plan(False)
        plan.record_start("x", 0.0)
        self.assertFalse(plan.may_start())
        plan.record_refusal("x")
        self.assertTrue(plan.may_start())

    def test_runs_never_exceed_max_attempts(self) -> None:
        plan = self.plan(True)
        for name in ("x", "y"):
            plan.record_start(name, 0.0)
        self.assertFalse(plan.may_start())
        plan.record_run()
        self.assertFalse(plan.may_start())

    def test_own_zone_is_preferred_and_failed_samplers_come_last(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("far", "b"), entry("near", "a")])
        rng = random.Random(1)
        chosen = self.plan(True).select_sampler(table, 0.0, rng)
        assert chosen is not None
        self.assertEqual("near", chosen.entry.sampler_id)
        table.record_failure("near", 0.0)
        chosen = self.plan(True).select_sampler(table, FAILURE_COOLDOWN_S / 2, rng)
        assert chosen is not None
        self.assertEqual("far", chosen.entry.sampler_id)


def linear_match(routes: list[Route], path: str) -> Route | None:
    """The first route with the longest prefix that matches."""
    matching = [route for route in routes if path.startswith(route.path_prefix)]
    return max(matching, key=lambda route: len(route.path_prefix), default=None)


class MatchTest(testtools.TestCase):
    """Routes by prefix."""

    def route(self, number: int, prefix: str) -> Route:
        """A route of one host."""
        backends = [Backend("s", 1.0)]
        return Route(f"r{number}", "h", prefix, RouteKind.SAFE, backends, 1.0, 1.0, 3)

    def table(self, routes: list[Route]) -> RouteTable:
        """A table with these routes."""
        table = RouteTable(random.Random(1))
        table.adopt(RouteConfiguration(1, routes, [Service("s", 5)]))
        return table

    @hypothesis.settings(deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(strategies.text("/ab", max_size=4), max_size=12),
        strategies.lists(strategies.text("/ab", max_size=6), max_size=8),
    )
    def test_the_longest_prefix_matches(self, prefixes: list[str], paths: list[str]) -> None:
        routes = [self.route(number, prefix) for number, prefix in enumerate(prefixes)]
        table = self.table(routes)
        for path in paths:
            self.assertEqual(linear_match(routes, path), table.match("h", path))

    def test_a_match_compares_no_more_routes_when_there_are_thousands(self) -> None:
        """Guards against lookups that take longer with each route of a growing configuration."""

        class CountedPath(str):
            """Counts how often it is cut or compared with a prefix."""

            cuts = 0

            def __getitem__(self, key: object) -> str:
                CountedPath.cuts += 1
                return str.__getitem__(self, key)  # type: ignore[index]

            def startswith(self, *arguments: object) -> bool:
                CountedPath.cuts += 1
                return str.startswith(self, *arguments)  # type: ignore[arg-type]

        routes = [self.route(n, f"/route-{n:04}/") for n in range(2000)]
        found = self.table(routes).match("h", CountedPath("/route-1999/x"))
        self.assertEqual("r1999", found.name if found is not None else None)
        self.assertLess(CountedPath.cuts, 5)


class PageTest(testtools.TestCase):
    """Result pages."""

    def test_a_page_has_at_least_one_result_and_respects_its_limit(self) -> None:
        registry = JobRegistry()
        items = [JobItem(f"i{n}", "/p", {}, b"", "") for n in range(3)]
        registry.submit(JobSubmission("j", "h", "/p", 0, "m", 0, 1, items))
        text = "x" * (PAGE_BYTES // 3)
        finished = [FinishedItem(i.item_id, ItemState.SUCCEEDED, 0, [text], [1]) for i in items]
        registry.record("j", finished)
        first = registry.page("j", 0)
        self.assertEqual((3, 1, 1), (first.total_items, first.next_position, len(first.results)))
        self.assertEqual(3, registry.page("j", 2).next_position)
        self.assertEqual([], registry.page("j", 3).results)


class SavedEventsTest(testtools.TestCase):
    """Two leaders save events of one item; the later one lacks some that the earlier one saved."""

    def test_events_of_the_later_leader_replace_those_it_does_not_know(self) -> None:
        registry = JobRegistry()
        items = [JobItem("a", "/p", {}, b"", "")]
        registry.submit(JobSubmission("j", "h", "/p", 0, "m", 0, 1, items))
        registry.save("j", [ItemProgress("a", 0, ["1", "2", "3"], 3, [1])])
        registry.save("j", [ItemProgress("a", 1, ["two", "three", "four"], 4, [1, 2])])
        registry.record("j", [FinishedItem("a", ItemState.SUCCEEDED, 4, ["five"], [1, 2])])
        (result,) = registry.page("j", 0).results
        self.assertEqual("1\ntwo\nthree\nfour\nfive", result.text)


class JobRegistryMachine(stateful.RuleBasedStateMachine):
    """Model-based test of one job against an append-only list.

    Leaders change: each saves and finishes items from the events it knows.
    """

    ITEMS = ("a", "b", "c")

    def __init__(self) -> None:
        super().__init__()
        self.registry = JobRegistry()
        items = [JobItem(name, "/p", {}, b"", "") for name in self.ITEMS]
        self.submission = JobSubmission("j", "h", "/p", 0, "m", 0, 1, items)
        self.expected: list[ItemResult] = []
        self.saved: dict[str, list[str]] = {}
        self.ended = False

    @stateful.rule()
    def submit(self) -> None:
        """Submitting is idempotent."""
        self.registry.submit(self.submission)

    @stateful.precondition(lambda self: "j" in self.registry.jobs)
    @stateful.rule(
        name=strategies.sampled_from(ITEMS),
        known_count=strategies.integers(0, 4),
        parts=strategies.lists(strategies.text("xyz", min_size=1, max_size=2), max_size=3),
    )
    def save(self, name: str, known_count: int, parts: list[str]) -> None:
        """A leader saves new events after the ones that it knows."""
        if any(result.item_id == name for result in self.expected):
            return
        known = self.saved.get(name, [])[:known_count]
        self.saved[name] = known + parts
        last = len(known) + len(parts)
        self.registry.save("j", [ItemProgress(name, len(known), parts, last, [1])])

    @stateful.precondition(lambda self: "j" in self.registry.jobs)
    @stateful.rule(
        name=strategies.sampled_from([*ITEMS, "foreign"]),
        known_count=strategies.integers(0, 4),
        parts=strategies.lists(strategies.text("xyz", min_size=1, max_size=2), max_size=3),
        state=strategies.sampled_from(list(ItemState)),
    )
    def finish(self, name: str, known_count: int, parts: list[str], state: ItemState) -> None:
        """A leader records a result; only the first result of an item counts."""
        known = self.saved.get(name, [])[:known_count]
        self.registry.record("j", [FinishedItem(name, state, len(known), parts, [1])])
        recorded = any(result.item_id == name for result in self.expected)
        if name in self.ITEMS and not recorded:
            text = "\n".join(known + parts) if state is ItemState.SUCCEEDED else ""
            self.expected.append(ItemResult(name, state, text, [1]))

    @stateful.precondition(lambda self: "j" in self.registry.jobs)
    @stateful.rule()
    def end(self) -> None:
        """Ending a job is final."""
        self.ended = self.registry.end("j")

    @stateful.invariant()
    def positions_never_change(self) -> None:
        """Recorded results keep their position and content."""
        if "j" not in self.registry.jobs:
            return
        job = self.registry.jobs["j"]
        assert [self.registry.load_result(result) for result in job.results] == self.expected
        assert job.ended == self.ended
        assert job.is_open == (not self.ended and len(self.expected) < len(self.ITEMS))


JobRegistryTest = JobRegistryMachine.TestCase
JobRegistryTest.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25, deadline=None, derandomize=True
)
