"""Addresses of the other ledger nodes.

There are three sources: frames contain their sender's address, the object store lists registered
nodes, and the settings contain addresses without node names. A message for a node whose address
is unknown is sent to all addresses that belong to no known node: other receivers ignore it or
reply under their own name.
"""

from __future__ import annotations

Address = tuple[str, int]


class PeerAddresses:
    """Addresses by node, and addresses whose node is unknown."""

    def __init__(self, me: Address, seeds: list[Address]) -> None:
        self._me = me
        self._by_node: dict[str, Address] = {}
        self._unnamed = set(seeds)

    def record_sender(self, node_id: str, address: Address) -> None:
        """Records the sender address of a frame; it replaces any earlier address."""
        self._by_node[node_id] = address

    def add_registered(self, node_id: str, address: Address) -> None:
        """Records an address from the object store; addresses from frames take precedence."""
        self._by_node.setdefault(node_id, address)
        self._unnamed.add(address)

    def address_of(self, node_id: str) -> Address | None:
        """The address of a node, or None if unknown."""
        return self._by_node.get(node_id)

    def all_addresses(self) -> list[Address]:
        """All known addresses except this node's own."""
        return sorted({*self._by_node.values(), *self._unnamed} - {self._me})

    def targets(self, node_id: str) -> list[Address]:
        """Addresses to send a message for a node to."""
        known = self._by_node.get(node_id)
        if known is not None:
            return [known]
        named = set(self._by_node.values())
        return [address for address in self.all_addresses() if address not in named]
