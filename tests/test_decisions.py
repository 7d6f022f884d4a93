"""Decision records: limits of the buffer, what is recorded, and what operators get."""

from __future__ import annotations

import asyncio
import gc
import math
import time
import tracemalloc

import msgspec
import testtools

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.decisions import (
    CandidateLoad,
    DecisionKind,
    DecisionLog,
    DecisionRecord,
    LookupDecision,
    candidate_load,
)
from stileloom.decisions.log import MAX_BYTES, MAX_RECORDS
from stileloom.decisions.records import DecisionsPage, ServedDecision
from stileloom.errors import ErrorKind, StileloomError, problem_document
from stileloom.jobs.job_admission import ResourceLimits
from stileloom.jobs.messages import JobRefused, SubmitJobCall
from stileloom.jobs.scheduler import ItemScheduler
from stileloom.load import LoadEstimate, LoadReading, LoadView
from stileloom.logging import configure_logs
from stileloom.proxy.sampler_table import SamplerTable
from tests.runner_fixture import MODEL, SERVICE, RunnerFixture, submission

KEPT_RECORDS = 2000
KEPT_BYTES = 400_000
"""Limits of the design page."""


def entry(sampler_id: str) -> SamplerEntry:
    """A sampler of the lookup service."""
    return SamplerEntry(sampler_id, "charts", ("127.0.0.1", 1), "a", 6, False, {})


def figures(sampler_id: str, age_s: float = 0.12) -> CandidateLoad:
    """Figures of a busy sampler."""
    return candidate_load(entry(sampler_id), LoadEstimate(0.834, 2.5, age_s, True), 2.9)


def lookup_record(number: int, request: str = "") -> DecisionRecord:
    """A record of a lookup with all fields that a lookup may have."""
    decision = LookupDecision("survey-team", "charts", 3, 4.0, 17)
    decision.record_selection(
        100.0 + number, [figures("i-8e14c80a3a"), figures("i-9e14c80a3a", 0.731)]
    )
    decision.answered_by = "i-8e14c80a3a"
    request_id = request or f"{number:016x}"
    return decision.answered(request_id, 99.98 + number, 100.04 + number, 200)


def page_of(body: bytes) -> DecisionsPage:
    """Decodes a response."""
    return msgspec.json.decode(body, type=DecisionsPage)


class BufferTest(testtools.TestCase):
    """Limits of the ring buffer and the search by id."""

    def test_the_oldest_records_are_dropped_first(self) -> None:
        log = DecisionLog()
        for number in range(KEPT_RECORDS + 10):
            log.record(DecisionRecord(kind=DecisionKind.JOB_REFUSED, request=f"r{number}", at=1.0))
        self.assertEqual(KEPT_RECORDS, len(log))
        self.assertEqual([], log.page("r9", 1.0).records)
        self.assertEqual(1, len(log.page("r10", 1.0).records))

    def test_long_ids_exceed_neither_the_bytes_nor_hide_the_record(self) -> None:
        """A caller may send request ids of tens of kilobytes, which must not use up memory."""
        log = DecisionLog()
        long_id = "x" * 60_000
        for number in range(3000):
            log.record(lookup_record(number, f"{number}{long_id}"))
        self.assertLessEqual(log.held_bytes, KEPT_BYTES)
        self.assertGreater(len(log), 500)
        (record,) = log.page(f"2999{long_id}", 3200.0).records
        self.assertEqual(128, len(record.request))

    def test_without_an_id_the_newest_fifty_are_listed(self) -> None:
        log = DecisionLog()
        self.assertEqual(DecisionsPage(0, None, []), log.page("", 1.0))
        for number in range(120):
            log.record(lookup_record(number))
        page = log.page("", 300.0)
        self.assertEqual([f"{n:016x}" for n in range(70, 120)], [r.request for r in page.records])
        self.assertEqual((120, 199.96), (page.kept, page.oldest_age_s))

    def test_an_id_is_that_of_a_request_a_job_or_a_job_of_a_tenant(self) -> None:
        log = DecisionLog()
        kind = DecisionKind.ITEM_STARTED
        log.record(DecisionRecord(kind=kind, request="i1", job="survey:step-1", at=1.0))
        log.record(DecisionRecord(kind=kind, request="i1-other", job="survey:step-10", at=1.0))
        for sought in ("i1", "step-1", "survey:step-1"):
            (record,) = log.page(sought, 1.0).records
            self.assertEqual("i1", record.request)
        for sought in ("survey", "step", "i", "survey:i1"):
            self.assertEqual([], log.page(sought, 1.0).records)

    def test_served_records_have_what_was_recorded(self) -> None:
        log = DecisionLog()
        log.record(lookup_record(0))
        (record,) = page_of(msgspec.json.encode(log.page("", 101.04))).records
        self.assertEqual(1.0, record.age_s)
        self.assertEqual(("survey-team", 3, 4.0), (record.tenant, record.priority, record.share))
        self.assertEqual((17, 20), (record.queue_position, record.wait_ms))
        self.assertEqual(("i-8e14c80a3a", 200, 1), (record.sampler, record.status, record.attempts))
        first, second = record.candidates
        self.assertEqual((83, 250, 120), tuple(msgspec.structs.astuple(first))[1:4])
        self.assertEqual((290, True, 731), (first.expected_percent, first.shared, second.age_ms))


class LookupDecisionTest(testtools.TestCase):
    """Which attempt a record describes."""

    def test_of_two_attempts_the_one_that_answered_counts(self) -> None:
        """With a hedge the last selected sampler is often not the one that answers."""
        decision = LookupDecision()
        decision.record_selection(10.0, [figures("a", 0.1)])
        decision.record_selection(10.2, [figures("b", 0.2)])
        decision.answered_by = "a"
        record = decision.answered("r", 9.9, 10.3, 200)
        self.assertEqual(("a", 100, 2), (record.sampler, record.wait_ms, record.attempts))
        self.assertEqual(100, record.candidates[0].age_ms)

    def test_the_first_wait_in_the_queue_counts(self) -> None:
        """A lookup that found all samplers full waits again, then usually at the head."""
        decision = LookupDecision()
        decision.record_admission(3.0, 12)
        decision.record_admission(4.0, 0)
        record = decision.answered("r", 9.0, 10.0, 200)
        self.assertEqual((12, 3.0), (record.queue_position, record.share))

    def test_a_sampler_without_a_reading_has_no_age(self) -> None:
        unknown = LoadEstimate(0.0, 1.0, math.inf, False)
        self.assertIsNone(candidate_load(entry("a"), unknown).age_ms)

    def test_a_refusal_has_its_reason_and_retry_after(self) -> None:
        error = StileloomError(ErrorKind.OVERLOADED, "all full", retry_after_s=0.093)
        record = LookupDecision("t").refused("r", 1.0, 1.023, problem_document(error))
        self.assertEqual(("overloaded", "all full", 0.093), (record.reason, record.detail, 0.093))
        self.assertEqual((503, 23, ""), (record.status, record.wait_ms, record.sampler))
        self.assertEqual(0.093, record.retry_after_s)

    def test_a_stream_that_broke_off_does_not_count_as_answered(self) -> None:
        decision = LookupDecision()
        decision.record_selection(10.0, [figures("a")])
        self.assertIs(DecisionKind.LOOKUP_ABORTED, decision.answered("r", 9.0, 10.0, None).kind)
        decision.answered_by = "a"
        self.assertIs(DecisionKind.LOOKUP_ANSWERED, decision.answered("r", 9.0, 10.0, None).kind)


class LeaderTest(testtools.TestCase):
    """Records of the leader."""

    def test_each_start_of_an_item_has_the_figures_of_its_sampler(self) -> None:
        async def scenario() -> list[ServedDecision]:
            sampler = SamplerEntry("s", SERVICE, ("127.0.0.1", 1), "a", 4, False, {MODEL: 1})
            fixture = RunnerFixture(sampler)
            fixture.submit(submission("j", ["i1", "i2"]))
            with fixture.clock():
                fixture.step()
                fixture.runner.on_versions_listed()
                fixture.step(1.0)
            fixture.runner.stop()
            return fixture.decisions.page("j", fixture.now).records

        configure_logs("error")
        records = asyncio.run(scenario())
        self.assertEqual({"i1", "i2"}, {record.request for record in records})
        for record in records:
            self.assertIs(DecisionKind.ITEM_STARTED, record.kind)
            self.assertEqual(
                ("s", SERVICE, 0), (record.sampler, record.service, record.after_events)
            )
            self.assertEqual((45, 2), (record.event_interval_ms, record.running_there))
            self.assertIsNotNone(record.wait_ms)

    def test_the_interval_is_the_one_by_which_the_sampler_was_rated(self) -> None:
        """The moving average follows noise, and is not what decides where speeds are in use."""
        view = LoadView()
        sampler = SamplerEntry("s", SERVICE, ("127.0.0.1", 1), "a", 4, False, {MODEL: 1})
        scheduler = ItemScheduler(SamplerTable(), load_view=view)
        scheduler.stats("s").interval_s = 0.06
        self.assertEqual(0.06, scheduler.event_interval_s("s", SERVICE, 1.0))
        view.record(sampler, LoadReading(1, 0, 4, 2.5), 1.0, 1.0)
        self.assertEqual(0.06, scheduler.event_interval_s("s", SERVICE, 1.0))
        scheduler.stats("s").interval_s = 0.2
        self.assertEqual(0.06, scheduler.event_interval_s("s", SERVICE, 1.0))
        self.assertEqual(0.2, scheduler.event_interval_s("s", "other", 1.0))

    def test_a_refused_job_has_its_reason_and_retry_after(self) -> None:
        async def scenario() -> None:
            fixture = RunnerFixture()
            service = fixture.service(ResourceLimits(memory_mb=0.0001))
            reply = await service.handle(SubmitJobCall(submission("j", ["i1", "i2"])))
            self.assertIsInstance(reply, JobRefused)
            (record,) = fixture.decisions.page("j", fixture.now).records
            self.assertIs(DecisionKind.JOB_REFUSED, record.kind)
            self.assertEqual(reply, JobRefused(record.reason, record.retry_after_s))
            fixture.runner.stop()

        configure_logs("error")
        asyncio.run(scenario())


class CostTest(testtools.TestCase):
    """Time and memory of recording; run with -s to see the figures."""

    def test_memory_of_a_full_buffer(self) -> None:
        self.assertEqual((KEPT_RECORDS, KEPT_BYTES), (MAX_RECORDS, MAX_BYTES))
        records = [lookup_record(number) for number in range(2 * KEPT_RECORDS)]
        log = DecisionLog()
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        for record in records:
            log.record(record)
        gc.collect()
        used = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        print(f"\n{len(log)} records: {log.held_bytes} bytes counted, {used} bytes allocated")
        self.assertEqual(KEPT_RECORDS, len(log))
        self.assertLessEqual(used, KEPT_BYTES)

    def test_time_of_a_record(self) -> None:
        log = DecisionLog()
        count = 20_000
        records = [lookup_record(number) for number in range(100)]
        started_at = time.process_time()
        for number in range(count):
            log.record(records[number % 100])
        kept_s = time.process_time() - started_at
        view = LoadView()
        samplers = [entry(f"i-{number:010x}") for number in range(28)]
        for sampler in samplers:
            view.record(sampler, LoadReading(5, 0, 6, 2.5), 1.0, 1.0)
        started_at = time.process_time()
        for number in range(count):
            # A new time for each lookup, so that the view computes its medians again.
            now = 1.0 + number * 1e-5
            decision = LookupDecision("survey-team", "charts", 3)
            drawn = samplers[number % 14 : number % 14 + 2]
            decision.record_selection(
                now, [candidate_load(sampler, view.estimate(sampler, now)) for sampler in drawn]
            )
            decision.answered_by = drawn[0].sampler_id
            log.record(decision.answered(f"{number:016x}", now, now, 200))
        all_s = time.process_time() - started_at
        started_at = time.process_time()
        log.page(f"{count - 1:016x}", 0.0)
        page_s = time.process_time() - started_at
        print(
            f"\nkeeping a record: {kept_s / count * 1e6:.1f} us; "
            f"with collecting two candidates of 28 samplers: "
            f"{all_s / count * 1e6:.1f} us; a page of one request: {page_s * 1e3:.2f} ms"
        )
        self.assertEqual(KEPT_RECORDS, len(log))
