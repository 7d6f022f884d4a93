"""Finds the ledger's leader by asking all known ledger nodes at once.

Asking one node after the other would cost a timeout for each node that is lost, and a redirect to a
lost leader for each node that has not heard of its successor.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from stileloom.jobs.messages import NotLeader, OutcomeUnknown, ProbeLeaderCall
from stileloom.settings_file import Address, split_address
from stileloom.transport.call_frames import Reply
from stileloom.transport.calls import CallConnectionPool, CallFailed

PROBE_TIMEOUT_S = 0.3
NodeAddress = tuple[str, int]


class LedgerNodes:
    """Known addresses of ledger nodes and of the current leader."""

    def __init__(self, seeds: list[NodeAddress]) -> None:
        self.leader: NodeAddress | None = None
        self._addresses = list(seeds)
        self._fallback_addresses: list[NodeAddress] = []
        """Addresses not listed in the object store, asked if the last search found no leader."""
        self._leader_found = True

    def update_addresses(self, addresses: list[NodeAddress]) -> None:
        """Replaces the addresses; those no longer listed remain as fallback."""
        if not addresses:
            return
        known = [*self._addresses, *self._fallback_addresses]
        self._addresses = list(addresses)
        self._fallback_addresses = [address for address in known if address not in addresses]

    def record_search(self, found: bool) -> None:
        """Records whether a search has found the leader."""
        self._leader_found = found

    def search_targets(self) -> list[NodeAddress]:
        """Returns the nodes to ask for the leader."""
        if self._leader_found:
            return list(self._addresses)
        return [*self._addresses, *self._fallback_addresses]


class LeaderSearch:
    """Searches of one gateway; concurrent callers share a search."""

    def __init__(
        self,
        nodes: LedgerNodes,
        connections: CallConnectionPool,
        on_failure: Callable[[NodeAddress, str, str], None],
        on_answer: Callable[[NodeAddress], None],
    ) -> None:
        """`on_failure` receives the address, the caller's request id and the reason."""
        self._nodes = nodes
        self._connections = connections
        self._on_failure = on_failure
        self._on_answer = on_answer
        self._search: asyncio.Task[NodeAddress | None] | None = None

    async def find(self, request_id: str) -> NodeAddress | None:
        """Returns the node that says it leads, or None if no node does within the timeout."""
        if self._search is None or self._search.done():
            self._search = asyncio.get_running_loop().create_task(self._ask_all(request_id))
        return await asyncio.shield(self._search)

    def stop(self) -> None:
        """Cancels the search in progress."""
        if self._search is not None:
            self._search.cancel()

    async def _ask_all(self, request_id: str) -> NodeAddress | None:
        asked = self._nodes.search_targets()
        hints: set[Address] = set()
        leader = await self._ask(asked, hints, request_id)
        if leader is None:
            # A leader may be missing in the list of nodes for a while.
            named = {split_address(hint) for hint in hints} - set(asked)
            leader = await self._ask(sorted(named), hints, request_id)
        self._nodes.record_search(leader is not None)
        return leader

    async def _ask(
        self, addresses: list[NodeAddress], hints: set[Address], request_id: str
    ) -> NodeAddress | None:
        """Probes nodes in parallel; adds the leaders that they name to `hints`."""
        if not addresses:
            return None
        loop = asyncio.get_running_loop()
        probes = [loop.create_task(self._probe(address, request_id)) for address in addresses]
        try:
            for probe in asyncio.as_completed(probes):
                address, reply = await probe
                if reply is None:
                    continue
                if not isinstance(reply, NotLeader | OutcomeUnknown):
                    return address
                if isinstance(reply, NotLeader) and reply.leader:
                    hints.add(reply.leader)
            return None
        finally:
            for task in probes:
                task.cancel()

    async def _probe(
        self, address: NodeAddress, request_id: str
    ) -> tuple[NodeAddress, Reply | None]:
        try:
            reply = await self._connections.call(address, ProbeLeaderCall(), PROBE_TIMEOUT_S)
        except CallFailed as failure:
            self._on_failure(address, request_id, str(failure))
            return address, None
        self._on_answer(address)
        return address, reply
