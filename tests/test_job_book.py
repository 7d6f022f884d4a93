"""Stateful test of the replicated job registry against a simple model."""

from __future__ import annotations

import msgspec
import testtools
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from stileloom.api.jobs import (
    FinishedItem,
    ItemProgress,
    ItemState,
    JobItem,
    JobSubmission,
    RewardCall,
)
from stileloom.jobs.intake import reusable_results
from stileloom.jobs.registry import JobRegistry

JOBS = ["j0", "j1"]
ITEMS = ["i0", "i1", "i2"]
MIN_VERSIONS = {"j0": 1, "j1": 2}
EXAMPLES = 150
STEPS = 30


def complete_text(item_id: str) -> list[str]:
    """Returns all events of an item."""
    return [f"{item_id}-{number}" for number in range(4)]


class JobRegistryMachine(RuleBasedStateMachine):
    """Commands of successive leaders, each of which may repeat those of another."""

    def __init__(self) -> None:
        super().__init__()
        self.registry = JobRegistry()
        self.listed: dict[str, list[tuple[str, str, str]]] = {}
        self.saved: dict[tuple[str, str], int] = {}

    @rule(job_id=st.sampled_from(JOBS), same_reward=st.booleans())
    def submit(self, job_id: str, same_reward: bool) -> None:
        """Submits a job; a repeat must change nothing."""
        reward_suffix = "" if same_reward else job_id
        items = [
            JobItem(item, "/p", {}, b"", "g", RewardCall(f"s{reward_suffix}{item}", "h", "/s", b""))
            for item in ITEMS
        ]
        submission = JobSubmission(job_id, "h", "/p", 0, "m", MIN_VERSIONS[job_id], 1, items)
        added = self.registry.submit(submission)
        assert added == (job_id not in self.listed)
        self.listed.setdefault(job_id, [])

    @rule(
        job_id=st.sampled_from(JOBS),
        item_id=st.sampled_from(ITEMS),
        first=st.integers(0, 4),
        count=st.integers(1, 4),
    )
    def save(self, job_id: str, item_id: str, first: int, count: int) -> None:
        """Saves events that follow or overlap the saved ones."""
        first = min(first, self.saved.get((job_id, item_id), 0))
        parts = complete_text(item_id)[first : first + count]
        end = first + len(parts)
        if not parts or end < self.saved.get((job_id, item_id), 0):
            return
        complete = end == len(complete_text(item_id))
        self.registry.save(job_id, [ItemProgress(item_id, first, parts, end, [1], complete)])
        known = job_id in self.listed
        if known and item_id not in [row[0] for row in self.listed[job_id]]:
            self.saved[(job_id, item_id)] = end

    @rule(job_id=st.sampled_from(JOBS), item_id=st.sampled_from(ITEMS), score=st.text(max_size=3))
    def finish(self, job_id: str, item_id: str, score: str) -> None:
        """Lists a result that refers to the saved events, with its score."""
        saved = self.saved.get((job_id, item_id), 0)
        rest = complete_text(item_id)[saved:]
        finished = FinishedItem(item_id, ItemState.SUCCEEDED, saved, rest, [1], score)
        self.registry.record(job_id, [finished])
        rows = self.listed.get(job_id)
        if rows is not None and item_id not in [row[0] for row in rows]:
            rows.append((item_id, "\n".join(complete_text(item_id)), score))
            self.saved.pop((job_id, item_id), None)

    @rule(job_id=st.sampled_from(JOBS), item_id=st.sampled_from(ITEMS))
    def give_up(self, job_id: str, item_id: str) -> None:
        """Lists an item as given up."""
        self.registry.record(job_id, [FinishedItem(item_id, ItemState.GIVEN_UP, 0, [], [])])
        rows = self.listed.get(job_id)
        if rows is not None and item_id not in [row[0] for row in rows]:
            rows.append((item_id, "", ""))
            self.saved.pop((job_id, item_id), None)

    @invariant()
    def listed_results_never_change(self) -> None:
        """Positions, texts and scores of listed results never change."""
        for job_id, rows in self.listed.items():
            results = self.registry.page(job_id, 0).results
            assert [(r.item_id, r.text, r.score) for r in results] == rows

    @invariant()
    def complete_texts_are_recorded_as_complete(self) -> None:
        """Saved progress records whether a text is complete; its item then does not run again."""
        for (job_id, item_id), end in self.saved.items():
            partial = self.registry.jobs[job_id].progress[item_id]
            assert partial.parts == complete_text(item_id)[:end]
            assert partial.whole == (end == len(complete_text(item_id)))

    @invariant()
    def only_matching_results_are_reused(self) -> None:
        """Reused results match the job's minimum version and reward call."""
        for job_id, record in self.registry.jobs.items():
            rewards = {item.item_id: item.reward for item in record.submission.items}
            for found in reusable_results(self.registry, record, False):
                assert MIN_VERSIONS[job_id] <= min(found.versions)
                assert found.item_id not in record.listed
                sources = [
                    item.reward
                    for other in self.registry.jobs.values()
                    if other is not record
                    for item in other.submission.items
                    if item.item_id == found.item_id
                ]
                assert rewards[found.item_id] in sources


class JobRegistryTest(testtools.TestCase):
    """Runs the state machine."""

    def test_the_registry_matches_its_model(self) -> None:
        run_state_machine_as_test(
            JobRegistryMachine,
            settings=settings(
                max_examples=EXAMPLES, stateful_step_count=STEPS, deadline=None, derandomize=True
            ),
        )

    def test_an_ended_job_keeps_its_results_and_no_requests_in_the_replicated_state(self) -> None:
        """Guards against bodies that fill the memory of ledger nodes until a job is forgotten."""
        reward = RewardCall("s", "h", "/s", b"score")
        items = [JobItem(f"i{n}", "/p", {"model": "m"}, bytes(1000), "g", reward) for n in range(9)]
        registry = JobRegistry()
        registry.submit(JobSubmission("j0", "h", "/p", 0, "m", 1, 1, items))
        registry.record("j0", [FinishedItem("i1", ItemState.SUCCEEDED, 0, ["text"], [1], "score")])
        page = registry.page("j0", 0)
        registry.end("j0")
        self.assertLess(len(msgspec.msgpack.encode(registry)), 1000)
        self.assertEqual([], registry.jobs["j0"].requests)
        self.assertEqual(page, registry.page("j0", 0))
        self.assertIsNone(registry.item("j0", "i2"))
        registry.submit(JobSubmission("j1", "h", "/p", 1, "m", 1, 1, items[:2]))
        (reused,) = reusable_results(registry, registry.jobs["j1"], single_version=False)
        self.assertEqual("i1", reused.item_id)

    def test_texts_take_less_than_their_length_in_the_replicated_state(self) -> None:
        """Guards against ledger nodes over their memory limit by the texts of recent jobs."""
        text = [f"event {number} of a text" for number in range(1000)]
        registry = JobRegistry()
        items = [JobItem("i", "/p", {}, b"", "")]
        registry.submit(JobSubmission("j", "h", "/p", 0, "m", 1, 1, items))
        registry.record("j", [FinishedItem("i", ItemState.SUCCEEDED, 0, text, [1])])
        self.assertLess(len(msgspec.msgpack.encode(registry)), len("".join(text)) / 2)
        (result,) = registry.page("j", 0).results
        self.assertEqual("\n".join(text), result.text)
