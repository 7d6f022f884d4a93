"""Compression of frame bodies between nodes.

The bodies are mostly text, and traffic between zones costs more than the CPU time.
"""

from __future__ import annotations

import zlib

PLAIN = b"\x00"
DEFLATED = b"\x01"
MIN_BYTES = 128
"""Smaller bodies are not compressed."""
LEVEL = 6


def pack(body: bytes, compress: bool = True) -> bytes:
    """Prefixes the body with its encoding byte; compresses it if that saves space."""
    if compress and len(body) >= MIN_BYTES:
        deflated = zlib.compress(body, LEVEL)
        if len(deflated) < len(body):
            return DEFLATED + deflated
    return PLAIN + body


def unpack(packed: bytes, max_bytes: int) -> bytes:
    """Returns the body.

    Raises `ValueError` if `packed` is invalid or inflates to more than `max_bytes`.
    """
    encoding, body = packed[:1], packed[1:]
    if encoding == PLAIN:
        return body
    if encoding != DEFLATED:
        raise ValueError(f"unknown frame encoding: {encoding!r}")
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(body, max_bytes)
    except zlib.error as error:
        raise ValueError(f"corrupt compressed frame: {error}") from error
    if not inflater.eof:
        raise ValueError(
            f"compressed frame is truncated or inflates to more than {max_bytes} bytes"
        )
    return inflated
