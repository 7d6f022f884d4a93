"""Where the other ledger nodes are.

Three sources: frames name their sender's address, the store lists registered nodes, and the
settings give a few addresses without names. A node whose address is not known is reached
through all addresses that are: whoever receives a message for another ignores it or answers
under its own name.
"""

from __future__ import annotations

Address = tuple[str, int]


class PeerAddresses:
    """Addresses by node, and those without a name."""

    def __init__(self, me: Address, seeds: list[Address]) -> None:
        self._me = me
        self._by_node: dict[str, Address] = {}
        self._unnamed = set(seeds)

    def heard_from(self, node_id: str, address: Address) -> None:
        """A frame of the node came: nothing is newer."""
        self._by_node[node_id] = address

    def listed(self, node_id: str, address: Address) -> None:
        """The store lists the node; a frame of the node itself counts more."""
        self._by_node.setdefault(node_id, address)
        self._unnamed.add(address)

    def of(self, node_id: str) -> Address | None:
        """The address of a node, if it is known."""
        return self._by_node.get(node_id)

    def everyone(self) -> list[Address]:
        """All addresses but the own one."""
        return sorted({*self._by_node.values(), *self._unnamed} - {self._me})

    def targets(self, node_id: str) -> list[Address]:
        """Where to send a message for a node."""
        known = self._by_node.get(node_id)
        if known is not None:
            return [known]
        named = set(self._by_node.values())
        return [address for address in self.everyone() if address not in named]
