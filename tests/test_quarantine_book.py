"""The record of requests under which samplers ended, and what a node's view makes of it. No I/O."""

from __future__ import annotations

import testtools

from stileloom.quarantine.book import (
    ENDS_ALONE,
    ENDS_SHARED,
    FIRST_HOLD_S,
    MOST_SUSPECTS,
    SUSPECT_S,
    QuarantineBook,
)
from stileloom.quarantine.messages import SamplerEnd
from stileloom.quarantine.view import ANSWERED_S, QuarantineView

NOW = 1000.0


def ends(identity: str, *samplers: str) -> list[SamplerEnd]:
    """Samplers that ended under one request."""
    return [SamplerEnd(identity, sampler) for sampler in samplers]


class QuarantineBookTest(testtools.TestCase):
    """Which requests are held."""

    def setUp(self) -> None:
        super().setUp()
        self.book = QuarantineBook()

    def test_three_ends_hold_a_request_and_a_repeat_counts_once(self) -> None:
        self.book.record(ends("poison", "a", "b", "b", "a"), NOW)
        self.assertFalse(self.book.is_held("poison"))
        self.book.record(ends("poison", "c"), NOW)
        self.assertTrue(self.book.is_held("poison"))

    def test_two_hundred_requests_under_the_same_ends_are_not_held_and_the_next_end_tells(
        self,
    ) -> None:
        """A sampler takes all that ran there with it; one of these at most ended it."""
        for sampler in ("a", "b", "c"):
            for number in range(200):
                self.book.record(ends(f"request-{number}", sampler), NOW)
        self.assertEqual([], [name for name in self.book.suspects if self.book.is_held(name)])
        self.book.record(ends("request-7", "d"), NOW)
        held = [name for name in self.book.suspects if self.book.is_held(name)]
        self.assertEqual(["request-7"], held)

    def test_a_request_whose_ends_another_one_explains_is_not_held(self) -> None:
        self.book.record(ends("poison", "a", "b", "c", "d"), NOW)
        self.book.record(ends("beside it", "a", "b", "c"), NOW)
        self.assertTrue(self.book.is_held("poison"))
        self.assertFalse(self.book.is_held("beside it"))

    def test_inseparable_requests_are_both_held_after_one_end_more(self) -> None:
        samplers = ("a", "b", "c", "d")
        for count in range(1, ENDS_SHARED + 1):
            for name in ("one", "two"):
                self.book.record(ends(name, samplers[count - 1]), NOW)
            self.assertEqual(count >= ENDS_SHARED, self.book.is_held("one"))
            self.assertEqual(count >= ENDS_SHARED, self.book.is_held("two"))

    def test_a_good_answer_clears_and_other_nodes_hear_of_it(self) -> None:
        self.book.record(ends("popular", "a", "b", "c"), NOW)
        revision = self.book.revision
        self.assertEqual(["popular"], self.book.clear(["popular", "unknown"]))
        self.assertFalse(self.book.is_held("popular"))
        self.assertGreater(self.book.revision, revision)

    def test_ends_that_lie_far_apart_do_not_add_up(self) -> None:
        for count, sampler in enumerate(("a", "b", "c", "d")):
            self.book.record(ends("unlucky", sampler), NOW + count * (SUSPECT_S + 1))
        self.assertFalse(self.book.is_held("unlucky"))

    def test_one_trial_in_the_whole_fleet_for_each_time_and_later_each_time(self) -> None:
        self.book.record(ends("poison", "a", "b", "c"), NOW)
        due_at = NOW + FIRST_HOLD_S
        self.assertFalse(self.book.start_trial("poison", due_at - 1))
        self.assertTrue(self.book.start_trial("poison", due_at))
        self.assertFalse(self.book.start_trial("poison", due_at + FIRST_HOLD_S))
        self.assertTrue(self.book.start_trial("poison", due_at + 2 * FIRST_HOLD_S))

    def test_what_is_held_against_a_request_is_forgotten_in_time(self) -> None:
        self.book.record(ends("poison", "a", "b", "c"), NOW)
        self.book.forget_expired(NOW + SUSPECT_S)
        self.assertTrue(self.book.is_held("poison"))
        self.book.forget_expired(NOW + SUSPECT_S + 1)
        self.assertEqual({}, self.book.suspects)

    def test_a_flood_of_other_requests_pushes_out_none_that_is_held(self) -> None:
        self.book.record(ends("poison", "a", "b", "c"), NOW)
        for number in range(MOST_SUSPECTS + 500):
            self.book.record(ends(f"request-{number}", f"sampler-{number}"), NOW)
        self.assertTrue(self.book.is_held("poison"))
        self.assertEqual(MOST_SUSPECTS, len(self.book.suspects))

    def test_a_crash_under_many_requests_makes_no_list_of_them(self) -> None:
        for number in range(200):
            self.book.record(ends(f"request-{number}", "a"), NOW)
        self.assertEqual(0, self.book.revision)
        self.assertEqual([], self.book.listing(NOW).suspects)


class QuarantineViewTest(testtools.TestCase):
    """What one node refuses."""

    def setUp(self) -> None:
        super().setUp()
        self.book = QuarantineBook()
        self.view = QuarantineView()

    def learn(self) -> list[str]:
        """Takes the list as it stands."""
        return self.view.learn(self.book.listing(NOW), 0.0)

    def test_own_ends_count_while_the_ledger_is_out_of_reach(self) -> None:
        for end in ends("poison", "a", "b"):
            self.view.ended(end)
        self.assertFalse(self.view.is_held("poison"))
        self.view.ended(SamplerEnd("poison", "c"))
        self.assertTrue(self.view.is_held("poison"))

    def test_own_and_listed_ends_of_one_sampler_count_once(self) -> None:
        self.book.record(ends("poison", "a", "b"), NOW)
        self.learn()
        self.view.ended(SamplerEnd("poison", "b"))
        self.assertEqual({"a", "b"}, self.view.ends_under("poison"))
        self.assertFalse(self.view.is_held("poison"))

    def test_reported_ends_are_the_lists_own_from_then_on(self) -> None:
        """Else a release, or another request's guilt, would never reach the node that saw them."""
        seen = ends("poison", "a", "b", "c")
        for end in seen:
            self.view.ended(end)
        self.book.record(seen, NOW)
        self.view.reported(seen, self.book.revision)
        self.learn()
        self.assertTrue(self.view.is_held("poison"))
        self.book.clear(["poison"])
        self.learn()
        self.assertFalse(self.view.is_held("poison"))
        self.assertTrue(self.view.empty)

    def test_a_popular_request_that_was_on_ended_samplers_is_cleared_by_its_good_answers(
        self,
    ) -> None:
        self.view.answered("popular", 0.0)
        self.book.record(ends("popular", "a", "b", "c"), NOW)
        self.book.record(ends("poison", "d", "e", "f"), NOW)
        self.assertEqual(["popular"], self.learn())

    def test_a_request_that_became_a_poison_request_is_not_cleared_twice_by_one_good_answer(
        self,
    ) -> None:
        self.view.answered("turned", 0.0)
        self.book.record(ends("turned", "a", "b", "c"), NOW)
        self.assertEqual(["turned"], self.learn())
        self.book.clear(["turned"])
        self.book.record(ends("turned", "d", "e", "f"), NOW)
        self.assertEqual([], self.learn())

    def test_an_old_good_answer_clears_nothing(self) -> None:
        self.view.answered("turned", -ANSWERED_S - 1.0)
        self.book.record(ends("turned", "a", "b", "c"), NOW)
        self.assertEqual([], self.learn())

    def test_a_trial_is_due_when_the_list_says_so(self) -> None:
        self.book.record(ends("poison", *"abc"[:ENDS_ALONE]), NOW)
        self.learn()
        self.assertEqual(FIRST_HOLD_S, self.view.trial_in_s("poison", 0.0))
        self.assertEqual(0.0, self.view.trial_in_s("poison", FIRST_HOLD_S + 1.0))
        self.assertEqual(float("inf"), self.view.trial_in_s("another", 0.0))
