"""Effects for the driver to execute on engines. Replies arrive as calls of the named methods."""

from __future__ import annotations

import msgspec

from stileloom.api.engine import EngineOrder, GenerateRequest


class OpenStream(msgspec.Struct, frozen=True):
    """Starts a generation; its output arrives in `stream_*` calls with the request's id."""

    sampler_id: str
    request: GenerateRequest


class CloseStream(msgspec.Struct, frozen=True):
    """Cancels a generation, also at the engine; its further output is dropped."""

    sampler_id: str
    request_id: str


class ConfirmNotRun(msgspec.Struct, frozen=True):
    """Cancels a request and asks whether it had started; answered by `cancel_confirmed`."""

    sampler_id: str
    request_id: str


class QueryLoad(msgspec.Struct, frozen=True):
    """Queries an engine's load; answered by `load_reported`."""

    sampler_id: str


class SendOrder(msgspec.Struct, frozen=True):
    """Sends a fenced order to an engine. It has no reply: the next load report shows its effect."""

    sampler_id: str
    order: EngineOrder
