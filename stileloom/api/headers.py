"""Names of the HTTP headers that callers, gateways and samplers exchange.

The defaults are this product's own names. An adapter for a platform that spells them
otherwise hands in a struct of its own; no other code knows a header by its name.
"""

from __future__ import annotations

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """One name for each header with a meaning to this product."""

    request_id: str = "Stileloom-Request-Id"
    deadline_ms: str = "Stileloom-Deadline-Ms"
    expect_sampler: str = "Stileloom-Expect-Sampler"
    not_run: str = "Stileloom-Not-Run"
    """A sampler's promise that the request has not run."""
    signature: str = "Stileloom-Signature"
    load: str = "Stileloom-Load"
    last_event_id: str = "Last-Event-Id"
    versions: str = "Stileloom-Weight-Version"
    token_usage: str = "Stileloom-Tokens"
    length_hint: str = "Stileloom-Length-Hint"
    wait_ms: str = "Stileloom-Wait-Ms"
    priority: str = "Stileloom-Priority"
