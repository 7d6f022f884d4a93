"""Sharing of readings between the nodes of a zone. Performs no I/O.

Handles surges in which samplers are full or slow: each gateway alone sees too few responses to know
which. Gateways send the readings that they measured to one ledger node of their zone and receive
those that others measured.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from stileloom.api.sampler_directory import SamplerEntry
from stileloom.hashing import rendezvous_owner, rendezvous_ranked
from stileloom.load.messages import KnownReading, LoadShared, SharedReading, ShareLoadCall
from stileloom.load.readings import LoadReading, make_reading
from stileloom.load.view import EXPIRY_S, LoadView, MeasuredReading

EXCHANGE_INTERVAL_S = 0.2
"""Minimum time between two exchanges of a gateway for a service."""
EXCHANGE_TIMEOUT_S = 0.2
"""Time without a reply after which an exchange has failed."""
BACKOFF_BASE_S = 0.5
"""Delay after the first failure; a node that restarts is often back within it."""
BACKOFF_MAX_S = 8.0
"""Bound of the delay, so that sharing resumes soon after all nodes of a zone were lost."""
PREFERRED_NODE_RETRY_S = 8.0
"""How long another node is used before the preferred one is asked again, after its first failure.

Gateways see each other's readings only if they use the same node. The pause is that of the longest
backoff, because each attempt at a lost node interrupts the sharing for at least `BACKOFF_BASE_S`.
"""
PREFERRED_NODE_RETRY_MAX_S = 60.0
"""Bound of that pause, which doubles with each failure in succession."""
NEWER_BY_S = 0.02
"""Differences below this come from the time that messages take: the reading is the same one."""
MAX_READINGS = 256
"""Limit of the readings in a message, and of those whose incarnation is not listed yet."""

Address = tuple[str, int]
EXPIRED_AGE_MS = round(EXPIRY_S * 1000)


class SentReading(msgspec.Struct, frozen=True):
    """An own reading that was sent."""

    measured_at: float
    sent_at: float


class Exchange(msgspec.Struct, frozen=True, eq=False):
    """One exchange of a gateway with a ledger node."""

    service: str
    node: str
    address: Address
    call: ShareLoadCall
    started_at: float
    own: dict[str, SentReading]
    """Own readings that were sent in this call or earlier to this node, by sampler id."""


class _ServiceState(msgspec.Struct):
    """A gateway's exchanges for one service."""

    next_at: float = -math.inf
    current: Exchange | None = None
    node_rank: int = 0
    """Position of the node in rendezvous order, modulo the number of nodes."""
    preferred_at: float = -math.inf
    """When the first node in rendezvous order is asked again."""
    preferred_failures: int = 0
    """Of that node, since its last successful exchange."""
    failures: int = 0
    """Since the last successful exchange."""
    sent: dict[str, SentReading] = msgspec.field(default_factory=dict)
    """The last own readings that `sent_to` has confirmed, by sampler id."""
    sent_to: Address | None = None
    """Node of the last successful exchange."""
    next_entry: int = 0
    """Position of the first sampler of the next call, where they do not all fit into one."""
    round_trip_s: float = 0.0
    """Of the last successful exchange."""
    own_until: dict[tuple[Address, str, int], float] = msgspec.field(default_factory=dict)
    """Time up to which a node may take an own reading to be measured, by node, sampler and birth.

    The node sees a reading younger than it is by the time of the call's way to it.
    """


class ReadingReceiver:
    """Records readings of other nodes in a view."""

    def __init__(self, view: LoadView, entry_of: Callable[[str], SamplerEntry | None]) -> None:
        self._view = view
        self._entry_of = entry_of
        self._unlisted: dict[tuple[str, int], tuple[LoadReading, float]] = {}
        """Reading and its time, by sampler id and birth; the directory may list it later."""

    def accept(self, readings: list[SharedReading], transit_s: float, now: float) -> None:
        """Records readings; `transit_s` is the longest time that they may have been on their way.

        Drops what has expired, is out of range or is of an earlier incarnation.
        """
        self._unlisted = {
            key: kept for key, kept in self._unlisted.items() if now - kept[1] < EXPIRY_S
        }
        for shared in readings[:MAX_READINGS]:
            reading = make_reading(
                shared.running, shared.waiting, shared.slots, shared.slowness_percent
            )
            age_s = shared.age_ms / 1000 + transit_s
            if reading is None or shared.age_ms < 0 or age_s >= EXPIRY_S:
                continue
            entry = self._entry_of(shared.sampler_id)
            if entry is None or entry.born_ms < shared.born_ms:
                self._keep_unlisted(shared, reading, now - age_s)
            elif entry.born_ms == shared.born_ms:
                self._view.record(entry, reading, now - age_s, now, shared=True)

    def on_listed(self, entry: SamplerEntry, now: float) -> None:
        """Records the reading that was kept until the directory listed this incarnation."""
        kept = self._unlisted.pop((entry.sampler_id, entry.born_ms), None)
        if kept is not None and now - kept[1] < EXPIRY_S:
            self._view.record(entry, kept[0], kept[1], now, shared=True)

    def _keep_unlisted(
        self, shared: SharedReading, reading: LoadReading, measured_at: float
    ) -> None:
        key = (shared.sampler_id, shared.born_ms)
        known = self._unlisted.get(key)
        if known is not None and known[1] > measured_at:
            return
        if known is not None or len(self._unlisted) < MAX_READINGS:
            self._unlisted[key] = (reading, measured_at)


class LoadExchange:
    """A gateway's side: when to exchange, with which node, and what."""

    def __init__(
        self,
        view: LoadView,
        receiver: ReadingReceiver,
        entries_of: Callable[[str], list[SamplerEntry]],
    ) -> None:
        """`entries_of` returns the listed samplers of a service."""
        self._view = view
        self._receiver = receiver
        self._entries_of = entries_of
        self._nodes: dict[str, Address] = {}
        self._services: dict[str, _ServiceState] = {}
        self._nodes_needed_at = -math.inf

    def update_nodes(self, nodes: dict[str, Address]) -> None:
        """Replaces the ledger nodes of this gateway's zone."""
        if nodes == self._nodes:
            return
        self._nodes = dict(nodes)
        for state in self._services.values():
            state.node_rank = 0
            state.preferred_at = -math.inf
            state.preferred_failures = 0

    def needs_nodes(self, service: str, now: float) -> bool:
        """Whether an exchange would be due but no node is known; true once in `BACKOFF_MAX_S`.

        A zone may have no ledger node, and reads of the registrations have a cost.
        """
        if self._nodes or now < self._nodes_needed_at or not self._view.is_in_use(service, now):
            return False
        if not self._view.has_full_or_slow_sampler(service, now):
            return False
        self._nodes_needed_at = now + BACKOFF_MAX_S
        return True

    def begin(self, service: str, now: float) -> Exchange | None:
        """Starts an exchange if one is due; called while a lookup of the service is forwarded.

        The caller must pass it to `complete` or `fail`.
        """
        if not self._nodes or not self._view.is_in_use(service, now):
            return None
        state = self._services.setdefault(service, _ServiceState())
        if state.current is not None or now < state.next_at:
            return None
        if not self._view.has_full_or_slow_sampler(service, now):
            return None
        if state.node_rank and not state.failures and now >= state.preferred_at:
            state.node_rank = 0
        ranked = rendezvous_ranked(service, self._nodes)
        node = ranked[state.node_rank % len(ranked)]
        address = self._nodes[node]
        sent = state.sent if state.sent_to == address else {}
        entries = self._next_entries(service, state)
        call, own = self._make_call(entries, sent, state.round_trip_s, now)
        state.current = Exchange(service, node, address, call, now, own)
        state.next_at = now + EXCHANGE_INTERVAL_S
        return state.current

    def complete(self, exchange: Exchange, reply: LoadShared, now: float) -> None:
        """Handles the reply of the node."""
        state = self._services[exchange.service]
        state.current = None
        state.failures = 0
        if self._is_preferred(exchange):
            state.preferred_failures = 0
        # Earlier calls were about other samplers if they do not all fit into one.
        kept = state.sent if state.sent_to == exchange.address else {}
        state.sent = _confirmed(kept | exchange.own, exchange, reply, now)
        state.sent_to = exchange.address
        # The whole round trip counts, so that a reply held up on its way makes nothing look newer.
        round_trip_s = now - exchange.started_at
        # Longer if this gateway was frozen meanwhile, which says nothing about the next call.
        state.round_trip_s = min(EXCHANGE_TIMEOUT_S, round_trip_s)
        _extend_own_until(state, exchange, round_trip_s, now)
        others = [
            shared
            for shared in reply.readings
            if now - shared.age_ms / 1000 - round_trip_s
            > state.own_until.get((exchange.address, shared.sampler_id, shared.born_ms), -math.inf)
        ]
        self._receiver.accept(others, round_trip_s, now)

    def fail(self, exchange: Exchange, now: float) -> float:
        """Handles a failed exchange; returns the delay before the next node is asked."""
        state = self._services[exchange.service]
        state.current = None
        # The node may have received the call at any later time.
        _extend_own_until(state, exchange, EXPIRY_S, now)
        delay_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2.0 ** min(state.failures, 10))
        state.failures += 1
        state.node_rank += 1
        state.sent_to = None
        state.next_at = now + delay_s
        if self._is_preferred(exchange):
            pause_s = PREFERRED_NODE_RETRY_S * 2.0 ** min(state.preferred_failures, 10)
            state.preferred_at = now + min(PREFERRED_NODE_RETRY_MAX_S, pause_s)
            state.preferred_failures += 1
        return delay_s

    def _is_preferred(self, exchange: Exchange) -> bool:
        return rendezvous_owner(exchange.service, self._nodes) == exchange.node

    def _next_entries(self, service: str, state: _ServiceState) -> list[SamplerEntry]:
        """The samplers of the next call; successive calls pass through all of a service."""
        entries = [entry for entry in self._entries_of(service) if _is_encodable(entry)]
        if len(entries) <= MAX_READINGS:
            return entries
        first = state.next_entry % len(entries)
        state.next_entry = first + MAX_READINGS
        return [*entries[first:], *entries[:first]][:MAX_READINGS]

    def _make_call(
        self,
        entries: list[SamplerEntry],
        sent: dict[str, SentReading],
        round_trip_s: float,
        now: float,
    ) -> tuple[ShareLoadCall, dict[str, SentReading]]:
        readings: list[SharedReading] = []
        known: list[KnownReading] = []
        own: dict[str, SentReading] = {}
        for entry in entries:
            latest = self._view.latest(entry)
            if latest is None or now - latest.measured_at >= EXPIRY_S:
                known.append(KnownReading(entry.sampler_id, entry.born_ms, EXPIRED_AGE_MS))
                continue
            earlier = sent.get(entry.sampler_id)
            is_sent = earlier is not None and earlier.measured_at == latest.measured_at
            if not latest.shared:
                own[entry.sampler_id] = (
                    earlier if earlier and is_sent else SentReading(latest.measured_at, now)
                )
            if latest.shared or is_sent:
                age_ms = _age_ms(latest, now)
                known.append(KnownReading(entry.sampler_id, entry.born_ms, age_ms))
            else:
                # The way to the node takes at most a round trip, which its clock does not show.
                readings.append(encode_reading(latest, now + round_trip_s))
        return ShareLoadCall(readings, known), own


class LoadShareService:
    """A ledger node's side: keeps readings of gateways and returns those of others."""

    def __init__(self, view: LoadView, entry_of: Callable[[str], SamplerEntry | None]) -> None:
        self.receiver = ReadingReceiver(view, entry_of)
        self._view = view
        self._entry_of = entry_of
        self._started_at: float | None = None
        """When the first call was handled; earlier ones were received by an earlier process."""

    def step(self, now: float) -> None:
        """Called at short intervals; detects that this process was frozen.

        Calls that arrived meanwhile were sent long before, which their ages do not show.
        """
        self._view.stalls.step(now)

    def accepts_readings(self, now: float) -> bool:
        """Whether the ages in calls can be relied upon."""
        return self._view.stalls.is_reliable(now)

    def handle(self, call: ShareLoadCall, now: float) -> LoadShared:
        """Records the readings of a gateway and returns those that are newer than its own."""
        if self._started_at is None:
            self._started_at = now
        kept_ms = None
        if self.accepts_readings(now):
            kept_s = min(now - self._started_at, self._view.stalls.reliable_for_s(now), EXPIRY_S)
            kept_ms = math.floor(kept_s * 1000)
            # The gateway has added the time of the way to the ages.
            self.receiver.accept(call.readings, 0.0, now)
        newer: list[SharedReading] = []
        asked: list[SharedReading | KnownReading] = [*call.readings, *call.known]
        for named in asked[:MAX_READINGS]:
            entry = self._entry_of(named.sampler_id)
            latest = self._view.latest(entry) if entry is not None else None
            if latest is None or latest.entry.born_ms != named.born_ms:
                continue
            age_s = now - latest.measured_at
            if age_s < EXPIRY_S and age_s + NEWER_BY_S < named.age_ms / 1000:
                newer.append(encode_reading(latest, now))
        return LoadShared(newer, kept_ms)


def _extend_own_until(
    state: _ServiceState, exchange: Exchange, transit_s: float, now: float
) -> None:
    """Notes that the readings of a call may have been on their way for this time."""
    state.own_until = {
        key: until for key, until in state.own_until.items() if now - until < EXPIRY_S
    }
    for shared in exchange.call.readings:
        key = (exchange.address, shared.sampler_id, shared.born_ms)
        until = exchange.own[shared.sampler_id].measured_at + transit_s
        state.own_until[key] = max(until, state.own_until.get(key, -math.inf))


def _confirmed(
    readings: dict[str, SentReading], exchange: Exchange, reply: LoadShared, now: float
) -> dict[str, SentReading]:
    """The own readings that the node has; it may have been restarted since it received them."""
    if reply.kept_ms is None:
        return {}
    kept_since = now - reply.kept_ms / 1000
    return {
        sampler_id: sent
        for sampler_id, sent in readings.items()
        if now - sent.measured_at < EXPIRY_S
        and (sent.sent_at == exchange.started_at or sent.sent_at >= kept_since)
    }


def encode_reading(latest: MeasuredReading, now: float) -> SharedReading:
    """A reading as it is sent to another node."""
    reading = latest.reading
    percent = None if reading.slowness is None else round(reading.slowness * 100)
    return SharedReading(
        latest.entry.sampler_id,
        latest.entry.born_ms,
        _age_ms(latest, now),
        reading.running,
        reading.waiting,
        reading.slots,
        percent,
    )


def _is_encodable(entry: SamplerEntry) -> bool:
    """Whether a message can carry the birth, an integer of any size that another program wrote."""
    return -(2**63) <= entry.born_ms < 2**64


def _age_ms(latest: MeasuredReading, now: float) -> int:
    """The age rounded up, so that no reading gets younger on its way."""
    return math.ceil(max(0.0, now - latest.measured_at) * 1000)
