"""API keys as callers present them (RFC 6750), and their digests."""

from __future__ import annotations

import hashlib

from stileloom.errors import ErrorKind, StileloomError

SCHEME = "Bearer"
CREDENTIALS_HEADER = "Authorization"


def digest_of_key(key: str) -> bytes:
    """SHA-256 of an API key.

    Keys are random and long, so that a digest without salt does not reveal them.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


def bearer_key(values: list[str]) -> str:
    """The API key of a request, from all values of its `Authorization` header.

    Raises `StileloomError` (UNAUTHENTICATED) unless there is exactly one well-formed value. The
    error does not contain any part of it.
    """
    if not values:
        raise unauthenticated("the request carries no API key")
    if len(values) > 1:
        raise unauthenticated("the request carries several Authorization headers")
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME.lower() or not key or not key.isascii() or " " in key:
        raise unauthenticated("the Authorization header is not a bearer API key")
    return key


def unauthenticated(detail: str) -> StileloomError:
    """The error for a request without a valid API key."""
    return StileloomError(ErrorKind.UNAUTHENTICATED, detail)
