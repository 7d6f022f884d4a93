"""Encoder for HTTP/1.1 requests."""

from __future__ import annotations

from collections.abc import Iterable

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
"""Headers that are never forwarded: Expect and the hop-by-hop headers of RFC 9110, 7.6.1."""


def encode_request(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Encodes a request; `headers` must not include hop-by-hop headers."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin1") + body


def end_to_end_headers(
    headers: Iterable[tuple[str, str]], connection_header: str = ""
) -> list[tuple[str, str]]:
    """Returns the headers to forward, without Content-Length, which the encoder sets."""
    connection_options = {name.strip().lower() for name in connection_header.split(",")}
    dropped = HOP_BY_HOP | connection_options | {"content-length"}
    return [(name, value) for name, value in headers if name.lower() not in dropped]
