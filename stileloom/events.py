"""The numbered log events. `docs/LOG_EVENTS.md` is their catalogue; a test compares both.

Numbers are never reused: 1xxx process and configuration, 2xxx membership, 3xxx ledger and
controller, 4xxx samplers and weights, 5xxx requests, 6xxx platform, 7xxx rounds.
"""

from __future__ import annotations

import enum


class LogEvent(enum.Enum):
    """A log event; the value is its number as it stands in the logs."""

    NODE_STARTED = "STL-1001"
    NODE_STOPPED = "STL-1002"
    DRAIN_STARTED = "STL-1003"
    DRAIN_FINISHED = "STL-1004"
    CONFIGURATION_ADOPTED = "STL-1101"
    CONFIGURATION_REFUSED = "STL-1102"
    CONFIGURATION_LEASE_LAPSED = "STL-1103"
    READER_STARTED = "STL-1104"
    READER_STOPPED = "STL-1105"
    MEMBER_JOINED = "STL-2001"
    MEMBER_SUSPECTED = "STL-2002"
    MEMBER_DEAD = "STL-2003"
    MEMBER_LEAVING = "STL-2004"
    MEMBER_REFUTED = "STL-2005"
    ELECTION_STARTED = "STL-3001"
    LEADER_ELECTED = "STL-3002"
    LEADER_STEPPED_DOWN = "STL-3003"
    SNAPSHOT_TAKEN = "STL-3004"
    SNAPSHOT_INSTALLED = "STL-3005"
    VOTER_WITHOUT_DISK = "STL-3006"
    CONTROLLER_STARTED = "STL-3101"
    CONTROLLER_STOPPED = "STL-3102"
    REVISION_IN_FORCE = "STL-3103"
    SAMPLER_UNKNOWN_VERSION = "STL-4001"
    SAMPLER_LOADED = "STL-4002"
    SAMPLER_LEAVING = "STL-4003"
    SAMPLER_EJECTED = "STL-4004"
    ORDER_REFUSED = "STL-4005"
    ROLE_SHIFTED = "STL-4006"
    REQUEST_FAILED = "STL-5001"
    REQUEST_RETRIED = "STL-5002"
    STREAM_RESUMED = "STL-5003"
    LATE_ANSWER_DROPPED = "STL-5004"
    PLATFORM_DOWN = "STL-6001"
    PLATFORM_UP = "STL-6002"
    VERSION_PUBLISHED = "STL-7001"
    SAMPLE_REFUSED = "STL-7002"
    GENERATION_LOST = "STL-7003"
    GENERATION_SHIFTED = "STL-7004"
