"""The port through which a deployment's spelling of calls and objects is translated.

A dialect only translates: it decides nothing, keeps nothing and repeats nothing. The product
brings its own (`stileloom.http.native_dialect`); an adapter for a platform brings another.
"""

from __future__ import annotations

import enum
from typing import Any, Protocol

import msgspec

from stileloom.api.headers import HeaderNames
from stileloom.api.jobs import JobSubmission, ResultPage
from stileloom.api.object_store import ObjectRecord
from stileloom.api.routes import RouteConfiguration
from stileloom.api.sampler_directory import SamplerEntry


class ObjectKinds(msgspec.Struct, frozen=True):
    """Names of the kinds of objects that are read from the store."""

    configuration: str = "configuration"
    configuration_name: str = "main"
    samplers: str = "samplers"
    versions: str = "versions"
    removals: str = "removals"
    """Requests that a ledger node be emptied."""
    ledger_nodes: str = "ledger-nodes"
    voter_set: str = "voter-set"


class LoadStrategy(enum.Enum):
    """What happens to generations under way when weights change."""

    WAIT = "wait"
    RETAIN = "retain"


class LoadOrder(msgspec.Struct, frozen=True):
    """An order to a sampler to load a version of a model's weights."""

    model: str
    version: int
    strategy: LoadStrategy
    holder: str
    fence: int
    expected_orders: int
    """Orders the sampler has taken so far; it refuses if another came in between."""


class SamplerReport(msgspec.Struct, frozen=True):
    """What a sampler says of itself."""

    model_versions: dict[str, int]
    busy: bool
    orders_taken: int


class EngineCall(msgspec.Struct, frozen=True):
    """A call to a sampler's control side."""

    method: str
    target: str
    body: bytes = b""


class NamedVersion(msgspec.Struct, frozen=True):
    """The newest version that a trainer has named for a model."""

    model: str
    version: int


class SubmitJob(msgspec.Struct, frozen=True):
    """A caller submits a job; its body is decoded by `Dialect.decode_job`."""


class ReadResults(msgspec.Struct, frozen=True):
    """A caller reads results."""

    job_id: str
    position: int
    wait_s: float


class ReadItem(msgspec.Struct, frozen=True):
    """A caller reads the body of an item."""

    job_id: str
    item_id: str


class EndJob(msgspec.Struct, frozen=True):
    """A caller ends a job."""

    job_id: str


JobCall = ReadResults | ReadItem | EndJob


class Dialect(Protocol):
    """Translates between a deployment and the product's own types."""

    names: HeaderNames
    kinds: ObjectKinds

    def job_call(self, method: str, target: str, headers: Any) -> JobCall | None:
        """The job call that a request is, or None. Raises `StileloomError` (BAD_REQUEST)."""

    def decode_job(self, job_id: str, host: str, path: str, body: bytes) -> JobSubmission:
        """A job's body. Raises `StileloomError` (BAD_REQUEST)."""

    def encode_page(self, page: ResultPage) -> bytes:
        """The body of an answer with results."""

    def decode_configuration(self, spec: Any) -> RouteConfiguration:
        """A configuration object. Raises `StileloomError` (OBJECT_INVALID)."""

    def decode_sampler(self, record: ObjectRecord) -> SamplerEntry:
        """An entry of the directory. Raises `StileloomError` (OBJECT_INVALID)."""

    def decode_version(self, spec: Any) -> NamedVersion:
        """A named version. Raises `StileloomError` (OBJECT_INVALID)."""

    def report_call(self) -> EngineCall:
        """The call that asks a sampler for its report."""

    def decode_report(self, body: bytes) -> SamplerReport:
        """A sampler's report. Raises `StileloomError` (BAD_REQUEST)."""

    def order_call(self, order: LoadOrder) -> EngineCall:
        """The call that gives an order."""

    def removal_status(self, finished: bool) -> Any:
        """The status of a request that a ledger node be emptied."""
