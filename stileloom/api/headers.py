"""Names of the HTTP headers exchanged by clients, gateways and samplers.

An adapter for a platform with other names provides its own `HeaderNames`; other code must not
contain these names.
"""

from __future__ import annotations

import msgspec


class HeaderNames(msgspec.Struct, frozen=True):
    """Header names by purpose; the defaults are those of the native dialect."""

    request_id: str = "Stileloom-Request-Id"
    deadline_ms: str = "Stileloom-Deadline-Ms"
    expect_sampler: str = "Stileloom-Expect-Sampler"
    sampler_id: str = "Stileloom-Sampler"
    """Set by a sampler that answers 421: its own id."""
    expect_version: str = "Stileloom-Expect-Version"
    """A sampler with other weights for the model answers 421 and does not run the request."""
    not_run: str = "Stileloom-Not-Run"
    """Set by a sampler to guarantee that the request was not executed."""
    signature: str = "Stileloom-Signature"
    load: str = "Stileloom-Load"
    last_event_id: str = "Last-Event-Id"
    versions: str = "Stileloom-Weight-Version"
    token_usage: str = "Stileloom-Tokens"
    length_hint: str = "Stileloom-Length-Hint"
    wait_ms: str = "Stileloom-Wait-Ms"
    priority: str = "Stileloom-Priority"
    tenant: str = "Stileloom-Tenant"
    """Set for samplers only: the name of the tenant that owns the request."""
