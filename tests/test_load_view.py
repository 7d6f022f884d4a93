"""What a process knows about the load of samplers, in virtual time."""

from __future__ import annotations

import math
import statistics

import msgspec
import testtools

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.load import LoadReading, LoadView, decode_load


def entry(sampler_id: str, born_ms: int = 1, service: str = "lookups") -> SamplerEntry:
    """A listed sampler with 6 slots."""
    return SamplerEntry(sampler_id, service, ("10.0.0.1", 1), "a", 6, False, {}, born_ms)


def reading(running: int = 0, slowness: float | None = 1.0, waiting: int = 0) -> LoadReading:
    """A reading of a sampler with 6 slots."""
    return LoadReading(running, waiting, 6, slowness)


def rounded(slowness: float) -> int:
    """Running requests of a sampler in the test of medians."""
    return round(slowness * 2)


class DecodeLoadTest(testtools.TestCase):
    """Headers are written by other programs, so a wrong one must not count as a load."""

    def test_three_and_four_figures(self) -> None:
        self.assertEqual(LoadReading(3, 0, 8, None), decode_load("3,0,8"))
        self.assertEqual(LoadReading(3, 1, 8, 2.5), decode_load(" 3, 1, 8, 250 "))

    def test_a_fourth_figure_below_one_half_counts_as_one_half(self) -> None:
        """A sampler that reports 1 by mistake would attract all lookups as the fastest one."""
        for header, slowness in (("0,0,8,1", 0.5), ("0,0,8,50", 0.5), ("0,0,8,59", 0.59)):
            decoded = decode_load(header)
            assert decoded is not None
            self.assertEqual(slowness, decoded.slowness)

    def test_malformed_headers(self) -> None:
        malformed = [
            "", "3", "3,0", "3,0,8,", ",0,8", "3,0,8,100,1", "3,0,8, 3,0,8", "-1,0,8", "+1,0,8",
            "3,0,0", "3,0,8,0", "3,0,8,-5", "3,0,8,nan", "3,0,8,1e3", "3,0,8,2.5", "3;0;8",
            "3,0,99999", "3,0,8,99999", "9" * 5000 + ",0,8", "٣,0,8", "1_0,0,8", "3,0,8\x00",
        ]  # fmt: skip
        for header in malformed:
            self.assertIsNone(decode_load(header), header[:20])


class LoadViewTest(testtools.TestCase):
    """Readings by age and incarnation."""

    def setUp(self) -> None:
        super().setUp()
        self.view = LoadView()

    def test_nothing_known(self) -> None:
        """A sampler that has not responded yet must not look full or slow."""
        estimate = self.view.estimate(entry("a"), 5.0)
        self.assertEqual((0.0, 1.0, math.inf, False), (
            estimate.occupancy, estimate.slowness, estimate.age_s, estimate.shared,
        ))  # fmt: skip

    def test_weight_falls_from_0_3_to_1_5_s(self) -> None:
        """Guards against placement by figures that no longer hold."""
        for at, slowness, name in ((10.0, 3.0, "a"), (11.4, 1.0, "b"), (11.4, 1.0, "c")):
            self.view.record(entry(name), reading(6 if name == "a" else 0, slowness), at, at)
        # At 10.9 s the median of a alone is 3, so ages are compared once b and c are known.
        self.view.record(entry("a"), reading(6, 3.0), 11.4, 11.4)
        for age_s, weight in ((0.0, 1.0), (0.3, 1.0), (0.9, 0.5), (1.2, 0.25)):
            estimate = self.view.estimate(entry("a"), 11.4 + age_s)
            self.assertAlmostEqual(weight, estimate.occupancy)
            self.assertAlmostEqual(1.0 + 2.0 * weight, estimate.slowness)
            self.assertAlmostEqual(age_s, estimate.age_s)

    def test_expired_reading_equals_the_median_of_the_service(self) -> None:
        """Guards against a sampler that is avoided for long because it once was slow."""
        self.view.record(entry("a"), reading(6, 3.0), 10.0, 10.0)
        for name, slowness in (("b", 1.0), ("c", 1.2), ("d", 2.0)):
            self.view.record(entry(name), reading(3, slowness), 11.4, 11.4)
        self.view.record(entry("x", service="other"), reading(6, 9.0), 11.4, 11.4)
        estimate = self.view.estimate(entry("a"), 11.5)
        self.assertAlmostEqual(1.2, estimate.slowness)
        self.assertAlmostEqual(0.5, estimate.occupancy)
        self.assertEqual(1.2, self.view.estimate(entry("unknown"), 11.5).slowness)
        # Once all have expired, nothing is known of the service.
        estimate = self.view.estimate(entry("b"), 13.0)
        self.assertEqual((0.0, 1.0), (estimate.occupancy, estimate.slowness))

    def test_a_single_slow_sampler_does_not_make_the_others_slow(self) -> None:
        """Otherwise all seem equal, and the sampler known to be slow is not avoided."""
        self.view.record(entry("a"), reading(6, 2.5), 10.0, 10.0)
        unknown = self.view.estimate(entry("b"), 10.0)
        self.assertEqual((0.0, 1.0), (unknown.occupancy, unknown.slowness))
        # The own reading gives way to what is usual, not to itself.
        aged = self.view.estimate(entry("a"), 10.9)
        self.assertAlmostEqual(0.5, aged.occupancy)
        self.assertAlmostEqual(1.75, aged.slowness)
        self.view.record(entry("b"), reading(3, 2.0), 10.0, 10.0)
        self.assertEqual(2.25, self.view.estimate(entry("c"), 10.0).slowness)
        self.assertAlmostEqual(1.75, self.view.estimate(entry("a"), 10.9).slowness)

    def test_the_median_leaves_out_the_own_reading(self) -> None:
        """A sampler's own old figure must not hold up its return to what is usual."""
        figures = {"a": 3.0, "b": 1.0, "c": 1.4, "d": 1.4, "e": 2.0}
        for name, slowness in figures.items():
            self.view.record(entry(name), reading(rounded(slowness), slowness), 10.0, 10.0)
        for name, slowness in figures.items():
            others = [other for key, other in figures.items() if key != name]
            estimate = self.view.estimate(entry(name), 10.9)
            self.assertAlmostEqual((slowness + statistics.median(others)) / 2, estimate.slowness)
            expected = (rounded(slowness) + statistics.median(map(rounded, others))) / 12
            self.assertAlmostEqual(expected, estimate.occupancy)
        self.assertEqual(1.4, self.view.estimate(entry("unknown"), 10.9).slowness)

    def test_figures_that_most_samplers_do_not_report(self) -> None:
        """A fourth figure of one sampler says nothing about those that report three."""
        self.view.record(entry("a"), reading(6, 2.5), 10.0, 10.0)
        for name in ("b", "c", "d"):
            self.view.record(entry(name), reading(3, None), 10.0, 10.0)
        estimate = self.view.estimate(entry("b"), 10.0)
        self.assertEqual((0.5, 1.0), (estimate.occupancy, estimate.slowness))

    def test_occupancy_counts_the_smaller_of_the_slots_reported_and_listed(self) -> None:
        """A sampler that reports 65,535 slots by mistake would appear free."""
        listed = msgspec.structs.replace(entry("none"), slots=0)
        cases = [(entry("a"), 65_535, 2.0), (entry("b"), 3, 4.0), (listed, 8, 12.0)]
        for sampler, slots, occupancy in cases:
            self.view.record(sampler, LoadReading(11, 1, slots, 1.0), 10.0, 10.0)
            self.assertEqual(occupancy, self.view.estimate(sampler, 10.0).occupancy)

    def test_newer_reading_replaces_an_older_one(self) -> None:
        """Responses may arrive in another order than the one in which they were measured."""
        self.view.record(entry("a"), reading(1), 10.1, 10.1)
        self.view.record(entry("a"), reading(5), 10.0, 10.2, shared=True)
        self.assertAlmostEqual(1 / 6, self.view.estimate(entry("a"), 10.2).occupancy)
        self.view.record(entry("a"), reading(5), 10.2, 10.2, shared=True)
        estimate = self.view.estimate(entry("a"), 10.2)
        self.assertAlmostEqual(5 / 6, estimate.occupancy)
        self.assertTrue(estimate.shared)

    def test_reading_from_the_future_counts_from_now(self) -> None:
        """A wrong time must not keep a reading for ever."""
        self.view.record(entry("a"), reading(5), 1000.0, 10.0)
        self.assertEqual(0.0, self.view.estimate(entry("a"), 10.0).age_s)
        self.view.record(entry("a"), reading(1), 10.5, 10.5)
        self.assertAlmostEqual(1 / 6, self.view.estimate(entry("a"), 10.5).occupancy)

    def test_restart_of_a_sampler_begins_a_new_record(self) -> None:
        """The new process does not have the load of the earlier one."""
        self.view.record(entry("a", 1), reading(6, 3.0), 10.0, 10.0)
        self.assertEqual(math.inf, self.view.estimate(entry("a", 2), 10.0).age_s)
        # Measured before the last reading of the earlier process, as ages of shared ones may say.
        self.view.record(entry("a", 2), reading(1, 1.0), 9.9, 10.1, shared=True)
        self.assertAlmostEqual(1 / 6, self.view.estimate(entry("a", 2), 10.1).occupancy)

    def test_late_reading_of_an_earlier_incarnation_is_dropped(self) -> None:
        """It would replace the load of the new process."""
        self.view.record(entry("a", 2), reading(1), 10.0, 10.0)
        self.view.record(entry("a", 1), reading(6, 3.0), 10.1, 10.1)
        self.assertAlmostEqual(1 / 6, self.view.estimate(entry("a", 2), 10.1).occupancy)

    def test_late_reading_after_the_directory_removed_and_listed_the_sampler(self) -> None:
        """The earlier process may respond between its restart and the first new reading."""
        self.view.record(entry("a", 1), reading(6, 3.0), 10.0, 10.0)
        self.view.remove("a")
        self.view.on_listed(entry("a", 2))
        self.view.on_listed(entry("a", 1))
        self.view.record(entry("a", 1), reading(6, 3.0), 20.1, 20.1)
        self.assertEqual(1.0, self.view.estimate(entry("a", 2), 20.1).slowness)
        self.assertEqual([], self.view.unexpired(20.1))
        self.assertFalse(self.view.is_in_use("lookups", 20.1))

    def test_removal(self) -> None:
        """A removed sampler must neither start exchanges nor pass its load to a later one."""
        self.view.record(entry("a"), reading(6, 3.0), 10.0, 10.0)
        self.view.remove("a")
        self.view.remove("never seen")
        self.assertEqual(math.inf, self.view.estimate(entry("a"), 10.0).age_s)
        self.assertFalse(self.view.has_full_or_slow_sampler("lookups", 10.0))

    def test_late_response_of_a_removed_sampler(self) -> None:
        """It must neither start exchanges nor change what is usual for the others."""
        listed = {name: entry(name) for name in "abc"}
        view = LoadView(listed.get)
        view.record(entry("gone"), reading(6, 5.0), 10.0, 10.0)
        view.record(entry("a"), reading(0, 1.0), 10.0, 10.0)
        self.assertFalse(view.has_full_or_slow_sampler("lookups", 10.0))
        view.record(entry("b"), reading(0, 1.2), 10.0, 10.0)
        self.assertAlmostEqual(1.1, view.estimate(entry("c"), 10.0).slowness)
        # A removed sampler decays towards the usual of all that are listed.
        self.assertAlmostEqual(3.05, view.estimate(entry("gone"), 10.9).slowness)
        listed["gone"] = entry("gone")
        self.assertTrue(view.has_full_or_slow_sampler("lookups", 10.1))
        self.assertAlmostEqual(1.2, view.estimate(entry("c"), 10.1).slowness)

    def test_in_use_from_a_fourth_figure_for_10_s(self) -> None:
        """Requirement 9: without a fourth figure nothing changes."""
        self.view.record(entry("a"), reading(6, None), 10.0, 10.0)
        self.assertFalse(self.view.is_in_use("lookups", 10.0))
        self.view.record(entry("a"), reading(6, 1.0), 10.1, 10.1)
        self.view.record(entry("a"), reading(6, None), 10.2, 10.2)
        self.assertTrue(self.view.is_in_use("lookups", 10.1))
        self.assertTrue(self.view.is_in_use("lookups", 20.0))
        self.assertFalse(self.view.is_in_use("lookups", 20.2))
        self.assertFalse(self.view.is_in_use("other", 10.1))

    def test_an_older_fourth_figure_does_not_shorten_the_use(self) -> None:
        """Shared readings may arrive later than newer own ones."""
        self.view.record(entry("a"), reading(6, 1.0), 10.1, 10.1)
        self.view.record(entry("b"), reading(6, 1.0), 9.0, 10.2, shared=True)
        self.assertTrue(self.view.is_in_use("lookups", 20.0))

    def test_full_or_slow(self) -> None:
        """Guards against exchanges at rest, and against a surge without exchanges."""
        cases = [
            (reading(5, 1.49), False),
            (reading(6, 1.0), True),
            (reading(0, 1.0, waiting=1), True),
            (reading(0, 1.5), True),
            (reading(0, None), False),
        ]
        for figures, expected in cases:
            view = LoadView()
            view.record(entry("a"), figures, 10.0, 10.0)
            self.assertEqual(expected, view.has_full_or_slow_sampler("lookups", 10.0), figures)
            self.assertFalse(view.has_full_or_slow_sampler("lookups", 11.5), figures)

    def test_starts_of_removed_samplers_are_forgotten_after_a_minute(self) -> None:
        """Ids of samplers are used once in some deployments, so starts would collect for ever."""
        view = LoadView({}.get)
        for number in range(300):
            at = 10.0 + number
            view.on_listed(entry(f"s-{number}"))
            view.record(entry(f"s-{number}"), reading(), at, at)
            view.remove(f"s-{number}")
            # A response that arrives after the removal.
            view.record(entry(f"s-{number}"), reading(), at + 0.5, at + 0.5)
        self.assertLessEqual(len(view._latest_start_ms), 75)
        self.assertLessEqual(len(view._removed), 75)
        # Within the minute, an earlier process does not count.
        view.on_listed(entry("x", 2))
        view.remove("x")
        view.record(entry("y"), reading(), 350.0, 350.0)
        view.record(entry("x", 1), reading(), 360.0, 360.0)
        self.assertIsNone(view.latest(entry("x", 1)))

    def test_memory_is_bounded_by_the_samplers_of_the_last_seconds(self) -> None:
        """Samplers may respond after their removal, when nobody removes them again."""
        for number in range(1000):
            at = 10.0 + number
            self.view.record(entry(f"s-{number}"), reading(), at, at)
        self.assertLessEqual(len(self.view._measured), 12)

    def test_a_sampler_that_moves_to_another_service(self) -> None:
        """Its reading must not stay in the index of the earlier service."""
        self.view.record(entry("a", 1), reading(6, 3.0), 10.0, 10.0)
        self.view.record(entry("a", 1, "other"), reading(6, 3.0), 10.1, 10.1)
        self.assertFalse(self.view.has_full_or_slow_sampler("lookups", 10.1))
        self.assertTrue(self.view.has_full_or_slow_sampler("other", 10.1))
        self.view.remove("a")
        self.assertEqual({}, self.view._by_service)
