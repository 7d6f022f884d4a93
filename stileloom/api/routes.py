"""Routes: which requests go to which service, and within which limits."""

from __future__ import annotations

import enum

import msgspec


class RouteKind(enum.Enum):
    """How requests of a route may be treated."""

    SAFE = "safe"
    """May run more than once."""
    UNSAFE = "unsafe"
    """At most one run for each attempt of the caller."""
    STREAMING = "streaming"
    """Answered by events; unsafe unless resumable."""
    BATCH = "batch"
    """Takes batch jobs whose items run later."""


class Backend(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One route. Times are seconds."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    backends: list[Backend]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int = 5
    resumable: bool = False
    single_version: bool = False
    max_wait_s: float = 60.0
    """Batch: time after a job's arrival at which an item may be given up."""
    job_deadline_s: float = 60.0
    """Batch: time after a job's arrival by which all results are due."""


class Engine(msgspec.Struct, frozen=True):
    """What the samplers of a service can hold."""

    slots: int
    cache_tokens: int
    models: list[str]
    tokens_per_event: float = 1.0
    """Tokens that one event of a stream carries."""


class Service(msgspec.Struct, frozen=True):
    """A service: a set of samplers that serve the same requests."""

    name: str
    max_connections: int
    engine: Engine | None = None


class IngressLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send. Times are seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    idle_timeout_s: float = 15.0


class RouteConfiguration(msgspec.Struct, frozen=True):
    """All routes and services of one version."""

    version: int
    routes: list[Route]
    services: list[Service]
    limits: IngressLimits = IngressLimits()
