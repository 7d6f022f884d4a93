"""Compression of frame bodies between nodes.

The bodies are mostly text, and traffic between zones costs more than the CPU time.
"""

from __future__ import annotations

import asyncio
import zlib
from concurrent.futures import ThreadPoolExecutor

PLAIN = b"\x00"
DEFLATED = b"\x01"
MIN_BYTES = 128
"""Smaller bodies are not compressed."""
LEVEL = 6
MAX_INLINE_BYTES = 64 * 1024
"""Larger bodies are compressed in a thread; at 30 MB/s they would block the event loop."""
LARGE_BODY_BYTES = 1024 * 1024
LARGE_BODY_LEVEL = 1
"""Level above `LARGE_BODY_BYTES`, because heartbeats wait behind the frame on its connection."""
SAMPLE_BYTES = 16 * 1024
MAX_SAMPLE_RATIO = 0.9
"""A large body is compressed only if a sample from its middle shrinks below this ratio."""
_THREADS = ThreadPoolExecutor(max_workers=2, thread_name_prefix="compression")


def pack(body: bytes, compress: bool = True) -> bytes:
    """Prefixes the body with its encoding byte; compresses it if that saves space."""
    if compress and len(body) >= MIN_BYTES:
        deflated = zlib.compress(body, LEVEL)
        if len(deflated) < len(body):
            return DEFLATED + deflated
    return PLAIN + body


async def pack_in_thread(body: bytes, compress: bool = True) -> bytes:
    """Does the same as `pack` without blocking the event loop for the time of a large body."""
    if not compress or len(body) <= MAX_INLINE_BYTES:
        return pack(body, compress)
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(_THREADS, _pack_large, body)


def _pack_large(body: bytes) -> bytes:
    start = (len(body) - SAMPLE_BYTES) // 2
    sample = body[start : start + SAMPLE_BYTES]
    if len(zlib.compress(sample, LARGE_BODY_LEVEL)) > SAMPLE_BYTES * MAX_SAMPLE_RATIO:
        return PLAIN + body
    deflated = zlib.compress(body, LEVEL if len(body) <= LARGE_BODY_BYTES else LARGE_BODY_LEVEL)
    return DEFLATED + deflated if len(deflated) < len(body) else PLAIN + body


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
