"""Calls that one node at a time makes to the operator's service."""

from __future__ import annotations

import msgspec


class UsageReport(msgspec.Struct, frozen=True):
    """Usage of all tenants in one window; a window is never reported with two contents."""

    window: int
    """Number of the window: its start in Unix time, divided by the length of windows."""
    counts: dict[str, int]
    """Requests that samplers began in the window, by tenant."""


class CapacityOrder(msgspec.Struct, frozen=True):
    """The number of samplers of a service that are to run in a zone."""

    service: str
    zone: str
    samplers: int


class DutyHolder(msgspec.Struct, frozen=True):
    """The node that makes a call, and its fencing token."""

    node_id: str
    fence: int
    """The epoch of the node's leadership; no two leaders have the same one."""


class DutyCall(msgspec.Struct, frozen=True):
    """An HTTP request to the operator's service."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
