"""Weight swaps: plans fenced load orders and their sources.

The weight store is rate-limited. In each zone only one sampler loads a version from it; the
others load from samplers of the zone that already hold the version, which forms a distribution
tree.
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

MAX_LOADS_PER_HOLDER = 2
ORDER_TIMEOUT_S = 10.0
"""Time after which a load that has not finished is ordered again and frees its source."""


class SwapStyle(enum.Enum):
    """When a sampler with running generations may swap weights."""

    DRAIN = "drain"
    """Only once no generation is running."""
    IN_FLIGHT = "in_flight"
    """Immediately; running generations continue in a new segment with the new version."""


class SwapTarget(msgspec.Struct, frozen=True):
    """Desired role, model and version of a sampler."""

    role: SamplerRole
    model: str
    version: int


class _SentOrder(msgspec.Struct):
    """The last order sent to a sampler."""

    target: SwapTarget
    token: FencingToken
    sent_at: float
    source: str


class SwapPlanner:
    """Plans orders during one leader epoch."""

    def __init__(self, epoch: int, sequence: Iterator[int]) -> None:
        self._epoch = epoch
        self._sequence = sequence
        self._sent_orders: dict[str, _SentOrder] = {}

    def plan(
        self,
        now: float,
        samplers: list[SamplerView],
        targets: dict[str, SwapTarget],
        style: SwapStyle,
    ) -> list[tuple[str, EngineOrder]]:
        """Returns the orders to send now, by sampler."""
        loading_from = self._count_loads_by_source(now, samplers, targets)
        orders: list[tuple[str, EngineOrder]] = []
        for view in sorted(samplers, key=lambda view: view.sampler_id):
            final = targets.get(view.sampler_id)
            if final is None:
                continue
            target = next_step(view, final)
            if target is None or not self._needs_order(now, view, target, style):
                continue
            if target != final:
                orders.append(
                    (view.sampler_id, self._issue_order(now, view.sampler_id, target, ""))
                )
                continue
            source = self._choose_source(now, view, target, samplers, loading_from)
            if source is None:
                continue
            loading_from[source] = loading_from.get(source, 0) + 1
            orders.append(
                (view.sampler_id, self._issue_order(now, view.sampler_id, target, source))
            )
        return orders

    def _issue_order(
        self, now: float, sampler_id: str, target: SwapTarget, source: str
    ) -> EngineOrder:
        token = FencingToken(self._epoch, next(self._sequence))
        self._sent_orders[sampler_id] = _SentOrder(target, token, now, source)
        address = "" if source.startswith("store/") else source
        return EngineOrder(token, target.role, target.model, target.version, address)

    def _needs_order(
        self, now: float, view: SamplerView, target: SwapTarget, style: SwapStyle
    ) -> bool:
        load = view.load
        if load is None or view.unreachable or view.leaving:
            return False
        if now > view.last_contact_at + constants.SAMPLER_REPORT_STALE_S:
            return False
        if holds(view, target):
            return False
        sent_order = self._sent_orders.get(view.sampler_id)
        if sent_order is not None and sent_order.target == target:
            acknowledged = load.last_order >= sent_order.token
            elapsed_s = now - sent_order.sent_at
            if not acknowledged:
                return elapsed_s >= constants.ORDER_RETRY_INTERVAL_S
            if load.state is EngineState.LOADING:
                return elapsed_s >= ORDER_TIMEOUT_S
            if load.state is EngineState.SERVING and elapsed_s < ORDER_TIMEOUT_S:
                return (
                    load.weight_version != target.version
                    and elapsed_s >= constants.ORDER_RETRY_INTERVAL_S
                )
        only_role_differs = (load.model, load.weight_version) == (target.model, target.version)
        if load.state is EngineState.UNKNOWN_VERSION or only_role_differs:
            return True
        return style is SwapStyle.IN_FLIGHT or view.running == 0

    def _count_loads_by_source(
        self, now: float, samplers: list[SamplerView], targets: dict[str, SwapTarget]
    ) -> dict[str, int]:
        counts: dict[str, int] = {}
        for view in samplers:
            sent_order = self._sent_orders.get(view.sampler_id)
            target = targets.get(view.sampler_id)
            if sent_order is None or target is None or sent_order.target != target:
                continue
            if not holds(view, target) and now < sent_order.sent_at + ORDER_TIMEOUT_S:
                counts[sent_order.source] = counts.get(sent_order.source, 0) + 1
        return counts

    def _choose_source(
        self,
        now: float,
        view: SamplerView,
        target: SwapTarget,
        samplers: list[SamplerView],
        loading_from: dict[str, int],
    ) -> str | None:
        """Returns the address of a free holder, or the weight store, or None to wait."""
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
            if loading_from.get(address, 0) < MAX_LOADS_PER_HOLDER:
                return address
        # The weight store is only used while no sampler of the zone holds the version.
        store = f"store/{zone}/{target.model}"
        if not holders and loading_from.get(store, 0) < 1:
            return store
        return None


def next_step(view: SamplerView, final: SwapTarget) -> SwapTarget | None:
    """Returns the next target on the way to `final`, or None to wait.

    A model change would interrupt running generations. The role is therefore changed first, which
    stops new work, and the weights are replaced once no generation is running.
    """
    load = view.load
    if load is None or load.model == final.model or load.state is not EngineState.SERVING:
        return final
    if load.role is not final.role and load.weight_version is not None:
        return SwapTarget(final.role, load.model, load.weight_version)
    return final if view.running == 0 else None


def holds(view: SamplerView, target: SwapTarget) -> bool:
    """Whether the sampler serves its target."""
    load = view.load
    return (
        load is not None
        and load.state is EngineState.SERVING
        and load.role is target.role
        and load.model == target.model
        and load.weight_version == target.version
    )
