"""Structured logs: JSON lines on standard output, one numbered event each.

The volume is bounded: each event has a budget of lines a second, and what goes over it is
counted and told by one line. Writing never blocks: a line that the reader does not take at
once is dropped and counted.
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
    LogEvent.LEDGER_NODE_SILENT,
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
SUPPRESSION_NOTICE_S = 1.0


class LineBudget:
    """A token bucket for each event, and a count of what went over it."""

    def __init__(self) -> None:
        self.suppressed_total = 0
        self._tokens: dict[LogEvent, float] = {}
        self._filled_at: dict[LogEvent, float] = {}
        self._suppressed: dict[str, int] = {}
        self._notice_at = 0.0

    def admits(self, event: LogEvent, now: float) -> bool:
        """Whether a line of this event may be written now."""
        rate = ROUTINE_LINES_PER_S if event in ROUTINE_EVENTS else OTHER_LINES_PER_S
        elapsed_s = now - self._filled_at.get(event, now)
        tokens = self._tokens.get(event, rate * BURST_S) + elapsed_s * rate
        self._filled_at[event] = now
        if tokens < 1.0:
            self._tokens[event] = tokens
            self.suppressed_total += 1
            name = event.name.lower()
            self._suppressed[name] = self._suppressed.get(name, 0) + 1
            return False
        self._tokens[event] = min(tokens, rate * BURST_S) - 1.0
        return True

    def take_notice(self, now: float) -> dict[str, int] | None:
        """Counts by event, when it is time to tell them."""
        if not self._suppressed or now < self._notice_at:
            return None
        self._notice_at = now + SUPPRESSION_NOTICE_S
        counts, self._suppressed = self._suppressed, {}
        return counts


class OutputStream:
    """A file that structlog prints to; drops lines that the reader does not take at once."""

    def __init__(self, descriptor: int) -> None:
        self.dropped_total = 0
        self._descriptor = descriptor
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Writes a line, or drops it whole."""
        if text == "\n":
            return 0
        line = text.encode("utf-8", "replace")
        if not line.endswith(b"\n"):
            line += b"\n"
        try:
            if self._rest:
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]
            if self._rest:
                self.dropped_total += 1
                return len(text)
            written = os.write(self._descriptor, line)
            self._rest = line[written:]
        except OSError:
            self.dropped_total += 1
        return len(text)

    def flush(self) -> None:
        """Nothing is held back."""


class EventLog:
    """Writes events with the node's id bound to each, within a budget."""

    def __init__(self, node_id: str, clock: Callable[[], float] = steady_time) -> None:
        self.budget = LineBudget()
        self._clock = clock
        self._logger = structlog.get_logger().bind(node=node_id)

    def emit(self, event: LogEvent, fields: dict[str, object]) -> None:
        """Writes one event, or counts it where its budget is used up."""
        now = self._clock()
        notice = self.budget.take_notice(now)
        if notice is not None:
            self._write(LogEvent.LINES_SUPPRESSED, {"counts": notice})
        if self.budget.admits(event, now):
            self._write(event, fields)

    def _write(self, event: LogEvent, fields: dict[str, object]) -> None:
        level = "warning" if event in WARNING_EVENTS else "info"
        getattr(self._logger, level)(event.name.lower(), number=event.value, **fields)


def configure_logs(level: str, stream: OutputStream | None = None) -> None:
    """Sets structlog up for a process; logs go to standard output."""
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
    """Standard output that never blocks, for a process that serves."""
    return OutputStream(sys.stdout.fileno())
