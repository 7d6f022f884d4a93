"""What the controller looks at, and the small records it keeps."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stileloom.api.objects import Configuration
from stileloom.ledger.commands import Command
from stileloom.ledger.state import LedgerState
from stileloom.policy import PolicyBook
from stileloom.samplers.table import SamplerTable


class Propose(msgspec.Struct, frozen=True):
    """Propose a command to the ledger; nobody waits for the result."""

    command: Command


class PlanBasis(msgspec.Struct, frozen=True):
    """What the last plan of a round was based on."""

    version: int
    next_slot: int
    next_offset: int
    wanted_until: int
    interruptions: int
    samplers: int


class Planned(msgspec.Struct):
    """The last plan of a round, and when the next one is due in any case."""

    basis: PlanBasis
    again_at: float
    ends: int
    """Ends of generations before it."""
    waits_for_room: bool = False
    """Whether something was due and found no room."""


class ControllerView(msgspec.Struct):
    """What the controller may look at in one call."""

    state: LedgerState
    configuration: Configuration
    policies: PolicyBook
    table: SamplerTable
    owner_of: Callable[[str], str | None]
    is_working: Callable[[str], bool]
    """Whether a node is neither suspected nor dead."""
    wall_time_s: float
    admits_rollouts: bool
    """Whether this node's configuration lease holds."""
