"""The closed list of what a policy's rules can see."""

from __future__ import annotations

import datetime
import zoneinfo

import msgspec


class RequestInput(msgspec.Struct, frozen=True):
    """`request`: the lookup, or the prompt of a round."""

    target: str = ""
    """Name of the service or round."""
    kind: str = "lookup"
    """`lookup` or `rollout`."""
    tenant: str = ""
    priority: int = 50
    repeatable: bool = True
    max_tokens: int = 0
    group: str = ""


class RoundInput(msgspec.Struct, frozen=True):
    """`round`: the round a prompt belongs to; zeros for a lookup."""

    version: int = 0
    staleness_bound: int = 0
    samples_per_step: int = 0


class PoolInput(msgspec.Struct, frozen=True):
    """`pool`: the pool and zone that might take the work."""

    name: str = ""
    zone: str = ""
    home_role: str = "lookup"


class TimeInput(msgspec.Struct, frozen=True):
    """`time`: the wall clock in the policy's time zone."""

    hour: int = 0
    minute: int = 0
    weekday: int = 1
    """ISO: Monday is 1."""


class RuleInputs(msgspec.Struct, frozen=True):
    """Everything that a rule can name."""

    request: RequestInput = RequestInput()
    round: RoundInput = RoundInput()
    pool: PoolInput = PoolInput()
    time: TimeInput = TimeInput()


INPUT_FIELDS: dict[str, list[str]] = {
    field.name: [inner.name for inner in msgspec.structs.fields(field.type)]
    for field in msgspec.structs.fields(RuleInputs)
}
"""By input, the names that it has."""


def time_input(wall_time_s: float, time_zone: str) -> TimeInput:
    """The clock in a named zone. Raises `zoneinfo.ZoneInfoNotFoundError`."""
    moment = datetime.datetime.fromtimestamp(wall_time_s, zoneinfo.ZoneInfo(time_zone))
    return TimeInput(moment.hour, moment.minute, moment.isoweekday())
