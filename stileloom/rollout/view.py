"""Inputs of the controller and records of its plans."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stileloom.api.objects import Configuration
from stileloom.ledger.commands import Command
from stileloom.ledger.state import LedgerState
from stileloom.policy import PolicyRegistry
from stileloom.samplers.table import SamplerTable


class Propose(msgspec.Struct, frozen=True):
    """Effect: propose a command to the ledger, ignoring the result."""

    command: Command


class PlanInputs(msgspec.Struct, frozen=True):
    """Inputs of a plan of a round, compared to detect changes."""

    version: int
    next_slot: int
    next_offset: int
    requested_until: int
    interruptions: int
    sampler_changes: int
    """`SamplerTable.changes` at the time of the plan."""


class PlanRecord(msgspec.Struct):
    """The last plan of a round."""

    inputs: PlanInputs
    replan_at: float
    completions: int
    """`AssignmentTable.completions` at the time of the plan."""
    waiting_for_capacity: bool = False
    """Whether due slots could not start for lack of capacity."""


class ControllerView(msgspec.Struct):
    """Read-only context of one call to the controller."""

    state: LedgerState
    configuration: Configuration
    policies: PolicyRegistry
    table: SamplerTable
    owner_of: Callable[[str], str | None]
    is_healthy: Callable[[str], bool]
    """Whether a node is neither suspected nor dead."""
    wall_time_s: float
    admits_rollouts: bool
    """Whether this node's configuration lease is valid."""
