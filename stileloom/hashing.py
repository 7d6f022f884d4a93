"""Rendezvous hashing (Thaler and Ravishankar 1998) over xxhash."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def rendezvous_score(key: str, node: str) -> int:
    """64-bit score of `node` for `key`; the node with the highest score owns the key."""
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())


def rendezvous_ranked(key: str, nodes: Iterable[str]) -> list[str]:
    """Nodes ordered by descending score for a key, owner first."""
    return [node for _, node in sorted((-rendezvous_score(key, node), node) for node in nodes)]


def rendezvous_owner(key: str, nodes: Iterable[str]) -> str | None:
    """Owner of a key, or None if there are no nodes."""
    return max(nodes, key=lambda node: (rendezvous_score(key, node), node), default=None)
