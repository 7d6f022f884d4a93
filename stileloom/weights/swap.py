"""Weight swaps: which samplers get a fenced order now, and where they load from.

The weight store is rate-limited, so in each zone one sampler at a time loads from it and the
others load from samplers of their zone that hold the version: the holders multiply, a tree.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

from stileloom import constants
from stileloom.api.engine import EngineOrder, EngineState
from stileloom.api.objects import SamplerRole
from stileloom.lease import FencingToken
from stileloom.samplers.table import SamplerView

LOADS_PER_HOLDER = 2
ORDER_LOST_S = 10.0
"""An order whose load is neither finished nor under way after this long is given again."""


class SwapStyle(enum.Enum):
    """When a sampler with running generations may swap."""

    DRAIN = "drain"
    """Only once nothing runs on it."""
    IN_FLIGHT = "in_flight"
    """At once: running generations go on with the new version, in a new segment."""


class SwapTarget(msgspec.Struct, frozen=True):
    """What a sampler is meant to hold and do."""

    role: SamplerRole
    model: str
    version: int


class _Ordered(msgspec.Struct):
    """The last order given to a sampler."""

    target: SwapTarget
    token: FencingToken
    sent_at: float
    source: str


class SwapPlanner:
    """Gives orders on behalf of one leader epoch."""

    def __init__(self, epoch: int, sequence: Iterator[int]) -> None:
        self._epoch = epoch
        self._sequence = sequence
        self._ordered: dict[str, _Ordered] = {}

    def plan(
        self,
        now: float,
        samplers: list[SamplerView],
        targets: dict[str, SwapTarget],
        style: SwapStyle,
    ) -> list[tuple[str, EngineOrder]]:
        """The orders to give now, by sampler."""
        loading_from = self._loads_by_source(now, samplers, targets)
        orders: list[tuple[str, EngineOrder]] = []
        for view in sorted(samplers, key=lambda view: view.sampler_id):
            final = targets.get(view.sampler_id)
            if final is None:
                continue
            target = next_step(view, final)
            if target is None or not self._wants_order(now, view, target, style):
                continue
            if target != final:
                orders.append((view.sampler_id, self._order(now, view.sampler_id, target, "")))
                continue
            source = self._source(now, view, target, samplers, loading_from)
            if source is None:
                continue
            loading_from[source] = loading_from.get(source, 0) + 1
            orders.append((view.sampler_id, self._order(now, view.sampler_id, target, source)))
        return orders

    def _order(self, now: float, sampler_id: str, target: SwapTarget, source: str) -> EngineOrder:
        token = FencingToken(self._epoch, next(self._sequence))
        self._ordered[sampler_id] = _Ordered(target, token, now, source)
        address = "" if source.startswith("store/") else source
        return EngineOrder(token, target.role, target.model, target.version, address)

    def _wants_order(
        self, now: float, view: SamplerView, target: SwapTarget, style: SwapStyle
    ) -> bool:
        load = view.load
        if load is None or view.unreachable or view.leaving:
            return False
        if now > view.heard_at + constants.SAMPLER_REPORT_STALE_S:
            return False
        if holds(view, target):
            return False
        ordered = self._ordered.get(view.sampler_id)
        if ordered is not None and ordered.target == target:
            arrived = load.last_order >= ordered.token
            waited = now - ordered.sent_at
            if not arrived:
                return waited >= constants.ORDER_RETRY_S
            if load.state is EngineState.LOADING:
                return waited >= ORDER_LOST_S
            if load.state is EngineState.SERVING and waited < ORDER_LOST_S:
                return load.weight_version != target.version and waited >= constants.ORDER_RETRY_S
        role_only = (load.model, load.weight_version) == (target.model, target.version)
        if load.state is EngineState.UNKNOWN_VERSION or role_only:
            return True
        return style is SwapStyle.IN_FLIGHT or view.running == 0

    def _loads_by_source(
        self, now: float, samplers: list[SamplerView], targets: dict[str, SwapTarget]
    ) -> dict[str, int]:
        counts: dict[str, int] = {}
        for view in samplers:
            ordered = self._ordered.get(view.sampler_id)
            target = targets.get(view.sampler_id)
            if ordered is None or target is None or ordered.target != target:
                continue
            if not holds(view, target) and now < ordered.sent_at + ORDER_LOST_S:
                counts[ordered.source] = counts.get(ordered.source, 0) + 1
        return counts

    def _source(
        self,
        now: float,
        view: SamplerView,
        target: SwapTarget,
        samplers: list[SamplerView],
        loading_from: dict[str, int],
    ) -> str | None:
        """Address of a holder with room, the store, or None to wait."""
        zone = view.machine.zone
        holders = [
            other
            for other in samplers
            if other.machine.zone == zone
            and other.usable(now)
            and other.load is not None
            and (other.load.model, other.load.weight_version) == (target.model, target.version)
        ]
        for holder in sorted(holders, key=lambda other: other.sampler_id):
            address = f"{holder.machine.host}:{holder.machine.port}"
            if loading_from.get(address, 0) < LOADS_PER_HOLDER:
                return address
        # With holders in the zone the store is not asked again.
        store = f"store/{zone}/{target.model}"
        if not holders and loading_from.get(store, 0) < 1:
            return store
        return None


def next_step(view: SamplerView, final: SwapTarget) -> SwapTarget | None:
    """The next target on the way to `final`; None to wait.

    A change of model would cut what runs. So first the role is changed, which stops new work
    and lets the old go on, and the weights only once nothing runs.
    """
    load = view.load
    if load is None or load.model == final.model or load.state is not EngineState.SERVING:
        return final
    if load.role is not final.role and load.weight_version is not None:
        return SwapTarget(final.role, load.model, load.weight_version)
    return final if view.running == 0 else None


def holds(view: SamplerView, target: SwapTarget) -> bool:
    """Whether a sampler serves what it is meant to."""
    load = view.load
    return (
        load is not None
        and load.state is EngineState.SERVING
        and load.role is target.role
        and load.model == target.model
        and load.weight_version == target.version
    )
