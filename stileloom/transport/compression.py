"""Bodies of frames between nodes, compressed where that makes them smaller.

Bytes between zones cost more than processor time, and what goes there is mostly text.
"""

from __future__ import annotations

import zlib

PLAIN = b"\x00"
DEFLATED = b"\x01"
MIN_BYTES = 128
"""Below this a body hardly gets smaller."""
LEVEL = 6


def pack(body: bytes, compress: bool = True) -> bytes:
    """A body behind a byte that says how it is encoded."""
    if compress and len(body) >= MIN_BYTES:
        deflated = zlib.compress(body, LEVEL)
        if len(deflated) < len(body):
            return DEFLATED + deflated
    return PLAIN + body


def unpack(packed: bytes, max_bytes: int) -> bytes:
    """The body. Raises `ValueError` where it is none, or longer than `max_bytes`."""
    kind, body = packed[:1], packed[1:]
    if kind == PLAIN:
        return body
    if kind != DEFLATED:
        raise ValueError("a frame of unknown encoding")
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(body, max_bytes)
    except zlib.error as error:
        raise ValueError(f"a damaged frame: {error}") from error
    if not inflater.eof:
        raise ValueError("a frame that is cut or too long")
    return inflated
