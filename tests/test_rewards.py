"""Reward calls: an item succeeds only with the score of its complete text."""

from __future__ import annotations

from typing import Any
from unittest import mock

import msgspec
import testtools

from stileloom.api.jobs import (
    FinishedItem,
    ItemProgress,
    ItemState,
    JobItem,
    JobSubmission,
    RewardCall,
)
from stileloom.emulator.http_sampler import (
    HttpSampler,
    RunRecord,
    WorkGauge,
    expected_events,
)
from stileloom.errors import ErrorKind, StileloomError
from stileloom.events import LogEvent
from stileloom.jobs.intake import reusable_results
from stileloom.jobs.registry import JobRegistry
from stileloom.jobs.reward_window import (
    INITIAL_BACKOFF_S,
    INITIAL_LIMIT,
    MAX_BACKOFF_S,
    MAX_SLOT_SHARE,
    RewardWindow,
)
from stileloom.jobs.submission_check import check_submission
from stileloom.trace import collect_trace
from tests.service_cluster import (
    ATTEMPTS,
    HOSTNAME,
    MODEL,
    ServiceCluster,
    configuration,
    with_cluster,
)

EVENTS = 6
SCORERS = ("chart-1", "chart-2")
DRAFTERS = ("draft-1", "draft-2")
SLOTS = 4


def samplers(cluster: ServiceCluster, names: tuple[str, ...]) -> list[HttpSampler]:
    """Returns samplers by name."""
    return [cluster.samplers[name] for name in names]


def runs_at(cluster: ServiceCluster, names: tuple[str, ...]) -> list[RunRecord]:
    """Returns all requests that these samplers ran."""
    return [run for sampler in samplers(cluster, names) for run in sampler.runs]


def items_named(count: int) -> list[str]:
    """Returns item ids."""
    return [f"i{number}" for number in range(count)]


class RewardTest(testtools.TestCase):
    """Reward calls in a cluster of gateways, ledger nodes and samplers over sockets."""

    def check_scores(self, results: list[list[Any]]) -> None:
        """Checks that each result has its complete text and the score of its own call."""
        for item_id, state, text, _, score in results:
            self.assertEqual("succeeded", state)
            self.assertEqual("\n".join(expected_events(str(item_id), EVENTS)), text)
            self.assertIn(score, [f"{name}/score-{item_id}" for name in SCORERS])

    def test_results_carry_the_score_of_a_call_made_after_the_last_event(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            items = items_named(8)
            self.assertEqual(202, (await cluster.submit("job", items, rewards=True)).code)
            results = await cluster.results("job", 8)
            self.check_scores(results)
            self.assertEqual(results, await cluster.results("job", 8, gateway=1))
            completed_at: dict[str, float] = {}
            for sampler in samplers(cluster, DRAFTERS):
                completed_at |= sampler.completed_at
            for call in runs_at(cluster, SCORERS):
                item = call.request_id.removeprefix("score-")
                self.assertEqual(f"/charts/score/{item}", call.target)
                self.assertEqual(b"text", call.body)
                self.assertGreaterEqual(call.started_at, completed_at[item])

        with_cluster(scenario)

    def test_a_full_or_unresponsive_scoring_service_delays_results_and_loses_none(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            full, unresponsive = samplers(cluster, SCORERS)
            full.faults.refuse = True
            unresponsive.faults.unresponsive = True
            items = items_named(6)
            await cluster.submit("job", items, rewards=True)
            await cluster.wait_until(lambda: len(runs_at(cluster, ("chart-2",))) > 0)
            await cluster.wait_until(
                lambda: len({r.request_id for r in runs_at(cluster, DRAFTERS)}) > 5
            )
            full.faults.refuse = False
            unresponsive.faults.unresponsive = False
            self.check_scores(await cluster.results("job", 6))
            self.assertEqual(6, len(runs_at(cluster, DRAFTERS)), "an item ran again")

        with_cluster(scenario)

    def test_a_call_that_always_fails_is_given_up_after_the_attempts_of_its_route(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for sampler in samplers(cluster, SCORERS):
                sampler.faults.fail_status = 500
            await cluster.submit("job", ["i1"], rewards=True)
            results = await cluster.results("job", 1)
            self.assertEqual([["i1", "given_up", "", [], ""]], results)
            calls = len(runs_at(cluster, SCORERS))
            self.assertGreaterEqual(calls, ATTEMPTS)
            self.assertLess(calls, 2 * ATTEMPTS)

        with_cluster(scenario)

    def test_a_new_leader_asks_for_the_score_and_does_not_run_the_item_again(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for sampler in samplers(cluster, SCORERS):
                sampler.faults.refuse = True
            await cluster.submit("job", items_named(4), rewards=True)

            def texts_saved(name: str) -> bool:
                node = cluster.ledger_nodes[name]
                assert node._driver is not None
                job = node._driver.state.job_book.jobs.get("job")
                saved = job.progress.values() if job is not None else []
                return sum(partial.whole for partial in saved) == 4

            first = cluster.leader() or ""
            await cluster.wait_until(lambda: texts_saved(first))
            await cluster.kill(first)
            await cluster.wait_until(lambda: cluster.leader() not in (None, first))
            for sampler in samplers(cluster, SCORERS):
                sampler.faults.refuse = False
            self.check_scores(await cluster.results("job", 4))
            self.assertEqual(4, len(runs_at(cluster, DRAFTERS)), "an item ran again")

        with_cluster(scenario)

    def test_the_calls_of_an_ended_job_stop(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for sampler in samplers(cluster, SCORERS):
                sampler.faults.refuse = True
            await cluster.submit("job", items_named(4), rewards=True)
            leader = cluster.ledger_nodes[cluster.leader() or ""]
            assert leader._leadership is not None
            rewards = leader._leadership.runner._rewards
            await cluster.wait_until(lambda: len(rewards) == 4)
            self.assertEqual(200, (await cluster.call("DELETE", "/v1/jobs/job")).code)
            await cluster.wait_until(lambda: len(rewards) == 0)
            for sampler in samplers(cluster, SCORERS):
                sampler.faults.refuse = False
            # The leader has run several scheduling steps by the time the next job completes.
            await cluster.submit("next", ["n1"], rewards=True)
            await cluster.results("next", 1)
            self.assertEqual(["score-n1"], [call.request_id for call in runs_at(cluster, SCORERS)])

        with_cluster(scenario)

    def test_a_reused_item_keeps_its_text_while_its_score_is_missing(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            for sampler in samplers(cluster, SCORERS):
                sampler.faults.refuse = True
            items = items_named(3)
            await cluster.submit("first", items, rewards=True)
            await cluster.wait_until(lambda: len(runs_at(cluster, DRAFTERS)) == 3)
            leader = cluster.ledger_nodes[cluster.leader() or ""]
            assert leader._leadership is not None
            rewards = leader._leadership.runner._rewards
            await cluster.wait_until(lambda: len(rewards) == 3)
            await cluster.call("DELETE", "/v1/jobs/first")
            for sampler in samplers(cluster, SCORERS):
                sampler.faults.refuse = False
            await cluster.submit("second", items, rewards=True)
            self.check_scores(await cluster.results("second", 3))
            self.assertEqual(3, len(runs_at(cluster, DRAFTERS)), "an item ran again")

        with_cluster(scenario)

    def test_a_carried_item_whose_result_is_known_does_not_run_again(self) -> None:
        """Guards against runs and reward calls that continue after their job has ended."""

        async def scenario(cluster: ServiceCluster) -> None:
            items = items_named(4)
            await cluster.submit("first", items, rewards=True)
            known = await cluster.results("first", 4)
            await cluster.call("DELETE", "/v1/jobs/first")
            await cluster.submit("second", [*items, "new"], rewards=True)
            results = await cluster.results("second", 5)
            self.check_scores(results)
            for result in known:
                self.assertIn(result, results)
            self.assertEqual(5, len(runs_at(cluster, DRAFTERS)), "an item ran again")
            self.assertEqual(5, len(runs_at(cluster, SCORERS)), "a reward call was repeated")

        with_cluster(scenario)

    def test_a_removed_route_that_returns_with_another_backend_is_followed(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            await cluster.write("configuration", "main", configuration(2, path_prefix="/other/"))
            node = cluster.ledger_nodes[cluster.leader() or ""]
            await cluster.wait_until(lambda: node._directory.routes.version == 2)
            await cluster.submit("job", ["i1"], rewards=True)
            assert node._leadership is not None
            rewards = node._leadership.runner._rewards
            await cluster.wait_until(lambda: len(rewards) == 1)
            changed = configuration(3, backends=[{"service": "spare", "weight": 1}])
            changed["services"].append({"name": "spare", "max_connections": 9})
            await cluster.add_sampler("spare-1", "spare")
            await cluster.write("configuration", "main", changed)
            ((item, state, _, _, score),) = await cluster.results("job", 1)
            self.assertEqual(("i1", "succeeded"), (item, state))
            self.assertEqual("spare-1/score-i1", score)
            self.assertEqual([], runs_at(cluster, SCORERS))

        with_cluster(scenario)

    def test_a_fault_of_our_own_in_a_call_is_told_and_the_call_is_made_again(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            leader = cluster.ledger_nodes[cluster.leader() or ""]
            events: list[LogEvent] = []
            forward = leader._forwarder.forward
            faults = [ValueError("a fault")]

            async def failing(*arguments: Any) -> Any:
                if faults:
                    raise faults.pop()
                return await forward(*arguments)

            def record_event(event: LogEvent, fields: dict[str, object]) -> None:
                events.append(event)

            with (
                mock.patch.object(leader._forwarder, "forward", failing),
                mock.patch.object(leader._log, "emit", record_event),
            ):
                await cluster.submit("job", ["i1"], rewards=True)
                self.check_scores(await cluster.results("job", 1))
            self.assertIn(LogEvent.INTERNAL_FAULT, events)

        with_cluster(scenario)

    def test_reward_calls_leave_slots_for_lookups(self) -> None:
        async def scenario(cluster: ServiceCluster) -> None:
            gauge = WorkGauge()
            for sampler in samplers(cluster, SCORERS):
                sampler.faults.work_s = 0.03
                sampler.gauge = gauge
            await cluster.submit("job", items_named(40), rewards=True)
            self.check_scores(await cluster.results("job", 40))
            self.assertEqual(int(2 * SLOTS * MAX_SLOT_SHARE), gauge.max_running)

        with_cluster(scenario)

    def test_malformed_reward_calls_are_refused_and_nothing_runs(self) -> None:
        def bodies() -> list[bytes]:
            good = ["s", HOSTNAME, "/charts/s", "eA=="]
            bad = [
                ["", *good[1:]],
                ["s s", *good[1:]],
                [*good[:3], "***"],
                [good[0], "", *good[2:]],
                [good[0], "h\r\nX: y", *good[2:]],
                [*good[:2], "charts", good[3]],
                [*good[:2], "/a HTTP/1.1\r\nHost: z\r\n\r\nGET /", good[3]],
                good[:2],
                "text",
                ["i1", *good[1:]],
            ]
            return [self.job_body([["i1", call]]) for call in bad] + [
                self.job_body([["i1", good], ["i2", good]]),
                b'{"model":"m","items":' + b"[" * 100_000,
            ]

        async def scenario(cluster: ServiceCluster) -> None:
            for body in bodies():
                answer = await cluster.call("POST", "/drafts/j", body, request_id="bad")
                self.assertEqual(400, answer.code, body[:160])
                self.assertNotEqual(b"", answer.body)
            await cluster.submit("good", ["g1"], rewards=True)
            self.check_scores(await cluster.results("good", 1))
            self.assertEqual({"g1"}, {run.request_id for run in runs_at(cluster, DRAFTERS)})

        with_cluster(scenario)

    def job_body(self, rows: list[list[Any]]) -> bytes:
        """Encodes a job whose items have these reward calls."""
        items = [
            [item, f"/drafts/{item}", {"model": MODEL}, "eA==", "g", reward]
            for item, reward in rows
        ]
        return msgspec.json.encode({"model": MODEL, "items": items})


class RewardWindowTest(testtools.TestCase):
    """Concurrency limit of reward calls to one service."""

    def test_it_increases_with_answers_and_halves_on_overload(self) -> None:
        window = RewardWindow()
        for _ in range(100):
            window.record_answer()
        raised_limit = window.limit
        self.assertGreater(raised_limit, INITIAL_LIMIT)
        window.record_overload(10.0)
        self.assertEqual(raised_limit / 2, window.limit)
        self.assertFalse(window.may_start(10.0, 1000))
        self.assertTrue(window.may_start(10.0 + INITIAL_BACKOFF_S, 1000))

    def test_it_allows_at_least_one_call_and_at_most_its_share_of_the_slots(self) -> None:
        window = RewardWindow(limit=100.0)
        started = 0
        while window.may_start(0.0, 24):
            window.running += 1
            started += 1
        self.assertEqual(24 * MAX_SLOT_SHARE, started)
        self.assertTrue(RewardWindow().may_start(0.0, 0))
        for _ in range(20):
            window.record_overload(0.0)
        self.assertEqual(MAX_BACKOFF_S, window.backoff_s)
        window.running = 0
        self.assertTrue(window.may_start(MAX_BACKOFF_S, 24))


class RecordTest(testtools.TestCase):
    """Texts and scores in the job registry, and checks of submitted items."""

    def submission(self, job_id: str, reward_id: str = "s1") -> JobSubmission:
        """A job of one item with a reward call."""
        reward = RewardCall(reward_id, "h", "/s", b"")
        item = JobItem("i1", "/p", {}, b"", "g", reward)
        return JobSubmission(job_id, "h", "/p", 0, "m", 1, 1, [item])

    def test_a_result_combines_a_saved_text_and_a_later_score(self) -> None:
        registry = JobRegistry()
        registry.submit(self.submission("j"))
        registry.save("j", [ItemProgress("i1", 0, ["a", "b"], 2, [3], True)])
        self.assertTrue(registry.jobs["j"].progress["i1"].whole)
        registry.record("j", [FinishedItem("i1", ItemState.SUCCEEDED, 2, [], [3], "0.7")])
        (result,) = registry.page("j", 0).results
        self.assertEqual(("a\nb", [3], "0.7"), (result.text, result.versions, result.score))

    def test_a_result_is_reused_only_for_the_same_reward_call(self) -> None:
        registry = JobRegistry()
        registry.submit(self.submission("j"))
        registry.record("j", [FinishedItem("i1", ItemState.SUCCEEDED, 0, ["a"], [3], "0.7")])
        registry.submit(self.submission("same"))
        registry.submit(self.submission("other", reward_id="s2"))
        (found,) = reusable_results(registry, registry.jobs["same"], False)
        self.assertEqual("0.7", found.score)
        self.assertEqual([], reusable_results(registry, registry.jobs["other"], False))

    def test_an_item_that_would_split_a_request_head_is_refused(self) -> None:
        for item in (
            JobItem("i 1", "/p", {}, b"", "g"),
            JobItem("i", "/p\r\nX: y", {}, b"", "g"),
            JobItem("i", "p", {}, b"", "g"),
            JobItem("i", "/p", {"A": "b\r\nC: d"}, b"", "g"),
            JobItem("i", "/p", {"A:": "b"}, b"", "g"),
            JobItem("i", "/p", {"A": "\u20ac"}, b"", "g"),
        ):
            submission = JobSubmission("j", "h", "/p", 0, "m", 1, 1, [item])
            error = self.assertRaises(StileloomError, check_submission, submission)
            self.assertEqual(ErrorKind.BAD_REQUEST, error.kind)


class SubmissionTest(testtools.TestCase):
    """Valid submissions."""

    def test_a_header_value_may_hold_a_tab(self) -> None:
        item = JobItem("i", "/p", {"A": "b\tc"}, b"", "g")
        check_submission(JobSubmission("j", "h", "/p", 0, "m", 1, 1, [item]))


class TraceTest(testtools.TestCase):
    """Trace of an item."""

    def test_the_trace_of_an_item_includes_its_reward_call(self) -> None:
        lines = [
            {"event": "reward_asked", "item": "i1", "job": "j", "reward": "s1"},
            {"event": "attempt_failed", "request": "s1", "sampler": "x"},
            {"event": "request_answered", "request": "s2", "sampler": "x"},
        ]
        common = {"timestamp": "2026-01-01T00:00:00+00:00", "node": "n"}
        text = [msgspec.json.encode(common | line).decode() for line in lines]
        events = [line.event for line in collect_trace("i1", text).lines]
        self.assertEqual(["reward_asked", "attempt_failed"], events)
