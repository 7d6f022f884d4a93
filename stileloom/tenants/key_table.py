"""Finds the tenant that holds an API key."""

from __future__ import annotations

import hmac

from stileloom.api.tenants import Tenant
from stileloom.tenants.credentials import bearer_key, digest_of_key, unauthenticated

INDEX_BYTES = 8
"""Digests are indexed by a prefix and then compared as a whole."""


class KeyTable:
    """The API keys of one configuration."""

    def __init__(self, tenants: list[Tenant]) -> None:
        self._by_prefix: dict[bytes, list[tuple[bytes, Tenant]]] = {}
        for tenant in tenants:
            for digest in tenant.key_digests:
                holders = self._by_prefix.setdefault(digest[:INDEX_BYTES], [])
                holders.append((digest, tenant))

    def authenticate(self, authorization: list[str]) -> tuple[bytes, Tenant]:
        """Returns the digest of the presented key and its tenant.

        Raises `StileloomError` (UNAUTHENTICATED).
        """
        digest = digest_of_key(bearer_key(authorization))
        tenant = self.holder_of(digest)
        if tenant is None:
            raise unauthenticated("the API key is not known")
        return digest, tenant

    def holder_of(self, digest: bytes) -> Tenant | None:
        """The tenant that holds a key; digests are compared in constant time."""
        found: Tenant | None = None
        for known, tenant in self._by_prefix.get(digest[:INDEX_BYTES], ()):
            if hmac.compare_digest(known, digest):
                found = tenant
        return found
