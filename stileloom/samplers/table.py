"""Samplers as known to a node: the machine list combined with load reports and drain requests."""

from __future__ import annotations

import msgspec

from stileloom import constants
from stileloom.api.engine import EngineState, LoadReport
from stileloom.api.objects import Machine, MachineState
from stileloom.effects import Effect, Emit
from stileloom.events import LogEvent
from stileloom.samplers.messages import SamplerReport


class SamplerView(msgspec.Struct):
    """One sampler as seen by this node."""

    machine: Machine
    load: LoadReport | None = None
    last_contact_at: float = float("-inf")
    leaving: bool = False
    unreachable: bool = False

    @property
    def sampler_id(self) -> str:
        return self.machine.sampler_id

    @property
    def running(self) -> int:
        """Generations running or queued on the engine, by its latest report."""
        return self.load.running + self.load.waiting if self.load is not None else 0

    def usable(self, now: float) -> bool:
        """Whether it may be assigned work: it was reported recently, is not leaving, and serves a
        known weight version."""
        if self.leaving or self.unreachable or self.load is None:
            return False
        if now > self.last_contact_at + constants.SAMPLER_REPORT_STALE_S:
            return False
        return self.load.state is EngineState.SERVING


class SamplerTable:
    """All samplers by id. The first indication that a sampler is leaving is final."""

    def __init__(self) -> None:
        self._views: dict[str, SamplerView] = {}
        self._by_pool: dict[str, dict[str, SamplerView]] = {}
        self.changes = 0
        """Incremented when a sampler's state, role, model, version or reachability changes."""
        self.version = 0
        """Incremented when the set of samplers or of leaving samplers changes."""

    def get(self, sampler_id: str) -> SamplerView | None:
        """The sampler, or None if it is not in the machine list."""
        return self._views.get(sampler_id)

    def views(self) -> list[SamplerView]:
        return list(self._views.values())

    def in_pool(self, pool: str) -> list[SamplerView]:
        return list(self._by_pool.get(pool, {}).values())

    def set_machines(self, machines: list[Machine]) -> list[Effect]:
        """Applies a machine list. Nothing is kept of samplers that are missing from it."""
        effects: list[Effect] = []
        listed = {machine.sampler_id: machine for machine in machines}
        for sampler_id in self._views.keys() - listed.keys():
            del self._views[sampler_id]
        for sampler_id, machine in listed.items():
            view = self._views.get(sampler_id)
            if view is None:
                view = SamplerView(machine)
                self._views[sampler_id] = view
            view.machine = machine
            if machine.state is MachineState.LEAVING:
                effects += self.mark_draining(sampler_id)
        self._by_pool = {}
        for view in self._views.values():
            self._by_pool.setdefault(view.machine.pool, {})[view.sampler_id] = view
        self.version += 1
        self.changes += 1
        return effects

    def on_report(self, now: float, report: SamplerReport) -> list[Effect]:
        """Applies an owner's report."""
        effects: list[Effect] = []
        for load in report.loads:
            view = self._views.get(load.sampler_id)
            if view is None:
                continue
            if view.load is None or state_changed(view.load, load) or view.unreachable:
                self.changes += 1
            effects += _version_events(view.load, load)
            view.load = load
            view.last_contact_at = now
            view.unreachable = False
            if load.state is EngineState.LEAVING:
                effects += self.mark_draining(load.sampler_id)
        for sampler_id in report.unreachable:
            view = self._views.get(sampler_id)
            if view is not None and not view.unreachable:
                view.unreachable = True
                self.changes += 1
        return effects

    def mark_draining(self, sampler_id: str) -> list[Effect]:
        """Excludes a sampler from new work; later reports do not undo this."""
        view = self._views.get(sampler_id)
        if view is None or view.leaving:
            return []
        view.leaving = True
        self.version += 1
        self.changes += 1
        return [Emit(LogEvent.SAMPLER_LEAVING, {"sampler": sampler_id})]


def state_changed(before: LoadReport, after: LoadReport) -> bool:
    """Whether anything other than the load changed."""
    return (before.state, before.role, before.model, before.weight_version) != (
        after.state,
        after.role,
        after.model,
        after.weight_version,
    )


def _version_events(before: LoadReport | None, after: LoadReport) -> list[Effect]:
    fields: dict[str, object] = {"sampler": after.sampler_id, "version": after.weight_version}
    if before is None:
        return []
    if after.state is EngineState.UNKNOWN_VERSION and before.state is not after.state:
        return [Emit(LogEvent.SAMPLER_UNKNOWN_VERSION, fields)]
    if after.weight_version != before.weight_version and after.weight_version is not None:
        return [Emit(LogEvent.SAMPLER_LOADED, fields)]
    return []
