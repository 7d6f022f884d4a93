"""Structured logs: JSON lines on standard output, one numbered event per line.

Each event type is rate limited; suppressed lines are counted and reported periodically. Writes
never block: a line that cannot be written immediately is dropped and counted.
"""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Callable

import structlog

from stileloom.clock import steady_time
from stileloom.events import LogEvent

WARNING_EVENTS = {
    LogEvent.CONFIGURATION_LEASE_LAPSED,
    LogEvent.MEMBER_DEAD,
    LogEvent.VOTER_WITHOUT_DISK,
    LogEvent.SAMPLER_UNKNOWN_VERSION,
    LogEvent.SAMPLER_EJECTED,
    LogEvent.PLATFORM_DOWN,
    LogEvent.GENERATION_LOST,
    LogEvent.STORE_LOST,
    LogEvent.DISK_LOST,
    LogEvent.LEDGER_DAMAGED,
    LogEvent.JOB_REFUSED,
    LogEvent.LEDGER_NODE_SILENT,
    LogEvent.COMMIT_STALLED,
    LogEvent.EVENT_LOOP_BLOCKED,
    LogEvent.ITEM_GIVEN_UP,
    LogEvent.INTERNAL_FAULT,
}

ROUTINE_EVENTS = {
    LogEvent.ITEMS_SENT,
    LogEvent.ITEM_STOPPED,
    LogEvent.RESULTS_LISTED,
    LogEvent.REQUEST_ANSWERED,
}
ROUTINE_LINES_PER_S = 20.0
OTHER_LINES_PER_S = 30.0
BURST_S = 1.0
SUPPRESSION_REPORT_INTERVAL_S = 1.0


class LineRateLimiter:
    """Token bucket per event type, with counts of suppressed lines."""

    def __init__(self) -> None:
        self.suppressed_total = 0
        self._tokens: dict[LogEvent, float] = {}
        self._refilled_at: dict[LogEvent, float] = {}
        self._suppressed: dict[str, int] = {}
        self._next_report_at = 0.0

    def allow(self, event: LogEvent, now: float) -> bool:
        """Takes a token for the event; returns False and counts the line if none is left."""
        rate = ROUTINE_LINES_PER_S if event in ROUTINE_EVENTS else OTHER_LINES_PER_S
        elapsed_s = now - self._refilled_at.get(event, now)
        tokens = self._tokens.get(event, rate * BURST_S) + elapsed_s * rate
        self._refilled_at[event] = now
        if tokens < 1.0:
            self._tokens[event] = tokens
            self.suppressed_total += 1
            name = event.name.lower()
            self._suppressed[name] = self._suppressed.get(name, 0) + 1
            return False
        self._tokens[event] = min(tokens, rate * BURST_S) - 1.0
        return True

    def take_suppressed_counts(self, now: float) -> dict[str, int] | None:
        """Returns and resets the suppressed counts per event if a report is due."""
        if not self._suppressed or now < self._next_report_at:
            return None
        self._next_report_at = now + SUPPRESSION_REPORT_INTERVAL_S
        counts, self._suppressed = self._suppressed, {}
        return counts


class OutputStream:
    """Non-blocking output file for structlog; drops lines instead of blocking."""

    def __init__(self, descriptor: int) -> None:
        self.dropped_total = 0
        self._descriptor = descriptor
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line, or drops it entirely if the output is blocked."""
        if text == "\n":
            return 0
        line = text.encode("utf-8", "replace")
        if not line.endswith(b"\n"):
            line += b"\n"
        try:
            if self._unwritten:
                written = os.write(self._descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
            if self._unwritten:
                self.dropped_total += 1
                return len(text)
            written = os.write(self._descriptor, line)
            self._unwritten = line[written:]
        except OSError:
            self.dropped_total += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing: the file is unbuffered."""


class EventLog:
    """Rate-limited event log that adds the node id to each line."""

    def __init__(self, node_id: str, clock: Callable[[], float] = steady_time) -> None:
        self.rate_limiter = LineRateLimiter()
        self._clock = clock
        self._logger = structlog.get_logger().bind(node=node_id)

    def emit(self, event: LogEvent, fields: dict[str, object]) -> None:
        """Writes an event, or counts it as suppressed if its rate limit is exceeded."""
        now = self._clock()
        counts = self.rate_limiter.take_suppressed_counts(now)
        if counts is not None:
            self._write(LogEvent.LINES_SUPPRESSED, {"counts": counts})
        if self.rate_limiter.allow(event, now):
            self._write(event, fields)

    def _write(self, event: LogEvent, fields: dict[str, object]) -> None:
        level = "warning" if event in WARNING_EVENTS else "info"
        getattr(self._logger, level)(event.name.lower(), number=event.value, **fields)


def configure_logs(level: str, stream: OutputStream | None = None) -> None:
    """Configures structlog for the process; writes to standard output by default."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.WriteLoggerFactory(
            file=stream if stream is not None else sys.stdout  # type: ignore[arg-type]
        ),
    )


def open_output_stream() -> OutputStream:
    """Opens standard output in non-blocking mode, for server processes."""
    return OutputStream(sys.stdout.fileno())
