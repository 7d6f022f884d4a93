"""Decides which connections of callers are refused or closed. Performs no I/O, reads no clock.

Answers callers that put a gateway under pressure: many connections, slow or large header sections,
slow bodies, and responses that are not read. Without these limits such callers use up the
descriptors of the process, or its memory, and a process over its memory limit is killed with all
requests of all callers.

A request that runs at a sampler is never closed here, because its outcome would become unknown.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator

import msgspec

MEGABYTE = 1_000_000
DESCRIPTORS_SHARE = 0.6
"""Share of the descriptors for callers; samplers, ledger nodes and the store need the rest."""
ADDRESS_SHARE = 0.25
ADDRESS_MIN_CONNECTIONS = 64
HELD_MEMORY_SHARE = 0.3
"""Share of the memory that the process did not use at its start."""
FORWARDING_COPIES = 3
"""Copies of a body while its request runs: the encoded request, the response, and parts of either
one. Without a limit on these copies, a gateway of 88 MB took 93 MB under 60 bodies of 400 kB."""
CONNECTION_BYTES = 12_000
"""Memory of an open connection: 900 took 10.6 MB. It is taken from the bytes that may be held and
from the room for copies; otherwise a gateway of 88 MB with 980 connections reached 87 MB."""
MIN_ROOM_SHARE = 0.4
"""Share of these that is left with any number of connections."""
MIN_HELD_BYTES = MEGABYTE
"""Lower bound for a process that uses nearly all of its memory at its start."""
IDLE_AFTER_S = 1.0
"""Time without a byte after which a connection is closed before those that send a header section.
Without it, a new connection whose request is on its way was the only idle one, and was closed for
the next of many that send header sections slowly."""
HEADER_TIMEOUT_S = 3.0
MIN_BODY_BYTES_PER_S = 2000.0
BODY_GRACE_S = 3.0
"""Age of a body from which its rate is checked: an average over less would close a connection for a
single lost packet."""
UNREAD_TIMEOUT_S = 5.0
STALLED_AFTER_S = 1.0
"""Time without progress after which a response counts as stalled if bytes must be freed. A caller
that reads at all gets its response, so responses that are read are closed last."""
RETRY_AFTER_S = 1.0
RETRY_JITTER = 0.5
GOLDEN_RATIO_CONJUGATE = 0.6180339887498949


class CallerState(enum.Enum):
    """What a caller's connection is used for at the moment."""

    IDLE = "idle"
    """Between requests, or no byte of the first request was received yet."""
    HEADER = "header"
    """A part of a header section was received."""
    BODY = "body"
    """The header section is complete, the body is not."""
    RUNNING = "running"
    """The request is complete, and no byte of its response waits for the caller."""
    RESPONSE = "response"
    """Bytes of the response wait for the caller."""


class Limit(enum.Enum):
    """The limit that was reached."""

    CONNECTIONS = "connections"
    ADDRESS_CONNECTIONS = "address_connections"
    DESCRIPTORS = "descriptors"
    """The process can open no more descriptors, whatever the settings say."""
    HEADER_TIME = "header_time"
    BODY_RATE = "body_rate"
    HELD_BYTES = "held_bytes"
    UNREAD_TIME = "unread_time"


class Close(msgspec.Struct, frozen=True):
    """Close this connection. It no longer counts."""

    connection_id: int
    limit: Limit
    state: CallerState
    address: str
    held_bytes: int
    retry_after_s: float | None = None
    """If set, a refusal is sent first: the request was not read completely, so it has not run."""


class Refuse(msgspec.Struct, frozen=True):
    """Refuse this new connection. It does not count."""

    limit: Limit
    retry_after_s: float


class CallerLimits(msgspec.Struct, frozen=True):
    """Figures of one machine; 0 means that a limit is not enforced."""

    connections: int = 0
    address_connections: int = 0
    held_bytes: int = 0

    @classmethod
    def of_machine(
        cls, descriptors: int, memory_bytes: float, memory_used_at_start: float
    ) -> CallerLimits:
        """Derives the limits; 0 descriptors or bytes mean that the machine's are not known."""
        connections = max(1, int(descriptors * DESCRIPTORS_SHARE)) if descriptors else 0
        by_address = max(ADDRESS_MIN_CONNECTIONS, int(connections * ADDRESS_SHARE))
        free = memory_bytes - memory_used_at_start
        held = max(MIN_HELD_BYTES, int(free * HELD_MEMORY_SHARE)) if memory_bytes else 0
        return cls(connections, min(connections, by_address), held)


class _Connection(msgspec.Struct, eq=False):
    connection_id: int
    address: str
    state: CallerState
    since: float
    """Start of the state; for a response, the time at which the caller last read a part of it."""
    held_bytes: int = 0
    held_at_start: int = 0
    """Bytes held when the state began, which are not part of a body."""
    copied_bytes: int = 0
    """Copies of the request while it runs; they are not part of the bytes held."""


class _Queues:
    """Connections by address in the order in which they were added."""

    def __init__(self) -> None:
        self._all: dict[int, _Connection] = {}
        self._by_address: dict[str, dict[int, _Connection]] = {}

    def add(self, connection: _Connection) -> None:
        self._all[connection.connection_id] = connection
        of_address = self._by_address.setdefault(connection.address, {})
        of_address[connection.connection_id] = connection

    def discard(self, connection: _Connection) -> None:
        if self._all.pop(connection.connection_id, None) is None:
            return
        of_address = self._by_address[connection.address]
        del of_address[connection.connection_id]
        if not of_address:
            del self._by_address[connection.address]

    def oldest(self, address: str | None) -> _Connection | None:
        """The first one, of an address or of all."""
        queue = self._all if address is None else self._by_address.get(address, {})
        return next(iter(queue.values()), None)

    def count(self, address: str) -> int:
        return len(self._by_address.get(address, ()))

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[_Connection]:
        return iter(self._all.values())


class ConnectionLimits:
    """Applies the limits to the connections of one gateway."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._connections: dict[int, _Connection] = {}
        self._by_state = {state: _Queues() for state in CallerState}
        self._address_counts: dict[str, int] = {}
        self._refusals = 0
        self.held_bytes = 0
        """Bytes held for all connections."""
        self._copied_bytes = 0

    def count(self, state: CallerState) -> int:
        """Number of connections in a state."""
        return len(self._by_state[state])

    def opened(self, connection_id: int, address: str, now: float) -> list[Close] | Refuse:
        """Admits a new connection, after others are closed if necessary, or refuses it."""
        limits = self._limits
        count = self._address_counts.get(address, 0)
        freed: list[Close] | Refuse = []
        if limits.address_connections and count >= limits.address_connections:
            freed = self._free_connection(Limit.ADDRESS_CONNECTIONS, address, now)
        elif limits.connections and len(self._connections) >= limits.connections:
            freed = self._free_connection(Limit.CONNECTIONS, None, now)
        if isinstance(freed, Refuse):
            return freed
        connection = _Connection(connection_id, address, CallerState.IDLE, now)
        self._connections[connection_id] = connection
        self._address_counts[address] = self._address_counts.get(address, 0) + 1
        self._by_state[CallerState.IDLE].add(connection)
        return freed

    def descriptors_exhausted(self, now: float) -> list[Close] | Refuse:
        """Frees a descriptor for a connection that could not be accepted."""
        return self._free_connection(Limit.DESCRIPTORS, None, now)

    def state_changed(
        self, connection_id: int, state: CallerState, held_bytes: int, now: float
    ) -> list[Close]:
        """Records what a connection is used for and the bytes held for it.

        A request that is now complete has to be reported before it runs: its own connection is
        closed if there is no room for its copies.
        """
        connection = self._connections.get(connection_id)
        if connection is None:
            return []
        if state is not connection.state:
            if connection.state is CallerState.BODY and state is CallerState.RUNNING:
                if not self._has_room_to_run(held_bytes):
                    return [self._close(connection, Limit.HELD_BYTES)]
                self._set_copied(connection, held_bytes * FORWARDING_COPIES)
            elif state is not CallerState.RUNNING:
                self._set_copied(connection, 0)
            self._by_state[connection.state].discard(connection)
            connection.state = state
            connection.since = now
            connection.held_at_start = held_bytes
            self._by_state[state].add(connection)
        elif state is CallerState.RESPONSE and held_bytes < connection.held_bytes:
            connection.since = now
        self.held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        return self._free_bytes(now)

    def response_read(self, connection_id: int, now: float) -> None:
        """Records that the caller read a part of a response, though it may hold as many bytes."""
        connection = self._connections.get(connection_id)
        if connection is not None and connection.state is CallerState.RESPONSE:
            connection.since = now

    def closed(self, connection_id: int) -> None:
        """Forgets a connection; one that `Close` has named is forgotten already."""
        connection = self._connections.pop(connection_id, None)
        if connection is None:
            return
        self._by_state[connection.state].discard(connection)
        self.held_bytes -= connection.held_bytes
        self._set_copied(connection, 0)
        self._address_counts[connection.address] -= 1
        if not self._address_counts[connection.address]:
            del self._address_counts[connection.address]

    def expired(self, now: float) -> list[Close]:
        """Closes connections whose time for a header section, body or response has passed."""
        headers: list[_Connection] = []
        for connection in self._by_state[CallerState.HEADER]:
            if now - connection.since < HEADER_TIMEOUT_S:
                break
            headers.append(connection)
        bodies = [c for c in self._by_state[CallerState.BODY] if _is_too_slow(c, now)]
        responses = [
            connection
            for connection in self._by_state[CallerState.RESPONSE]
            if now - connection.since >= UNREAD_TIMEOUT_S
        ]
        return [
            *(self._close(connection, Limit.HEADER_TIME) for connection in headers),
            *(self._close(connection, Limit.BODY_RATE) for connection in bodies),
            *(self._close(connection, Limit.UNREAD_TIME) for connection in responses),
        ]

    def _free_connection(
        self, limit: Limit, address: str | None, now: float
    ) -> list[Close] | Refuse:
        """Closes the oldest idle connection, or else the one with the oldest header section."""
        idle = self._by_state[CallerState.IDLE].oldest(address)
        sending = self._by_state[CallerState.HEADER].oldest(address)
        if idle is not None and (sending is None or now - idle.since >= IDLE_AFTER_S):
            return [self._close(idle, limit)]
        if sending is not None:
            return [self._close(sending, limit)]
        return Refuse(limit, self._retry_after_s())

    def _has_room_to_run(self, request_bytes: int) -> bool:
        """The copies get the same share as the bytes held.

        A request that runs alone always has room, however large it is.
        """
        needed = self._copied_bytes + request_bytes * FORWARDING_COPIES
        return not self._limits.held_bytes or not self._copied_bytes or needed <= self._room()

    def _room(self) -> float:
        """The limit on the bytes held with the present number of connections."""
        limit = self._limits.held_bytes
        return max(limit * MIN_ROOM_SHARE, limit - len(self._connections) * CONNECTION_BYTES)

    def _set_copied(self, connection: _Connection, count: int) -> None:
        self._copied_bytes += count - connection.copied_bytes
        connection.copied_bytes = count

    def _free_bytes(self, now: float) -> list[Close]:
        closes: list[Close] = []
        while self._limits.held_bytes and self.held_bytes > self._room():
            connection = self._largest_to_close(now)
            if connection is None:
                break
            closes.append(self._close(connection, Limit.HELD_BYTES))
        return closes

    def _largest_to_close(self, now: float) -> _Connection | None:
        """Of responses that are not read, or else of requests that have not run, or else of all."""
        responses = list(self._by_state[CallerState.RESPONSE])
        stalled = [c for c in responses if now - c.since >= STALLED_AFTER_S]
        received = [*self._by_state[CallerState.BODY], *self._by_state[CallerState.HEADER]]
        for candidates in (stalled, received, responses):
            if candidates:
                return max(candidates, key=lambda connection: connection.held_bytes)
        return None

    def _close(self, connection: _Connection, limit: Limit) -> Close:
        self.closed(connection.connection_id)
        has_part = connection.state in (CallerState.HEADER, CallerState.BODY)
        return Close(
            connection.connection_id,
            limit,
            connection.state,
            connection.address,
            connection.held_bytes,
            self._retry_after_s() if has_part else None,
        )

    def _retry_after_s(self) -> float:
        """Spread over half of its value, so that refused callers do not return together."""
        self._refusals += 1
        fraction = self._refusals * GOLDEN_RATIO_CONJUGATE % 1.0
        return round(RETRY_AFTER_S * (1.0 + RETRY_JITTER * fraction), 3)


def _is_too_slow(connection: _Connection, now: float) -> bool:
    """Whether the body's average rate since the end of its header section is too low."""
    age_s = now - connection.since
    received = connection.held_bytes - connection.held_at_start
    return age_s >= BODY_GRACE_S and received < MIN_BODY_BYTES_PER_S * age_s
