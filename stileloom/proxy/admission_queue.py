"""Decides which lookups wait for a slot, in which order, and which are refused. Performs no I/O.

Answers surges: more lookups arrive than the samplers of a service have slots. Lookups that cannot
start in time are refused at once, and the others try the samplers one at a time, in an order that
respects priorities and tenants.
"""

from __future__ import annotations

import enum
import heapq
from collections import Counter, OrderedDict, deque
from collections.abc import Callable

import msgspec
import xxhash

MAX_WAIT_FRACTION = 0.125
"""Share of the target latency for which a lookup may wait. One that starts later would miss its
target."""
ATTEMPT_MARGIN_S = 0.003
"""Part of the wait that is kept for the last attempt: a refusal takes a round trip of up to 2.8 ms
between zones, and the caller must be refused within `MAX_WAIT_FRACTION`."""
MIN_TRY_INTERVAL_S = 0.005
"""Shortest interval between tries that follow from the rate. A service with 30 slots and 36 ms of
work frees a slot each 1.2 ms, but most of them are taken by other gateways."""
RATE_WINDOW_S = 2.0
RETRY_AFTER_MIN_FRACTION = 0.25
"""Lower bound of Retry-After as a share of the target latency."""
LATEST_RETURN_FRACTION = 0.625
"""Share of the target latency, from the first request, up to which a return can meet the target: a
wait of an eighth, then half of the target. The rest is for another wait and the work, 0.19 of the
target. With 0.5, at 1.5 times the capacity and 15 gateways, 0.662 instead of 0.676 of the callers
were answered in time."""
EARLIEST_RETURN_FRACTION = 0.6
"""Lower bound of a Retry-After that lets the caller meet its target, as a share of the longest one.
Slots that are expected earlier go to lookups of other gateways. In a burst of 1.8 times the
capacity for 0.2 s at 71 gateways, 0.820 of the callers were answered in time, and 0.773 without
it. With 0.67, fewer were in time with slow samplers: 0.979 instead of 0.988."""
LATEST_START_FRACTION = LATEST_RETURN_FRACTION + MAX_WAIT_FRACTION
"""Share of the target latency, from the first request, after which a lookup that starts counts as
unable to meet its target."""
RETRY_AFTER_MAX_S = 2.0
RETRY_AFTER_JITTER = 0.5
"""Callers that are refused together must not return together."""
RETURN_WINDOW_S = 5.0
"""Time after a refusal in which the same request counts as returned."""
MAX_REFUSED_IDENTITIES = 2000


class RefusalReason(enum.Enum):
    """Why a lookup is refused; the value is used in logs and metrics."""

    EXPECTED_WAIT = "expected_wait"
    """It would wait for too long."""
    WAITED = "waited"
    """It has waited as long as it may."""
    DEADLINE = "deadline"
    """Its deadline has passed while it waited."""


class WaitingLookup(msgspec.Struct, frozen=True):
    """What the order of the queue depends on."""

    request_id: str
    """Unique among the lookups in progress or waiting."""
    tenant: str
    priority: int
    """0 is the most urgent."""
    arrived_at: float
    target_latency_s: float
    deadline_at: float
    identity: Callable[[], str]
    """Digest that is equal for all retries of the request; called only if it may wait."""
    found_full: bool = False
    """Whether all samplers have just refused it for want of a slot."""

    @property
    def wait_until(self) -> float:
        """When its wait ends at the latest."""
        limit = self.arrived_at + self.target_latency_s * MAX_WAIT_FRACTION - ATTEMPT_MARGIN_S
        return min(limit, self.deadline_at)


class Admitted(msgspec.Struct, frozen=True):
    """The lookup may try the samplers now."""


class Queued(msgspec.Struct, frozen=True):
    """The lookup waits until `next_ready` returns it or `expire` refuses it."""

    position: int
    """Number of lookups ahead of it."""
    expected_wait_s: float


class Refused(msgspec.Struct, frozen=True):
    """The lookup is refused; it has not run in consequence of this offer."""

    retry_after_s: float
    reason: RefusalReason
    position: int
    """Number of lookups that were ahead of it."""
    expected_wait_s: float
    """`inf` if samplers freed no slot in the last `RATE_WINDOW_S`."""


Admission = Admitted | Queued | Refused


class _Entry(msgspec.Struct):
    """A waiting lookup."""

    lookup: WaitingLookup
    identity: str
    first_arrived_at: float
    """Arrival of the caller's first request, which is earlier if the caller returned."""
    returned: bool
    sequence: int

    def can_meet_target(self, now: float) -> bool:
        """Whether it ends in time if it starts now, counted from the caller's first request."""
        target_s = self.lookup.target_latency_s
        return now - self.first_arrived_at <= target_s * LATEST_START_FRACTION


class _Refusal(msgspec.Struct, frozen=True):
    """What is kept of a refused request."""

    first_arrived_at: float
    refused_at: float


class AdmissionQueue:
    """Lookups of one service at one process that wait for a slot."""

    def __init__(self, weights: dict[str, float] | None = None) -> None:
        """`weights` are those of tenants; a tenant without one has weight 1."""
        self._weights = weights or {}
        self._waiting: dict[str, _Entry] = {}
        self._in_progress: dict[str, str] = {}
        """Tenant by request id of the lookups that were admitted or handed out."""
        self._in_progress_of: Counter[str] = Counter()
        self._sequence = 0
        self._turns = 0
        """Tries that slots which became free allow, besides those at intervals."""
        self._last_try_at = float("-inf")
        self._freed_at: deque[float] = deque()
        self._backlog = _BacklogTime()
        self._waits_end_at = float("-inf")
        """Latest end of a wait since the queue was empty. A process that was suspended has not had
        lookups waiting for longer than that."""
        self._refused: OrderedDict[str, _Refusal] = OrderedDict()
        """The last refusal by identity, oldest first."""
        self._returns_at: list[float] = []
        """Heap of the moments at which callers that were refused may return."""
        self._returns_in_time_at: list[float] = []
        """Heap of those moments of `_returns_at` at which the target can still be met."""

    def __len__(self) -> int:
        """Returns the number of waiting lookups."""
        return len(self._waiting)

    def in_progress(self, tenant: str) -> int:
        """Number of the tenant's lookups that were let through and have not ended."""
        return self._in_progress_of[tenant]

    # Decisions.

    def offer(self, waiting: WaitingLookup, now: float) -> Admission:
        """Decides about a new lookup, or about one in progress that found all samplers full."""
        self._update_backlog(now)
        self._remove_from_progress(waiting.request_id)
        if waiting.found_full:
            self._last_try_at = now
        elif not self._waiting:
            self._add_to_progress(waiting)
            return Admitted()
        entry = self._entry(waiting, now)
        position = self._position(entry, now)
        expected_wait_s = self._expected_wait_s(position, now)
        if now >= waiting.wait_until:
            return self._refuse(entry, position, expected_wait_s, self._end_reason(waiting), now)
        known = expected_wait_s != float("inf")
        if known and now + expected_wait_s > waiting.wait_until:
            reason = RefusalReason.EXPECTED_WAIT
            return self._refuse(entry, position, expected_wait_s, reason, now)
        self._waiting[waiting.request_id] = entry
        self._waits_end_at = max(self._waits_end_at, waiting.wait_until)
        self._update_backlog(now)
        return Queued(position, expected_wait_s)

    def place_freed(self, now: float) -> None:
        """Records that a lookup of this process ended at a sampler, whose slot became free."""
        self._update_backlog(now)
        self._freed_at.append(now)
        self._drop_old_moments(now)
        self.allow_try()

    def allow_try(self) -> None:
        """Lets the head of the queue try the samplers without waiting for the next interval."""
        self._turns = min(self._turns + 1, len(self._waiting))

    def next_ready(self, now: float) -> WaitingLookup | None:
        """Removes and returns the head of the queue if it should try the samplers now."""
        self._update_backlog(now)
        if not self._waiting or (not self._turns and now < self._next_try_at(now)):
            return None
        in_time = [entry for entry in self._waiting.values() if now < entry.lookup.wait_until]
        if not in_time:
            return None
        lookup = min(in_time, key=lambda entry: self._order(entry, now)).lookup
        del self._waiting[lookup.request_id]
        self._turns = min(max(0, self._turns - 1), len(self._waiting))
        self._last_try_at = now
        self._add_to_progress(lookup)
        self._update_backlog(now)
        return lookup

    def withdraw(self, request_id: str, now: float) -> None:
        """Forgets a lookup that has ended or whose caller has left."""
        self._update_backlog(now)
        self._waiting.pop(request_id, None)
        self._turns = min(self._turns, len(self._waiting))
        self._remove_from_progress(request_id)
        self._update_backlog(now)

    def expire(self, now: float) -> list[tuple[WaitingLookup, Refused]]:
        """Removes and refuses the lookups that have waited as long as they may."""
        self._update_backlog(now)
        ended = [entry for entry in self._waiting.values() if now >= entry.lookup.wait_until]
        positions = {entry.sequence: self._position(entry, now) for entry in ended}
        for entry in ended:
            del self._waiting[entry.lookup.request_id]
        self._turns = min(self._turns, len(self._waiting))
        refusals: list[tuple[WaitingLookup, Refused]] = []
        for entry in ended:
            position = positions[entry.sequence]
            expected_wait_s = self._expected_wait_s(position, now)
            reason = self._end_reason(entry.lookup)
            refused = self._refuse(entry, position, expected_wait_s, reason, now)
            refusals.append((entry.lookup, refused))
        self._update_backlog(now)
        return refusals

    def next_event_at(self) -> float:
        """When `expire` or `next_ready` has something to do; `inf` without waiting lookups."""
        if not self._waiting:
            return float("inf")
        if self._turns:
            return float("-inf")
        ends_at = min(entry.lookup.wait_until for entry in self._waiting.values())
        return min(ends_at, self._next_try_at(self._backlog.updated_at))

    # Order.

    def _entry(self, waiting: WaitingLookup, now: float) -> _Entry:
        self._sequence += 1
        identity = waiting.identity()
        refusal = self._refused.get(identity)
        returned = refusal is not None and now - refusal.refused_at <= RETURN_WINDOW_S
        first_arrived_at = waiting.arrived_at
        if returned and refusal is not None:
            first_arrived_at = min(first_arrived_at, refusal.first_arrived_at)
        return _Entry(waiting, identity, first_arrived_at, returned, self._sequence)

    def _order(self, entry: _Entry, now: float) -> tuple[int, float, bool, bool, float, int]:
        """The sort key; the smallest goes first.

        The share of the tenant precedes the return after a refusal. A tenant that floods returns as
        often as it is refused: the other way round, at one gateway and one tenant at 50 times its
        rate, 59 % of the others' lookups were answered in time instead of all.

        Callers that can no longer meet their target, counted from their first request, would take
        slots from those that can: at 1.5 times the capacity and one gateway, 23 % of the callers
        were answered in time when all that returned went first, and 69 % by the earlier design.
        """
        lookup = entry.lookup
        load = self._in_progress_of[lookup.tenant] / self._weights.get(lookup.tenant, 1.0)
        too_late = not entry.can_meet_target(now)
        latest_start_at = entry.first_arrived_at + lookup.target_latency_s
        return (
            lookup.priority,
            load,
            too_late,
            not entry.returned,
            latest_start_at,
            entry.sequence,
        )

    def _position(self, entry: _Entry, now: float) -> int:
        order = self._order(entry, now)
        return sum(self._order(other, now) < order for other in self._waiting.values())

    def _add_to_progress(self, lookup: WaitingLookup) -> None:
        self._in_progress[lookup.request_id] = lookup.tenant
        self._in_progress_of[lookup.tenant] += 1

    def _remove_from_progress(self, request_id: str) -> None:
        tenant = self._in_progress.pop(request_id, None)
        if tenant is None:
            return
        self._in_progress_of[tenant] -= 1
        if not self._in_progress_of[tenant]:
            del self._in_progress_of[tenant]

    # Rate.

    def _update_backlog(self, now: float) -> None:
        self._backlog.update(now, self._waits_end_at, waiting=bool(self._waiting))
        if not self._waiting:
            self._waits_end_at = float("-inf")

    def _drop_old_moments(self, now: float) -> None:
        while self._freed_at and self._freed_at[0] <= now - RATE_WINDOW_S:
            self._freed_at.popleft()

    def _rate(self, now: float) -> float:
        """Slots that became free per second of the last `RATE_WINDOW_S` in which lookups waited.

        Time without waiting lookups is left out: slots are then free as well, but not counted, and
        a gateway with few lookups would take the service for slow.
        """
        self._drop_old_moments(now)
        if not self._freed_at:
            return 0.0
        backlog_s = self._backlog.duration_s(now - RATE_WINDOW_S)
        return len(self._freed_at) / backlog_s if backlog_s > 0.0 else float("inf")

    def _expected_wait_s(self, position: int, now: float) -> float:
        rate = self._rate(now)
        return (position + 1) / rate if rate > 0.0 else float("inf")

    def _next_try_at(self, now: float) -> float:
        rate = self._rate(now)
        interval_s = max(MIN_TRY_INTERVAL_S, 1.0 / rate) if rate > 0.0 else MIN_TRY_INTERVAL_S
        return self._last_try_at + interval_s

    # Refusals.

    def _end_reason(self, lookup: WaitingLookup) -> RefusalReason:
        at_deadline = lookup.wait_until >= lookup.deadline_at
        return RefusalReason.DEADLINE if at_deadline else RefusalReason.WAITED

    def _refuse(
        self,
        entry: _Entry,
        position: int,
        expected_wait_s: float,
        reason: RefusalReason,
        now: float,
    ) -> Refused:
        lookup = entry.lookup
        retry_after_s = self._return_in_time_s(entry, now)
        if retry_after_s is None:
            drain_s = self._drain_s(len(self._waiting), self._returns_at, now)
            shortest_s = lookup.target_latency_s * RETRY_AFTER_MIN_FRACTION
            bounded_s = min(max(drain_s, shortest_s), RETRY_AFTER_MAX_S)
            retry_after_s = with_jitter(bounded_s, lookup.request_id)
        else:
            heapq.heappush(self._returns_in_time_at, now + retry_after_s)
        heapq.heappush(self._returns_at, now + retry_after_s)
        self._remember(entry, now)
        return Refused(retry_after_s, reason, position, expected_wait_s)

    def _return_in_time_s(self, entry: _Entry, now: float) -> float | None:
        """Retry-After that lets the caller meet its target, if a slot is expected early enough.

        Only lookups that can meet their target as well are ahead of one that returns in time.
        """
        target_s = entry.lookup.target_latency_s
        latest_s = entry.first_arrived_at + target_s * LATEST_RETURN_FRACTION - now
        ahead = sum(other.can_meet_target(now) for other in self._waiting.values())
        drain_s = self._drain_s(ahead, self._returns_in_time_at, now)
        earliest_s = max(drain_s, target_s * RETRY_AFTER_MIN_FRACTION)
        if earliest_s > latest_s:
            return None
        earliest_s = max(earliest_s, latest_s * EARLIEST_RETURN_FRACTION)
        return with_jitter(earliest_s, entry.lookup.request_id, latest_s)

    def _drain_s(self, waiting: int, returns_at: list[float], now: float) -> float:
        """The time in which waiting lookups, refused ones and one more get slots."""
        while returns_at and returns_at[0] <= now:
            heapq.heappop(returns_at)
        return (waiting + len(returns_at) + 1) / self._drain_rate(now)

    def _drain_rate(self, now: float) -> float:
        """The rate; without a freed slot, the highest rate that the wait so far allows."""
        rate = self._rate(now)
        if rate > 0.0:
            return rate
        backlog_s = self._backlog.duration_s(now - RATE_WINDOW_S)
        return 1.0 / backlog_s if backlog_s > 0.0 else float("inf")

    def _remember(self, entry: _Entry, now: float) -> None:
        self._refused[entry.identity] = _Refusal(entry.first_arrived_at, now)
        self._refused.move_to_end(entry.identity)
        while len(self._refused) > MAX_REFUSED_IDENTITIES:
            self._refused.popitem(last=False)


class _BacklogTime:
    """The time within a window in which lookups waited."""

    def __init__(self) -> None:
        self.updated_at = float("-inf")
        self._since: float | None = None
        self._until = 0.0
        self._periods: deque[tuple[float, float]] = deque()
        self._total_s = 0.0

    def update(self, now: float, ends_at: float, waiting: bool) -> None:
        """Records whether lookups wait from now on; none waits beyond `ends_at`."""
        self.updated_at = now
        if waiting and self._since is None:
            self._since = now
        elif not waiting and self._since is not None:
            period = (self._since, max(self._since, min(now, self._until)))
            self._periods.append(period)
            self._total_s += period[1] - period[0]
            self._since = None
        self._until = ends_at

    def duration_s(self, start: float) -> float:
        """The time from `start` to the last update in which lookups waited."""
        while self._periods and self._periods[0][1] <= start:
            since, until = self._periods.popleft()
            self._total_s -= until - since
        total_s = self._total_s if self._periods else 0.0
        if self._periods:
            total_s -= max(0.0, start - self._periods[0][0])
        if self._since is not None:
            total_s += max(0.0, min(self.updated_at, self._until) - max(start, self._since))
        return max(0.0, total_s)


def with_jitter(retry_after_s: float, request_id: str, most_s: float = float("inf")) -> float:
    """Multiplies a Retry-After by 1 to 1.5 but not beyond `most_s`, by a hash of the request id."""
    share = xxhash.xxh3_64_intdigest(request_id.encode()) / 2**64
    longest_s = min(retry_after_s * (1.0 + RETRY_AFTER_JITTER), most_s)
    return round(retry_after_s + (longest_s - retry_after_s) * share, 3)
