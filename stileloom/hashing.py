"""Rendezvous hashing (Thaler and Ravishankar 1998) over xxhash."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, node: str) -> int:
    """The 64-bit score of `node` for `key`; the highest score owns the key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rendezvous_ranked(key: str, nodes: Iterable[str]) -> list[str]:
    """All nodes for a key, owner first."""
    return [node for _, node in sorted((-rendezvous_score(key, node), node) for node in nodes)]


def rendezvous_owner(key: str, nodes: Iterable[str]) -> str | None:
    """The owner of a key, or None where there is no node."""
    return max(nodes, key=lambda node: (rendezvous_score(key, node), node), default=None)
