"""What the parts that talk to engines ask their driver to do."""

from __future__ import annotations

import msgspec

from stileloom.api.engine import EngineOrder, GenerateRequest


class OpenStream(msgspec.Struct, frozen=True):
    """Start a generation; answered by `stream_*` calls with the request's id."""

    sampler_id: str
    request: GenerateRequest


class CloseStream(msgspec.Struct, frozen=True):
    """Cancel a generation, also at the engine; nothing more of it is wanted."""

    sampler_id: str
    request_id: str


class ConfirmNotRun(msgspec.Struct, frozen=True):
    """Cancel a request by id and ask whether it ever began; answered by `cancel_confirmed`."""

    sampler_id: str
    request_id: str


class QueryLoad(msgspec.Struct, frozen=True):
    """Read an engine's load; answered by `load_reported`."""

    sampler_id: str


class SendOrder(msgspec.Struct, frozen=True):
    """Pass a fenced order to an engine. Its effect is seen in the next load report."""

    sampler_id: str
    order: EngineOrder
