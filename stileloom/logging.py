"""Structured logs: JSON lines on standard error, one numbered event each."""

from __future__ import annotations

import logging
import sys

import structlog

from stileloom.events import LogEvent

WARNING_EVENTS = {
    LogEvent.CONFIGURATION_LEASE_LAPSED,
    LogEvent.MEMBER_DEAD,
    LogEvent.VOTER_WITHOUT_DISK,
    LogEvent.SAMPLER_UNKNOWN_VERSION,
    LogEvent.SAMPLER_EJECTED,
    LogEvent.PLATFORM_DOWN,
    LogEvent.GENERATION_LOST,
}


class EventLog:
    """Writes events with the node's id bound to each."""

    def __init__(self, node_id: str) -> None:
        self._logger = structlog.get_logger().bind(node=node_id)

    def emit(self, event: LogEvent, fields: dict[str, object]) -> None:
        """Writes one event."""
        level = "warning" if event in WARNING_EVENTS else "info"
        getattr(self._logger, level)(event.name.lower(), number=event.value, **fields)


def configure_logs(level: str) -> None:
    """Sets structlog up for a process."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelName(level.upper())),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
    )
