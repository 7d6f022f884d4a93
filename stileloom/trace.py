"""Collects the log lines of all processes that relate to one id.

Input lines are JSON; anything before the first brace is ignored. A trace contains the lines that
reference the id, and state changes of the nodes and samplers involved from shortly before the
first of these lines to the last.
"""

from __future__ import annotations

import datetime
from collections.abc import Iterable

import msgspec

from stileloom.errors import ErrorKind
from stileloom.tenants.job_scope import caller_job_id

ID_FIELDS = ("request", "job", "item", "reward", "target", "identity")
"""Fields that hold ids. `reward` links an item to the lines of its reward call."""
QUARANTINED = ErrorKind.QUARANTINED.value
"""Error code of quarantined requests, which are traced by identity across request ids."""
STATE_EVENTS = frozenset(
    {
        "node_started",
        "node_stopped",
        "drain_started",
        "routes_adopted",
        "routes_refused",
        "internal_fault",
        "lines_suppressed",
        "leader_elected",
        "leader_stepped_down",
        "controller_started",
        "controller_stopped",
        "voters_changed",
        "ledger_node_silent",
        "ledger_node_regained",
        "follower_silent",
        "follower_regained",
        "sampler_listed",
        "sampler_unlisted",
        "version_named",
        "version_ordered",
        "store_lost",
        "store_regained",
    }
)
LEADERSHIP_EVENTS = frozenset({"leader_elected", "leader_stepped_down", "controller_started"})
"""Events that are relevant to every trace, whichever node logs them."""
LOOKBACK_S = 4.0
"""State changes up to this long before the first direct line are included."""


class TraceLine(msgspec.Struct, frozen=True):
    """One log line of a trace."""

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, object]
    direct: bool
    """Whether the line relates to the id itself; otherwise it is a related state change."""


class Trace(msgspec.Struct, frozen=True):
    """Log lines related to one id, in chronological order."""

    sought: str
    lines: list[TraceLine]


def parse(text: str) -> TraceLine | None:
    """Parses a log line; returns None if it is not a valid event."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
        at = datetime.datetime.fromisoformat(fields.pop("timestamp"))
        return TraceLine(at, str(fields.pop("node", "")), str(fields.pop("event")), fields, False)
    except (msgspec.DecodeError, KeyError, ValueError, TypeError, AttributeError):
        return None


def collect_trace(sought: str, texts: Iterable[str]) -> Trace:
    """Builds the trace of an id from the log lines of any number of processes."""
    lines = [line for text in texts if (line := parse(text)) is not None]
    reward_ids = {
        str(line.fields["reward"])
        for line in lines
        if "reward" in line.fields and _references(line, sought)
    }
    identities = {
        str(line.fields["identity"])
        for line in lines
        if line.fields.get("code") == QUARANTINED and _references(line, sought)
    }
    direct = [
        msgspec.structs.replace(line, direct=True)
        for line in lines
        if _references(line, sought)
        or line.fields.get("request") in reward_ids
        or line.fields.get("identity") in identities
    ]
    if not direct:
        return Trace(sought, [])
    nodes = {line.node for line in direct}
    samplers = {str(line.fields["sampler"]) for line in direct if "sampler" in line.fields}
    start = min(line.at for line in direct) - datetime.timedelta(seconds=LOOKBACK_S)
    end = max(line.at for line in direct)
    state_changes = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and start <= line.at <= end
        and not _references(line, sought)
        and _is_relevant(line, nodes, samplers)
    ]
    return Trace(sought, sorted(direct + state_changes, key=lambda line: line.at))


def _references(line: TraceLine, sought: str) -> bool:
    if any(line.fields.get(field) == sought for field in ID_FIELDS):
        return True
    if caller_job_id(str(line.fields.get("job", ""))) == sought:
        return True
    items = line.fields.get("items")
    return isinstance(items, list) and sought in items


def _is_relevant(line: TraceLine, nodes: set[str], samplers: set[str]) -> bool:
    if line.event in LEADERSHIP_EVENTS:
        return True
    if "sampler" in line.fields:
        return line.fields["sampler"] in samplers
    return line.node in nodes


def render(trace: Trace) -> str:
    """Formats a trace as text; times are relative to the first direct line."""
    if not trace.lines:
        return f"no log line references {trace.sought}"
    origin = min(line.at for line in trace.lines if line.direct)
    rows = [f"{trace.sought}: from {origin.isoformat()}"]
    for line in trace.lines:
        offset_s = (line.at - origin).total_seconds()
        marker = " " if line.direct else "~"
        fields = " ".join(
            f"{name}={_truncate(value)}"
            for name, value in line.fields.items()
            if name not in ("number", "level") and value != trace.sought
        )
        rows.append(f"{marker}{offset_s:+9.3f} s  {line.node:<22} {line.event:<20} {fields}")
    return "\n".join(rows)


def _truncate(value: object) -> str:
    text = str(value)
    return text if len(text) <= 80 else text[:77] + "..."
