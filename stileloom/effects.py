"""Effects that components return for their driver to execute.

Components perform no I/O and read no clock. Each call returns a list of effects, which the daemon
executes with tornado and the simulator in virtual time. Effects are executed in list order.
"""

from __future__ import annotations

from typing import Any

import msgspec

from stileloom.events import LogEvent


class Send(msgspec.Struct, frozen=True):
    """Send `message` to the node `to`; it may be lost, delayed or duplicated."""

    to: str
    message: Any


class SendToAddress(msgspec.Struct, frozen=True):
    """Send `message` to a seed whose node id is not yet known."""

    host: str
    port: int
    message: Any


class Emit(msgspec.Struct, frozen=True):
    """Write a log event with its fields."""

    event: LogEvent
    fields: dict[str, object] = msgspec.field(default_factory=dict)


Effect = Any
"""A struct defined in this module or by the component that returns it."""
