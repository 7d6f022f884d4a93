"""From a request's id to its story: gathers log lines of all processes around one id.

Lines are JSON as the processes write them, with anything before the first brace ignored. A
line belongs to the story if it names the id; a state change belongs to it if it happened at
a process or sampler of the story, shortly before or during it.
"""

from __future__ import annotations

import datetime
from collections.abc import Iterable

import msgspec

from stileloom.errors import ErrorKind

ID_FIELDS = ("request", "job", "item", "reward", "target", "identity")
"""A line that names a reward call leads from its item to the lines of that call."""
QUARANTINED = ErrorKind.QUARANTINED.value
"""A refusal of this kind leads to all lines of the same request under other ids."""
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
LEDGER_EVENTS = frozenset({"leader_elected", "leader_stepped_down", "controller_started"})
"""Who leads concerns every job, whichever node says it."""
BEFORE_S = 4.0
"""State changes so long before the first line of the story still count."""


class TraceLine(msgspec.Struct, frozen=True):
    """One log line of the story."""

    at: datetime.datetime
    node: str
    event: str
    fields: dict[str, object]
    direct: bool
    """Whether the line names the id; else it is a state change beside it."""


class Trace(msgspec.Struct, frozen=True):
    """The story of one id."""

    sought: str
    lines: list[TraceLine]


def parse(text: str) -> TraceLine | None:
    """A log line, or None where the text is none."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
        at = datetime.datetime.fromisoformat(fields.pop("timestamp"))
        return TraceLine(at, str(fields.pop("node", "")), str(fields.pop("event")), fields, False)
    except (msgspec.DecodeError, KeyError, ValueError, TypeError, AttributeError):
        return None


def gather(sought: str, texts: Iterable[str]) -> Trace:
    """The story of an id out of the lines of any number of processes."""
    lines = [line for text in texts if (line := parse(text)) is not None]
    rewards = {
        str(line.fields["reward"])
        for line in lines
        if "reward" in line.fields and _names(line, sought)
    }
    suspects = {
        str(line.fields["identity"])
        for line in lines
        if line.fields.get("code") == QUARANTINED and _names(line, sought)
    }
    direct = [
        msgspec.structs.replace(line, direct=True)
        for line in lines
        if _names(line, sought)
        or line.fields.get("request") in rewards
        or line.fields.get("identity") in suspects
    ]
    if not direct:
        return Trace(sought, [])
    nodes = {line.node for line in direct}
    samplers = {str(line.fields["sampler"]) for line in direct if "sampler" in line.fields}
    begin = min(line.at for line in direct) - datetime.timedelta(seconds=BEFORE_S)
    end = max(line.at for line in direct)
    beside = [
        line
        for line in lines
        if line.event in STATE_EVENTS
        and begin <= line.at <= end
        and not _names(line, sought)
        and _concerns(line, nodes, samplers)
    ]
    return Trace(sought, sorted(direct + beside, key=lambda line: line.at))


def _names(line: TraceLine, sought: str) -> bool:
    if any(line.fields.get(field) == sought for field in ID_FIELDS):
        return True
    items = line.fields.get("items")
    return isinstance(items, list) and sought in items


def _concerns(line: TraceLine, nodes: set[str], samplers: set[str]) -> bool:
    if line.event in LEDGER_EVENTS:
        return True
    if "sampler" in line.fields:
        return line.fields["sampler"] in samplers
    return line.node in nodes


def render(trace: Trace) -> str:
    """The story as text: seconds from its first own line, node, event, fields."""
    if not trace.lines:
        return f"no line names {trace.sought}"
    origin = min(line.at for line in trace.lines if line.direct)
    rows = [f"{trace.sought}: from {origin.isoformat()}"]
    for line in trace.lines:
        offset_s = (line.at - origin).total_seconds()
        mark = " " if line.direct else "~"
        fields = " ".join(
            f"{name}={_short(value)}"
            for name, value in line.fields.items()
            if name not in ("number", "level") and value != trace.sought
        )
        rows.append(f"{mark}{offset_s:+9.3f} s  {line.node:<22} {line.event:<20} {fields}")
    return "\n".join(rows)


def _short(value: object) -> str:
    text = str(value)
    return text if len(text) <= 80 else text[:77] + "..."
