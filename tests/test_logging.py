"""Rate limiting, non-blocking log output and tracing of ids in logs."""

from __future__ import annotations

import json
import os
from typing import Any

import testtools

from stileloom.events import LogEvent
from stileloom.logging import (
    BURST_S,
    OTHER_LINES_PER_S,
    EventLog,
    LineRateLimiter,
    OutputStream,
    configure_logs,
)
from stileloom.trace import collect_trace, render

LINE_COUNT = 10_000


class RateLimitTest(testtools.TestCase):
    """Rate limit per event type."""

    def test_excess_lines_are_suppressed_and_counted_per_event(self) -> None:
        limiter = LineRateLimiter()
        admitted = sum(limiter.allow(LogEvent.ATTEMPT_FAILED, 1.0) for _ in range(LINE_COUNT))
        self.assertEqual(OTHER_LINES_PER_S * BURST_S, admitted)
        self.assertEqual(LINE_COUNT - admitted, limiter.suppressed_total)
        self.assertTrue(limiter.allow(LogEvent.LEADER_ELECTED, 1.0))
        self.assertEqual(
            {"attempt_failed": LINE_COUNT - admitted}, limiter.take_suppressed_counts(2.0)
        )
        self.assertIsNone(limiter.take_suppressed_counts(3.0))
        self.assertTrue(limiter.allow(LogEvent.ATTEMPT_FAILED, 2.0))

    def test_suppressed_lines_are_reported_in_the_log(self) -> None:
        read, write = os.pipe()
        configure_logs("info", OutputStream(write))
        self.addCleanup(configure_logs, "error")
        now = [0.0]
        log = EventLog("n", clock=lambda: now[0])
        for _ in range(100):
            log.emit(LogEvent.ATTEMPT_FAILED, {"request": "r"})
        now[0] = 5.0
        log.emit(LogEvent.ATTEMPT_FAILED, {"request": "r"})
        os.close(write)
        with os.fdopen(read) as lines:
            events = [json.loads(line) for line in lines]
        reports = [event for event in events if event["event"] == "lines_suppressed"]
        suppressed = 100 - OTHER_LINES_PER_S * BURST_S
        self.assertEqual(suppressed, sum(event["counts"]["attempt_failed"] for event in reports))


class OutputStreamTest(testtools.TestCase):
    """Output to a blocked or closed pipe."""

    def test_lines_to_a_blocked_output_are_dropped_and_counted(self) -> None:
        read, write = os.pipe()
        self.addCleanup(os.close, read)
        self.addCleanup(os.close, write)
        stream = OutputStream(write)
        line = "x" * 999
        for _ in range(1000):
            stream.write(line)
        self.assertGreater(stream.dropped_total, 900)

    def test_lines_are_never_truncated(self) -> None:
        read, write = os.pipe()
        stream = OutputStream(write)
        for number in range(4000):
            stream.write(json.dumps({"n": number, "pad": "y" * 40}))
            if number % 1500 == 1499:
                os.read(read, 200_000)
        os.set_blocking(read, False)
        rest = os.read(read, 1_000_000).decode()
        os.close(write)
        os.close(read)
        for line in rest.splitlines()[1:]:
            json.loads(line)

    def test_a_line_to_a_closed_output_is_dropped_and_counted(self) -> None:
        read, write = os.pipe()
        stream = OutputStream(write)
        os.close(read)
        stream.write("x")
        os.close(write)
        self.assertEqual(1, stream.dropped_total)


def line(second: float, node: str, event: str, **fields: Any) -> str:
    """A log line with a prefix, as log collectors add."""
    timestamp = f"2026-01-01T00:00:{second:09.6f}Z"
    body = {"node": node, "number": "STL-0", "event": event, "timestamp": timestamp, **fields}
    return f"  {second} {node} {json.dumps(body)}"


class TraceTest(testtools.TestCase):
    """Log lines related to an id."""

    def test_direct_lines_and_related_state_changes_in_order(self) -> None:
        texts = [
            line(10.0, "g1", "attempt_failed", request="r1", sampler="s1"),
            line(9.0, "l1", "sampler_unlisted", sampler="s1", sign="entry removed"),
            line(9.5, "l1", "sampler_unlisted", sampler="s2", sign="entry removed"),
            line(10.2, "g1", "request_refused", request="r1", code="overloaded"),
            line(10.1, "g2", "request_refused", request="r2", code="overloaded"),
            line(8.0, "g1", "store_lost", kind="samplers"),
            line(1.0, "g1", "routes_adopted", version=3),
            "not json",
            "{broken",
        ]
        trace = collect_trace("r1", texts)
        self.assertEqual(
            ["store_lost", "sampler_unlisted", "attempt_failed", "request_refused"],
            [entry.event for entry in trace.lines],
        )
        self.assertIn("code=overloaded", render(trace))

    def test_a_quarantined_request_is_traced_to_the_samplers_that_it_crashed(self) -> None:
        texts = [
            line(1.0, "g1", "sampler_probed", request="r1", identity="x", sampler="s1"),
            line(1.5, "l1", "request_held", identity="x", ends=["s1"]),
            line(2.0, "g2", "request_refused", request="r2", code="quarantined", identity="x"),
            line(2.5, "g2", "sampler_probed", request="r3", identity="y", sampler="s2"),
        ]
        events = [entry.event for entry in collect_trace("r2", texts).lines]
        self.assertEqual(["sampler_probed", "request_held", "request_refused"], events)
        self.assertEqual(3, len(collect_trace("x", texts).lines))

    def test_items_are_found_in_lists(self) -> None:
        texts = [line(1.0, "l1", "results_listed", job="j", items=["a", "b"])]
        self.assertEqual(1, len(collect_trace("b", texts).lines))
        self.assertEqual(1, len(collect_trace("j", texts).lines))
        self.assertEqual([], collect_trace("c", texts).lines)
