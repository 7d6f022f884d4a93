"""The identity of a request: what stays the same when a caller sends it again."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 16
"""Collisions would refuse a stranger's request: with 16 bytes not even chosen inputs collide."""
CREDENTIAL_HEADERS = frozenset({"authorization", "cookie", "x-api-key"})
"""Headers that say who the caller is: two callers with the same request are two identities."""


def identity_of(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes) -> str:
    """A digest of method, host, target, credentials and body, in hex.

    The caller's network address is left out: behind a balancer it changes between two attempts.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = [method.upper(), target]
    parts += sorted(
        f"{name.lower()}:{value}"
        for name, value in headers
        if name.lower() == "host" or name.lower() in CREDENTIAL_HEADERS
    )
    for part in parts:
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
