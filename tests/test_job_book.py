"""The replicated record of jobs against a simple oracle, under commands in any order and number."""

from __future__ import annotations

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
from stileloom.jobs.book import JobBook
from stileloom.jobs.intake import reusable_results

JOBS = ["j0", "j1"]
ITEMS = ["i0", "i1", "i2"]
MIN_VERSIONS = {"j0": 1, "j1": 2}
EXAMPLES = 150
STEPS = 30


def whole_text(item_id: str) -> list[str]:
    """All events of an item."""
    return [f"{item_id}-{number}" for number in range(4)]


class JobBookMachine(RuleBasedStateMachine):
    """Leaders that come and go: each may save, list and end again what another one did."""

    def __init__(self) -> None:
        super().__init__()
        self.book = JobBook()
        self.listed: dict[str, list[tuple[str, str, str]]] = {}
        self.saved: dict[tuple[str, str], int] = {}

    @rule(job_id=st.sampled_from(JOBS), same_reward=st.booleans())
    def submit(self, job_id: str, same_reward: bool) -> None:
        """A job is taken once; a repeat changes nothing."""
        tag = "" if same_reward else job_id
        items = [
            JobItem(item, "/p", {}, b"", "g", RewardCall(f"s{tag}{item}", "h", "/s", b""))
            for item in ITEMS
        ]
        submission = JobSubmission(job_id, "h", "/p", 0, "m", MIN_VERSIONS[job_id], 1, items)
        taken = self.book.submit(submission)
        assert taken == (job_id not in self.listed)
        self.listed.setdefault(job_id, [])

    @rule(
        job_id=st.sampled_from(JOBS),
        item_id=st.sampled_from(ITEMS),
        first=st.integers(0, 4),
        count=st.integers(1, 4),
    )
    def save(self, job_id: str, item_id: str, first: int, count: int) -> None:
        """Events that follow those saved before, or some of them again."""
        first = min(first, self.saved.get((job_id, item_id), 0))
        parts = whole_text(item_id)[first : first + count]
        end = first + len(parts)
        if not parts or end < self.saved.get((job_id, item_id), 0):
            return
        whole = end == len(whole_text(item_id))
        self.book.save(job_id, [ItemProgress(item_id, first, parts, end, [1], whole)])
        known = job_id in self.listed
        if known and item_id not in [row[0] for row in self.listed[job_id]]:
            self.saved[(job_id, item_id)] = end

    @rule(job_id=st.sampled_from(JOBS), item_id=st.sampled_from(ITEMS), score=st.text(max_size=3))
    def finish(self, job_id: str, item_id: str, score: str) -> None:
        """A leader lists the text on top of what is saved, with the score that it got."""
        saved = self.saved.get((job_id, item_id), 0)
        rest = whole_text(item_id)[saved:]
        finished = FinishedItem(item_id, ItemState.SUCCEEDED, saved, rest, [1], score)
        self.book.record(job_id, [finished])
        rows = self.listed.get(job_id)
        if rows is not None and item_id not in [row[0] for row in rows]:
            rows.append((item_id, "\n".join(whole_text(item_id)), score))
            self.saved.pop((job_id, item_id), None)

    @rule(job_id=st.sampled_from(JOBS), item_id=st.sampled_from(ITEMS))
    def give_up(self, job_id: str, item_id: str) -> None:
        """A leader gives an item up."""
        self.book.record(job_id, [FinishedItem(item_id, ItemState.GIVEN_UP, 0, [], [])])
        rows = self.listed.get(job_id)
        if rows is not None and item_id not in [row[0] for row in rows]:
            rows.append((item_id, "", ""))
            self.saved.pop((job_id, item_id), None)

    @invariant()
    def results_stand_where_they_were_listed(self) -> None:
        """Positions, texts and scores never change."""
        for job_id, rows in self.listed.items():
            results = self.book.jobs[job_id].page(0).results
            assert [(r.item_id, r.text, r.score) for r in results] == rows

    @invariant()
    def whole_texts_are_known_as_whole(self) -> None:
        """A new leader asks only for the score of a text that is whole."""
        for (job_id, item_id), end in self.saved.items():
            partial = self.book.jobs[job_id].progress[item_id]
            assert partial.parts == whole_text(item_id)[:end]
            assert partial.whole == (end == len(whole_text(item_id)))

    @invariant()
    def only_what_fits_is_used_again(self) -> None:
        """Carried results have the versions that the job allows and its own reward call."""
        for job_id, record in self.book.jobs.items():
            rewards = {item.item_id: item.reward for item in record.submission.items}
            for found in reusable_results(self.book, record, False):
                assert MIN_VERSIONS[job_id] <= min(found.versions)
                assert found.item_id not in record.listed
                sources = [
                    item.reward
                    for other in self.book.jobs.values()
                    if other is not record
                    for item in other.submission.items
                    if item.item_id == found.item_id
                ]
                assert rewards[found.item_id] in sources


class JobBookTest(testtools.TestCase):
    """The machine above."""

    def test_the_book_agrees_with_its_oracle(self) -> None:
        run_state_machine_as_test(
            JobBookMachine,
            settings=settings(
                max_examples=EXAMPLES, stateful_step_count=STEPS, deadline=None, derandomize=True
            ),
        )
