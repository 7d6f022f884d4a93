"""Routes: mapping of requests to services, and their limits."""

from __future__ import annotations

import enum

import msgspec

from stileloom.api.tenants import Tenant

DEFAULT_PRIORITY = 5
"""Priority of a route that names none; 0 is the most urgent, 9 the least."""


class RouteKind(enum.Enum):
    """Execution semantics of a route's requests."""

    SAFE = "safe"
    """May be executed more than once."""
    UNSAFE = "unsafe"
    """Executed at most once per attempt of the client."""
    STREAMING = "streaming"
    """The response is an event stream; treated as unsafe unless resumable."""
    BATCH = "batch"
    """Accepts batch jobs, whose items run asynchronously."""


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
    priority: int = DEFAULT_PRIORITY
    resumable: bool = False
    single_version: bool = False
    max_wait_s: float = 60.0
    """Batch: time after a job's submission from which its items may be given up."""
    job_deadline_s: float = 60.0
    """Batch: time after a job's submission by which all results must be available."""
    public: bool = False
    """Whether requests need no API key although there are tenants."""


class Engine(msgspec.Struct, frozen=True):
    """Capacity of the samplers of a service."""

    slots: int
    cache_tokens: int
    models: list[str]
    tokens_per_event: float = 1.0
    """Tokens per stream event."""


class Autoscale(msgspec.Struct, frozen=True):
    """How many samplers of a service may be ordered, and what they cost."""

    min_samplers: int
    """In each zone."""
    max_samplers: int
    """In each zone."""
    boot_s: float = 0.0
    """Time from an order until a new sampler serves."""
    zone_prices: dict[str, float] = {}
    """Price of a second of a sampler, by zone in which the service runs."""


class Service(msgspec.Struct, frozen=True):
    """A service: a set of samplers that serve the same requests."""

    name: str
    max_connections: int
    engine: Engine | None = None
    autoscale: Autoscale | None = None
    """None if the number of its samplers is fixed."""


class IngressLimits(msgspec.Struct, frozen=True):
    """Limits on client requests. Times are seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 33_554_432
    idle_timeout_s: float = 15.0


class RouteConfiguration(msgspec.Struct, frozen=True):
    """All routes and services of one configuration version."""

    version: int
    routes: list[Route]
    services: list[Service]
    limits: IngressLimits = IngressLimits()
    tenants: list[Tenant] | None = None
    """None if requests need no API key."""
