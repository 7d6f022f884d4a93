"""Inputs available to policy rules."""

from __future__ import annotations

import datetime
import zoneinfo

import msgspec


class RequestInput(msgspec.Struct, frozen=True):
    """`request`: a lookup or a prompt of a round."""

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
    """`round`: the round of a prompt; all zero for a lookup."""

    version: int = 0
    staleness_bound: int = 0
    samples_per_step: int = 0


class PoolInput(msgspec.Struct, frozen=True):
    """`pool`: the pool and the zone of a candidate sampler."""

    name: str = ""
    zone: str = ""
    home_role: str = "lookup"


class TimeInput(msgspec.Struct, frozen=True):
    """`time`: the wall-clock time in the policy's time zone."""

    hour: int = 0
    minute: int = 0
    weekday: int = 1
    """ISO weekday: Monday is 1."""


class RuleInputs(msgspec.Struct, frozen=True):
    """All inputs of a rule."""

    request: RequestInput = RequestInput()
    round: RoundInput = RoundInput()
    pool: PoolInput = PoolInput()
    time: TimeInput = TimeInput()


INPUT_FIELDS: dict[str, list[str]] = {
    field.name: [inner.name for inner in msgspec.structs.fields(field.type)]
    for field in msgspec.structs.fields(RuleInputs)
}
"""Field names of each input."""


def time_input(wall_time_s: float, time_zone: str) -> TimeInput:
    """Returns the time in a time zone. Raises `zoneinfo.ZoneInfoNotFoundError`."""
    local_time = datetime.datetime.fromtimestamp(wall_time_s, zoneinfo.ZoneInfo(time_zone))
    return TimeInput(local_time.hour, local_time.minute, local_time.isoweekday())
