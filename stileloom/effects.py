"""What a part asks its driver to do.

Parts hold no socket, clock or disk. Each call of a part returns a list of effects; the
daemon carries them out over tornado, the simulator in virtual time. Effects are carried
out in the order of the list.
"""

from __future__ import annotations

from typing import Any

import msgspec

from stileloom.events import LogEvent


class Send(msgspec.Struct, frozen=True):
    """Send `message` to the node `to`. May be lost, late or doubled."""

    to: str
    message: Any


class SendToAddress(msgspec.Struct, frozen=True):
    """Send `message` to a seed whose node id is not known yet."""

    host: str
    port: int
    message: Any


class Emit(msgspec.Struct, frozen=True):
    """Write a numbered log event with its fields."""

    event: LogEvent
    fields: dict[str, object] = msgspec.field(default_factory=dict)


Effect = Any
"""One of the structs of this module or of a part's own `effects`."""
