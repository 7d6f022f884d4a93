"""Routes, the table of samplers, attempts of a lookup, the record of jobs. By hand."""

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
from stileloom.jobs.book import PAGE_BYTES, JobBook
from stileloom.proxy.attempt_plan import AttemptPlan
from stileloom.proxy.route_table import RouteTable
from stileloom.proxy.sampler_table import SUSPECT_S, SamplerChange, SamplerTable

REQUESTS = 200


def route(name: str, prefix: str, *backends: Backend) -> Route:
    """A safe route of host h."""
    parts = list(backends) or [Backend(f"service-{name}", 1.0)]
    return Route(name, "h", prefix, RouteKind.SAFE, parts, 1.0, 0.2, 2)


def entry(name: str, zone: str = "a", draining: bool = False, born_ms: int = 0) -> SamplerEntry:
    """A sampler of service s."""
    return SamplerEntry(name, "s", ("10.0.0.1", 1), zone, 4, draining, {}, born_ms)


class RouteTableTest(testtools.TestCase):
    """Match, weights, and no way back."""

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

    def test_an_older_configuration_is_never_put_in_force(self) -> None:
        table = self.table(5, route("new", "/a/"))
        self.assertFalse(table.adopt(RouteConfiguration(4, [route("old", "/b/")], [])))
        self.assertFalse(table.adopt(RouteConfiguration(5, [], [])))
        self.assertIsNotNone(table.match("h", "/a/x"))

    @hypothesis.given(strategies.integers(1, 99), strategies.integers())
    def test_shares_keep_close_to_the_weights(self, weight: int, seed: int) -> None:
        split = route("r", "/", Backend("x", weight), Backend("y", 100 - weight))
        table = RouteTable(random.Random(seed))
        chosen = [table.choose_backend(split) for _ in range(REQUESTS)]
        self.assertLess(abs(chosen.count("x") / REQUESTS - weight / 100), 0.03)


class SamplerTableTest(testtools.TestCase):
    """Signs of leaving."""

    def test_a_stated_leave_sticks(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("a")])
        table.put(entry("a", draining=True))
        table.replace_all([entry("a")])
        self.assertEqual([], table.of_service("s"))

    def test_an_entry_that_lapsed_may_come_back(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("a")])
        self.assertEqual(["a"], table.replace_all([]))
        table.put(entry("a"))
        self.assertEqual(1, len(table.of_service("s")))

    def test_a_sampler_that_left_and_was_born_again_under_its_id_is_listed(self) -> None:
        """It drained, its entry went, and a process with the same id started: without its birth
        in the table it stayed unlisted for good."""
        table = SamplerTable()
        table.replace_all([entry("a", born_ms=1000)])
        self.assertEqual(SamplerChange.LEAVES, table.put(entry("a", draining=True, born_ms=1000)))
        table.remove("a")
        self.assertEqual(SamplerChange.NONE, table.put(entry("a", born_ms=1000)))
        self.assertEqual([], table.of_service("s"))
        self.assertEqual(SamplerChange.REBORN, table.put(entry("a", born_ms=2000)))
        self.assertEqual(1, len(table.of_service("s")))

    def test_a_newer_birth_starts_without_what_was_held_against_the_process_before(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("a", born_ms=1000)])
        table.failed("a", 5.0)
        self.assertEqual(["a"], table.replace_all([entry("a", born_ms=2000)]))
        belief = table.get("a")
        assert belief is not None
        self.assertEqual((0, 0.0), (belief.failures, belief.suspect_until))

    def test_an_older_birth_that_arrives_late_changes_nothing(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("a", born_ms=2000)])
        self.assertEqual(SamplerChange.NONE, table.put(entry("a", draining=True, born_ms=1000)))
        self.assertEqual(SamplerChange.NONE, table.put(entry("a", "elsewhere", born_ms=1000)))
        belief = table.get("a")
        assert belief is not None
        self.assertEqual((2000, "a"), (belief.entry.born_ms, belief.entry.zone))


class AttemptPlanTest(testtools.TestCase):
    """How often, and where."""

    def plan(self, repeatable: bool) -> AttemptPlan:
        """A plan of two attempts."""
        return AttemptPlan("s", "a", repeatable, 2, 0.2, 0.0)

    def test_what_may_have_run_is_not_sent_again_unless_repeatable(self) -> None:
        for repeatable in (True, False):
            plan = self.plan(repeatable)
            plan.started("x", 0.0)
            plan.ran()
            self.assertEqual(repeatable, plan.may_start())

    def test_a_promise_frees_the_attempt(self) -> None:
        plan = self.plan(False)
        plan.started("x", 0.0)
        self.assertFalse(plan.may_start())
        plan.refused("x")
        self.assertTrue(plan.may_start())

    def test_never_more_runs_than_attempts(self) -> None:
        plan = self.plan(True)
        for name in ("x", "y"):
            plan.started(name, 0.0)
        self.assertFalse(plan.may_start())
        plan.ran()
        self.assertFalse(plan.may_start())

    def test_own_zone_first_and_suspects_last(self) -> None:
        table = SamplerTable()
        table.replace_all([entry("far", "b"), entry("near", "a")])
        rng = random.Random(1)
        chosen = self.plan(True).choose(table, 0.0, rng)
        assert chosen is not None
        self.assertEqual("near", chosen.entry.sampler_id)
        table.failed("near", 0.0)
        chosen = self.plan(True).choose(table, SUSPECT_S / 2, rng)
        assert chosen is not None
        self.assertEqual("far", chosen.entry.sampler_id)


class PageTest(testtools.TestCase):
    """Pages of results."""

    def test_a_page_holds_at_least_one_result_and_stays_below_its_limit(self) -> None:
        book = JobBook()
        items = [JobItem(f"i{n}", "/p", {}, b"", "") for n in range(3)]
        book.submit(JobSubmission("j", "h", "/p", 0, "m", 0, 1, items))
        text = "x" * (PAGE_BYTES // 3)
        finished = [FinishedItem(i.item_id, ItemState.SUCCEEDED, 0, [text], [1]) for i in items]
        book.record("j", finished)
        first = book.jobs["j"].page(0)
        self.assertEqual((3, 1, 1), (first.total_items, first.next_position, len(first.results)))
        self.assertEqual(3, book.jobs["j"].page(2).next_position)
        self.assertEqual([], book.jobs["j"].page(3).results)


class SavedEventsTest(testtools.TestCase):
    """Two leaders save events of one item; the later one did not know all of the earlier's."""

    def test_the_later_leaders_events_replace_what_it_did_not_know(self) -> None:
        book = JobBook()
        items = [JobItem("a", "/p", {}, b"", "")]
        book.submit(JobSubmission("j", "h", "/p", 0, "m", 0, 1, items))
        book.save("j", [ItemProgress("a", 0, ["1", "2", "3"], 3, [1])])
        book.save("j", [ItemProgress("a", 1, ["two", "three", "four"], 4, [1, 2])])
        book.record("j", [FinishedItem("a", ItemState.SUCCEEDED, 4, ["five"], [1, 2])])
        (result,) = book.jobs["j"].results
        self.assertEqual("1\ntwo\nthree\nfour\nfive", result.text)


class JobBookMachine(stateful.RuleBasedStateMachine):
    """The record of one job against a list that only grows.

    Leaders come and go: each saves and finishes from the events that it knows of.
    """

    ITEMS = ("a", "b", "c")

    def __init__(self) -> None:
        super().__init__()
        self.book = JobBook()
        items = [JobItem(name, "/p", {}, b"", "") for name in self.ITEMS]
        self.submission = JobSubmission("j", "h", "/p", 0, "m", 0, 1, items)
        self.expected: list[ItemResult] = []
        self.saved: dict[str, list[str]] = {}
        self.ended = False

    @stateful.rule()
    def submit(self) -> None:
        """A job is taken once, however often it is sent."""
        self.book.submit(self.submission)

    @stateful.precondition(lambda self: "j" in self.book.jobs)
    @stateful.rule(
        name=strategies.sampled_from(ITEMS),
        keep=strategies.integers(0, 4),
        parts=strategies.lists(strategies.text("xyz", min_size=1, max_size=2), max_size=3),
    )
    def save(self, name: str, keep: int, parts: list[str]) -> None:
        """A leader saves events after those that it knows of."""
        if any(result.item_id == name for result in self.expected):
            return
        known = self.saved.get(name, [])[:keep]
        self.saved[name] = known + parts
        last = len(known) + len(parts)
        self.book.save("j", [ItemProgress(name, len(known), parts, last, [1])])

    @stateful.precondition(lambda self: "j" in self.book.jobs)
    @stateful.rule(
        name=strategies.sampled_from([*ITEMS, "foreign"]),
        keep=strategies.integers(0, 4),
        parts=strategies.lists(strategies.text("xyz", min_size=1, max_size=2), max_size=3),
        state=strategies.sampled_from(list(ItemState)),
    )
    def finish(self, name: str, keep: int, parts: list[str], state: ItemState) -> None:
        """A leader lists a result; only the first one of an item of the job counts."""
        known = self.saved.get(name, [])[:keep]
        self.book.record("j", [FinishedItem(name, state, len(known), parts, [1])])
        listed = any(result.item_id == name for result in self.expected)
        if name in self.ITEMS and not listed:
            text = "\n".join(known + parts) if state is ItemState.SUCCEEDED else ""
            self.expected.append(ItemResult(name, state, text, [1]))

    @stateful.precondition(lambda self: "j" in self.book.jobs)
    @stateful.rule()
    def end(self) -> None:
        """An end holds for good."""
        self.ended = self.book.end("j")

    @stateful.invariant()
    def positions_never_change(self) -> None:
        """What was listed stays where and what it was."""
        if "j" not in self.book.jobs:
            return
        job = self.book.jobs["j"]
        assert job.results == self.expected
        assert job.ended == self.ended
        assert job.is_open == (not self.ended and len(self.expected) < len(self.ITEMS))


JobBookTest = JobBookMachine.TestCase
JobBookTest.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=25, deadline=None, derandomize=True
)
