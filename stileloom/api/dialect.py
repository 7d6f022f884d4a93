"""Interface of dialects, which translate a platform's calls and objects to and from `api` types.

A dialect is stateless and does not retry. `stileloom.http.native_dialect` is the default; an
adapter for a platform provides another.
"""

from __future__ import annotations

import enum
from typing import Any, Protocol

import msgspec

from stileloom.api.duties import CapacityOrder, DutyCall, DutyHolder, UsageReport
from stileloom.api.headers import HeaderNames
from stileloom.api.jobs import JobSubmission, ResultPage
from stileloom.api.object_store import ObjectRecord
from stileloom.api.routes import RouteConfiguration
from stileloom.api.sampler_directory import SamplerEntry


class ObjectKinds(msgspec.Struct, frozen=True):
    """Names of the object kinds that are read from the object store."""

    configuration: str = "configuration"
    configuration_name: str = "main"
    samplers: str = "samplers"
    versions: str = "versions"
    removals: str = "removals"
    """Requests to retire a ledger node."""
    ledger_nodes: str = "ledger-nodes"
    voter_set: str = "voter-set"


class LoadStrategy(enum.Enum):
    """How running generations are handled when weights change."""

    WAIT = "wait"
    RETAIN = "retain"


class LoadOrder(msgspec.Struct, frozen=True):
    """A command to a sampler to load a version of a model's weights."""

    model: str
    version: int
    strategy: LoadStrategy
    holder: str
    """Id of the node that sends the order."""
    fence: int
    """Fencing token: the epoch of that node's leadership."""
    expected_orders: int
    """Number of load orders the sampler has accepted; it rejects this one if its count differs."""


class SamplerReport(msgspec.Struct, frozen=True):
    """Status reported by a sampler."""

    model_versions: dict[str, int]
    busy: bool
    orders_taken: int


class EngineCall(msgspec.Struct, frozen=True):
    """An HTTP request to a sampler's control interface."""

    method: str
    target: str
    body: bytes = b""


class NamedVersion(msgspec.Struct, frozen=True):
    """The latest version that a trainer has published for a model."""

    model: str
    version: int


class SubmitJob(msgspec.Struct, frozen=True):
    """Submits a job; its body is decoded by `Dialect.decode_job`."""


class ReadResults(msgspec.Struct, frozen=True):
    """Reads results of a job."""

    job_id: str
    position: int
    wait_s: float


class ReadItem(msgspec.Struct, frozen=True):
    """Reads the body of an item."""

    job_id: str
    item_id: str


class EndJob(msgspec.Struct, frozen=True):
    """Ends a job."""

    job_id: str


JobCall = ReadResults | ReadItem | EndJob


class Dialect(Protocol):
    """Translates between a platform's formats and `api` types."""

    names: HeaderNames
    kinds: ObjectKinds

    def job_call(self, method: str, target: str, headers: Any) -> JobCall | None:
        """Parses a request about a job; returns None for any other request.

        Raises `StileloomError` (BAD_REQUEST).
        """

    def decode_job(self, job_id: str, host: str, path: str, body: bytes) -> JobSubmission:
        """Decodes a job submission. Raises `StileloomError` (BAD_REQUEST)."""

    def encode_page(self, page: ResultPage) -> bytes:
        """Encodes a response body with results."""

    def decode_configuration(self, spec: Any) -> RouteConfiguration:
        """Decodes a configuration object. Raises `StileloomError` (OBJECT_INVALID)."""

    def decode_sampler(self, record: ObjectRecord) -> SamplerEntry:
        """Decodes a sampler directory entry. Raises `StileloomError` (OBJECT_INVALID)."""

    def decode_version(self, spec: Any) -> NamedVersion:
        """Decodes a published version. Raises `StileloomError` (OBJECT_INVALID)."""

    def report_call(self) -> EngineCall:
        """Returns the request for a sampler's report."""

    def decode_report(self, body: bytes) -> SamplerReport:
        """Decodes a sampler's report. Raises `StileloomError` (BAD_REQUEST)."""

    def order_call(self, order: LoadOrder) -> EngineCall:
        """Encodes a load order as a request."""

    def usage_call(self, report: UsageReport, holder: DutyHolder) -> DutyCall:
        """Encodes a usage report; the same report always has the same bytes."""

    def capacity_call(self, order: CapacityOrder, holder: DutyHolder) -> DutyCall:
        """Encodes an order of samplers."""

    def removal_status(self, finished: bool) -> Any:
        """Returns the status of a request to retire a ledger node."""
