"""Native dialect: job calls, objects and load orders as JSON of the `api` types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qs

import msgspec

from stileloom.api.dialect import (
    EndJob,
    EngineCall,
    JobCall,
    LoadOrder,
    NamedVersion,
    ObjectKinds,
    ReadItem,
    ReadResults,
    SamplerReport,
)
from stileloom.api.duties import CapacityOrder, DutyCall, DutyHolder, UsageReport
from stileloom.api.headers import HeaderNames
from stileloom.api.jobs import JobItem, JobSubmission, ResultPage
from stileloom.api.object_store import ObjectRecord
from stileloom.api.routes import RouteConfiguration
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.errors import ErrorKind, StileloomError
from stileloom.http.decoding import convert, decode
from stileloom.settings_file import split_address

JOBS_PREFIX = "/v1/jobs/"
REPORT_TARGET = "/v1/report"
ORDER_TARGET = "/v1/load-order"
USAGE_TARGET = "/v1/usage"
CAPACITY_TARGET = "/v1/capacity"
HOLDER_HEADER = "Stileloom-Holder"
FENCE_HEADER = "Stileloom-Fence"


class JobBody(msgspec.Struct, frozen=True):
    """A submitted job; item bodies are base64."""

    model: str
    items: list[JobItem]
    step: int = 0
    min_version: int = 0
    desired_groups: int = 0


class SamplerBody(msgspec.Struct, frozen=True):
    """A sampler's entry in the object store."""

    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    model_versions: dict[str, int] = {}
    born_ms: int = 0


class RemovalStatus(msgspec.Struct, frozen=True):
    """Progress of retiring a ledger node."""

    finished: bool


class NativeDialect:
    """Implements `stileloom.api.dialect.Dialect`."""

    names = HeaderNames()
    kinds = ObjectKinds()

    def job_call(self, method: str, target: str, headers: Mapping[str, str]) -> JobCall | None:
        """Parses `/v1/jobs/ID`, `/v1/jobs/ID/results` and `/v1/jobs/ID/items/ITEM`."""
        path, _, query = target.partition("?")
        if not path.startswith(JOBS_PREFIX):
            return None
        segments = path[len(JOBS_PREFIX) :].split("/")
        if method == "DELETE" and len(segments) == 1:
            return EndJob(segments[0])
        if method == "GET" and len(segments) == 2 and segments[1] == "results":
            query_arguments = parse_qs(query)
            position = _number_argument(query_arguments, "position")
            return ReadResults(
                segments[0], int(position), _number_argument(query_arguments, "wait_s")
            )
        if method == "GET" and len(segments) == 3 and segments[1] == "items":
            return ReadItem(segments[0], segments[2])
        return None

    def decode_job(self, job_id: str, host: str, path: str, body: bytes) -> JobSubmission:
        """Implements `Dialect`."""
        job = decode(body, JobBody)
        return JobSubmission(
            job_id, host, path, job.step, job.model, job.min_version, job.desired_groups, job.items
        )

    def encode_page(self, page: ResultPage) -> bytes:
        """Implements `Dialect`."""
        return msgspec.json.encode(page)

    def decode_configuration(self, spec: Any) -> RouteConfiguration:
        """Implements `Dialect`."""
        return convert(spec, RouteConfiguration)

    def decode_sampler(self, record: ObjectRecord) -> SamplerEntry:
        """Implements `Dialect`."""
        body = convert(record.spec, SamplerBody)
        try:
            address = split_address(body.address)
        except ValueError as error:
            raise StileloomError(ErrorKind.OBJECT_INVALID, str(error)) from error
        return SamplerEntry(
            record.name,
            body.service,
            address,
            body.zone,
            body.slots,
            body.draining,
            body.model_versions,
            body.born_ms,
        )

    def decode_version(self, spec: Any) -> NamedVersion:
        """Implements `Dialect`."""
        return convert(spec, NamedVersion)

    def report_call(self) -> EngineCall:
        """Implements `Dialect`."""
        return EngineCall("GET", REPORT_TARGET)

    def decode_report(self, body: bytes) -> SamplerReport:
        """Implements `Dialect`."""
        return decode(body, SamplerReport)

    def order_call(self, order: LoadOrder) -> EngineCall:
        """Implements `Dialect`."""
        return EngineCall("POST", ORDER_TARGET, msgspec.json.encode(order))

    def usage_call(self, report: UsageReport, holder: DutyHolder) -> DutyCall:
        """Implements `Dialect`."""
        return _duty_call(USAGE_TARGET, report, holder)

    def capacity_call(self, order: CapacityOrder, holder: DutyHolder) -> DutyCall:
        """Implements `Dialect`."""
        return _duty_call(CAPACITY_TARGET, order, holder)

    def removal_status(self, finished: bool) -> Any:
        """Implements `Dialect`."""
        return msgspec.to_builtins(RemovalStatus(finished))


def _duty_call(target: str, body: UsageReport | CapacityOrder, holder: DutyHolder) -> DutyCall:
    headers = [(HOLDER_HEADER, holder.node_id), (FENCE_HEADER, str(holder.fence))]
    return DutyCall("POST", target, headers, msgspec.json.encode(body))


def _number_argument(query_arguments: dict[str, list[str]], name: str) -> float:
    text = query_arguments.get(name, ["0"])[0]
    try:
        value = float(text)
    except ValueError as error:
        raise StileloomError(ErrorKind.BAD_REQUEST, f"{name}: not a number") from error
    if not 0 <= value < 1e9:
        raise StileloomError(ErrorKind.BAD_REQUEST, f"{name}: out of range")
    return value
