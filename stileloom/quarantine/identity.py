"""The identity of a request: a digest that is equal for all retries of it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 16
"""Large enough to resist deliberate collisions, which could quarantine another caller's request."""
CREDENTIAL_HEADERS = frozenset({"authorization", "cookie", "x-api-key"})
"""Headers that identify the caller: the same request from two callers has two identities."""


def identity_of(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes, tenant: str = ""
) -> str:
    """Hex digest of method, host, target, tenant or credentials, and body.

    The caller's network address is excluded: behind a load balancer it changes between attempts.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    parts = [method.upper(), target]
    parts += sorted(
        f"{name.lower()}:{value}"
        for name, value in headers
        if name.lower() == "host" or name.lower() in CREDENTIAL_HEADERS
    )
    if tenant:
        parts.append(f"tenant:{tenant}")
    for part in parts:
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.hexdigest()
