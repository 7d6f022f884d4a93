"""Unit tests of the quarantine registry and of a node's view of it."""

from __future__ import annotations

import testtools

from stileloom.quarantine.book import (
    CRASH_RETENTION_S,
    CRASH_THRESHOLD,
    INITIAL_QUARANTINE_S,
    MAX_SUSPECTS,
    SHARED_CRASH_THRESHOLD,
    QuarantineRegistry,
)
from stileloom.quarantine.messages import SamplerCrash
from stileloom.quarantine.view import SUCCESS_RETENTION_S, QuarantineView

NOW = 1000.0


def crashes(identity: str, *samplers: str) -> list[SamplerCrash]:
    """Crashes of samplers under one request."""
    return [SamplerCrash(identity, sampler) for sampler in samplers]


class QuarantineBookTest(testtools.TestCase):
    """Which requests are quarantined."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = QuarantineRegistry()

    def test_three_crashes_quarantine_a_request_and_repeats_count_once(self) -> None:
        self.registry.record(crashes("poison", "a", "b", "b", "a"), NOW)
        self.assertFalse(self.registry.is_quarantined("poison"))
        self.registry.record(crashes("poison", "c"), NOW)
        self.assertTrue(self.registry.is_quarantined("poison"))

    def test_two_hundred_requests_with_the_same_crashes_are_not_quarantined_until_one_differs(
        self,
    ) -> None:
        """Guards against refusing all requests that were running on crashed samplers."""
        for sampler in ("a", "b", "c"):
            for number in range(200):
                self.registry.record(crashes(f"request-{number}", sampler), NOW)
        self.assertEqual(
            [], [name for name in self.registry.suspects if self.registry.is_quarantined(name)]
        )
        self.registry.record(crashes("request-7", "d"), NOW)
        quarantined = [
            name for name in self.registry.suspects if self.registry.is_quarantined(name)
        ]
        self.assertEqual(["request-7"], quarantined)

    def test_a_request_whose_crashes_may_be_caused_by_another_one_is_not_quarantined(self) -> None:
        self.registry.record(crashes("poison", "a", "b", "c", "d"), NOW)
        self.registry.record(crashes("bystander", "a", "b", "c"), NOW)
        self.assertTrue(self.registry.is_quarantined("poison"))
        self.assertFalse(self.registry.is_quarantined("bystander"))

    def test_requests_with_the_same_crashes_are_both_quarantined_after_one_more(self) -> None:
        samplers = ("a", "b", "c", "d")
        for count in range(1, SHARED_CRASH_THRESHOLD + 1):
            for name in ("one", "two"):
                self.registry.record(crashes(name, samplers[count - 1]), NOW)
            self.assertEqual(count >= SHARED_CRASH_THRESHOLD, self.registry.is_quarantined("one"))
            self.assertEqual(count >= SHARED_CRASH_THRESHOLD, self.registry.is_quarantined("two"))

    def test_a_successful_response_clears_a_request_and_increases_the_revision(self) -> None:
        self.registry.record(crashes("popular", "a", "b", "c"), NOW)
        revision = self.registry.revision
        self.assertEqual(["popular"], self.registry.clear(["popular", "unknown"]))
        self.assertFalse(self.registry.is_quarantined("popular"))
        self.assertGreater(self.registry.revision, revision)

    def test_crashes_far_apart_do_not_add_up(self) -> None:
        for count, sampler in enumerate(("a", "b", "c", "d")):
            self.registry.record(crashes("unlucky", sampler), NOW + count * (CRASH_RETENTION_S + 1))
        self.assertFalse(self.registry.is_quarantined("unlucky"))

    def test_one_trial_in_the_whole_fleet_per_interval_with_exponential_backoff(self) -> None:
        self.registry.record(crashes("poison", "a", "b", "c"), NOW)
        due_at = NOW + INITIAL_QUARANTINE_S
        self.assertFalse(self.registry.start_trial("poison", due_at - 1))
        self.assertTrue(self.registry.start_trial("poison", due_at))
        self.assertFalse(self.registry.start_trial("poison", due_at + INITIAL_QUARANTINE_S))
        self.assertTrue(self.registry.start_trial("poison", due_at + 2 * INITIAL_QUARANTINE_S))

    def test_suspects_expire(self) -> None:
        self.registry.record(crashes("poison", "a", "b", "c"), NOW)
        self.registry.remove_expired(NOW + CRASH_RETENTION_S)
        self.assertTrue(self.registry.is_quarantined("poison"))
        self.registry.remove_expired(NOW + CRASH_RETENTION_S + 1)
        self.assertEqual({}, self.registry.suspects)

    def test_a_full_registry_evicts_no_quarantined_request(self) -> None:
        self.registry.record(crashes("poison", "a", "b", "c"), NOW)
        for number in range(MAX_SUSPECTS + 500):
            self.registry.record(crashes(f"request-{number}", f"sampler-{number}"), NOW)
        self.assertTrue(self.registry.is_quarantined("poison"))
        self.assertEqual(MAX_SUSPECTS, len(self.registry.suspects))

    def test_a_single_crash_under_many_requests_is_not_published(self) -> None:
        for number in range(200):
            self.registry.record(crashes(f"request-{number}", "a"), NOW)
        self.assertEqual(0, self.registry.revision)
        self.assertEqual([], self.registry.listing(NOW).suspects)


class QuarantineViewTest(testtools.TestCase):
    """Which requests one node refuses."""

    def setUp(self) -> None:
        super().setUp()
        self.registry = QuarantineRegistry()
        self.view = QuarantineView()

    def apply_listing(self) -> list[str]:
        """Applies the registry's current listing to the view."""
        return self.view.apply_listing(self.registry.listing(NOW), 0.0)

    def test_local_crashes_count_while_the_ledger_is_unreachable(self) -> None:
        for crash in crashes("poison", "a", "b"):
            self.view.record_crash(crash)
        self.assertFalse(self.view.is_quarantined("poison"))
        self.view.record_crash(SamplerCrash("poison", "c"))
        self.assertTrue(self.view.is_quarantined("poison"))

    def test_local_and_listed_crashes_of_one_sampler_count_once(self) -> None:
        self.registry.record(crashes("poison", "a", "b"), NOW)
        self.apply_listing()
        self.view.record_crash(SamplerCrash("poison", "b"))
        self.assertEqual({"a", "b"}, self.view.crashed_samplers("poison"))
        self.assertFalse(self.view.is_quarantined("poison"))

    def test_reported_crashes_are_superseded_by_the_listing(self) -> None:
        """Guards against a node that keeps refusing a request although the request was released or
        another one was found to be the cause."""
        reported = crashes("poison", "a", "b", "c")
        for crash in reported:
            self.view.record_crash(crash)
        self.registry.record(reported, NOW)
        self.view.mark_reported(reported, self.registry.revision)
        self.apply_listing()
        self.assertTrue(self.view.is_quarantined("poison"))
        self.registry.clear(["poison"])
        self.apply_listing()
        self.assertFalse(self.view.is_quarantined("poison"))
        self.assertTrue(self.view.has_no_suspects)

    def test_a_popular_request_on_crashed_samplers_is_cleared_by_its_successful_responses(
        self,
    ) -> None:
        self.view.record_success("popular", 0.0)
        self.registry.record(crashes("popular", "a", "b", "c"), NOW)
        self.registry.record(crashes("poison", "d", "e", "f"), NOW)
        self.assertEqual(["popular"], self.apply_listing())

    def test_one_successful_response_does_not_clear_a_request_twice(self) -> None:
        self.view.record_success("newly-poisonous", 0.0)
        self.registry.record(crashes("newly-poisonous", "a", "b", "c"), NOW)
        self.assertEqual(["newly-poisonous"], self.apply_listing())
        self.registry.clear(["newly-poisonous"])
        self.registry.record(crashes("newly-poisonous", "d", "e", "f"), NOW)
        self.assertEqual([], self.apply_listing())

    def test_an_old_successful_response_clears_nothing(self) -> None:
        self.view.record_success("newly-poisonous", -SUCCESS_RETENTION_S - 1.0)
        self.registry.record(crashes("newly-poisonous", "a", "b", "c"), NOW)
        self.assertEqual([], self.apply_listing())

    def test_a_trial_is_due_at_the_listed_time(self) -> None:
        self.registry.record(crashes("poison", *"abc"[:CRASH_THRESHOLD]), NOW)
        self.apply_listing()
        self.assertEqual(INITIAL_QUARANTINE_S, self.view.trial_in_s("poison", 0.0))
        self.assertEqual(0.0, self.view.trial_in_s("poison", INITIAL_QUARANTINE_S + 1.0))
        self.assertEqual(float("inf"), self.view.trial_in_s("another", 0.0))
