"""Interface through which requests to samplers are admitted."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Protocol

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.proxy.sampler_table import SamplerTable


class RequestPermit(Protocol):
    """Admission of one arrival of a request."""

    @property
    def suspected(self) -> bool:
        """Whether any sampler is known to have crashed under the request."""

    @property
    def attempts_left(self) -> int:
        """How many more attempts the request may have."""

    def leaves_healthy_sampler(self, samplers: SamplerTable, service: str) -> bool:
        """Whether a healthy sampler of the service remains if the request crashes the next one."""

    async def on_attempt_failed(self, entry: SamplerEntry, started_at: float) -> None:
        """Handles a failed attempt; `started_at` is in monotonic seconds."""

    def record_success(self) -> None:
        """Records a successful response."""


class RequestGuard(Protocol):
    """Admits requests to samplers."""

    async def admit(self, request_id: str, compute_identity: Callable[[], str]) -> RequestPermit:
        """Admits a request, or raises `StileloomError` (QUARANTINED)."""


class UnrestrictedGuard:
    """Admits every request; for calls of accepted work, which is owed and has no caller to retry.

    Such calls do not crash samplers, so a crash is no evidence against them.
    """

    async def admit(self, request_id: str, compute_identity: Callable[[], str]) -> RequestPermit:
        """Implements `RequestGuard`."""
        return _UnrestrictedPermit()


class _UnrestrictedPermit:
    """Implements `RequestPermit` without a limit."""

    suspected = False
    attempts_left = sys.maxsize

    def leaves_healthy_sampler(self, samplers: SamplerTable, service: str) -> bool:
        return True

    async def on_attempt_failed(self, entry: SamplerEntry, started_at: float) -> None:
        return

    def record_success(self) -> None:
        return
