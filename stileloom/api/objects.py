"""Configuration objects, which operators create, update and delete."""

from __future__ import annotations

import enum

import msgspec

from stileloom.errors import ErrorKind, StileloomError


class SamplerRole(enum.Enum):
    """The kind of work a sampler currently does."""

    LOOKUP = "lookup"
    ROLLOUT = "rollout"


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named set of samplers; the machine list assigns samplers to pools."""

    home_role: SamplerRole
    """Role of the pool's samplers unless they are lent."""
    model: str
    """Model that its samplers load in their home role."""
    model_version: int = 1
    """Version for the home role `lookup`; a rollout pool follows its round."""
    lend_to_rounds: bool = False
    """Whether lookup samplers may be lent to rounds while demand is low."""
    keep_home: int = 1
    """Minimum number of samplers that are not lent."""
    lend_below: float = 1.0
    """Lends a sampler if the average number of lookups on the remaining ones stays below this."""
    return_above: float = 2.0
    """Returns a lent sampler if the average number of lookups on those not lent exceeds this."""


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A public lookup service backed by one pool."""

    pool: str
    serve_when_cut_off: bool = True
    """Whether lookups are served (and marked) after the configuration lease has expired."""
    queue_limit: int = 64
    """Maximum number of queued requests per gateway."""
    concurrency_per_sampler: int = 16
    """Maximum number of concurrent requests from one gateway to one sampler."""
    tenant_requests_per_s: float = 200.0
    """Rate limit per tenant and gateway; allows bursts of two seconds' worth of requests."""
    default_max_tokens: int = 32


class Round(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A training round: its samplers, ordering and staleness limits."""

    pool: str
    model: str
    samples_per_step: int
    staleness_bound: int
    """Maximum number of versions by which a sample may be stale when it is delivered."""
    reorder_window_steps: int = 1
    """Maximum number of steps by which a sample may be delivered after its place in prompt order.

    With 0, each step contains exactly its own prompts. Limits the bias towards short samples.
    """
    borrow_from: list[str] = msgspec.field(default_factory=list)
    """Pools whose lent samplers may work for this round."""
    first_version: int = 1
    max_concurrency_per_sampler: int = 32


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's rules in CEL; empty rules have no effect. See docs/POLICIES.md."""

    applies_to: list[str] = msgspec.field(default_factory=list)
    """Names of services and rounds; empty means all."""
    priority: str = ""
    """Integer 0..100 for a request or a prompt; higher values are served first."""
    freshness: str = ""
    """Integer: staleness bound in versions; can only lower the round's bound."""
    placement: str = ""
    """Bool: whether a pool in a zone may be used for a request or a prompt."""
    time_zone: str = "UTC"
    """Time zone of `time` in the rules."""
    rank: int = 0
    """If several policies set `priority`, the highest rank wins, then the first name."""


Spec = Pool | Service | Round | Policy


class ObjectKind(enum.Enum):
    """Kinds of objects; the values are used in URL paths and files."""

    POOL = "pool"
    SERVICE = "service"
    ROUND = "round"
    POLICY = "policy"


SPEC_TYPES: dict[ObjectKind, type[Spec]] = {
    ObjectKind.POOL: Pool,
    ObjectKind.SERVICE: Service,
    ObjectKind.ROUND: Round,
    ObjectKind.POLICY: Policy,
}


class ObjectRecord(msgspec.Struct, frozen=True):
    """An object as stored by the object API."""

    kind: ObjectKind
    name: str
    revision: int
    """Store revision at which this object last changed."""
    change_id: str
    """Chosen by the writer, to identify its write when reading back after a lost response."""
    spec: msgspec.Raw | dict[str, object]


class ObjectManifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An object in an operator's manifest file."""

    kind: ObjectKind
    name: str
    spec: dict[str, object]


class Configuration(msgspec.Struct, frozen=True):
    """All objects at one revision."""

    revision: int
    pools: dict[str, Pool] = msgspec.field(default_factory=dict)
    services: dict[str, Service] = msgspec.field(default_factory=dict)
    rounds: dict[str, Round] = msgspec.field(default_factory=dict)
    policies: dict[str, Policy] = msgspec.field(default_factory=dict)

    def with_object(self, kind: ObjectKind, name: str, spec: Spec | None) -> Configuration:
        """Returns a copy with one object replaced, or removed if `spec` is None."""
        field = {
            ObjectKind.POOL: "pools",
            ObjectKind.SERVICE: "services",
            ObjectKind.ROUND: "rounds",
            ObjectKind.POLICY: "policies",
        }[kind]
        table = dict(getattr(self, field))
        if spec is None:
            table.pop(name, None)
        else:
            table[name] = spec
        return msgspec.structs.replace(self, **{field: table})


def parse_spec(kind: ObjectKind, spec: object) -> Spec:
    """Parses the spec of an object.

    Raises `StileloomError` (OBJECT_INVALID) with the path of the invalid value.
    """
    try:
        return msgspec.convert(spec, SPEC_TYPES[kind])
    except msgspec.ValidationError as error:
        raise StileloomError(ErrorKind.OBJECT_INVALID, str(error)) from error


class MachineState(enum.Enum):
    """State of a sampler in the platform's machine list."""

    LIVE = "live"
    LEAVING = "leaving"


class Machine(msgspec.Struct, frozen=True, array_like=True):
    """A sampler in the platform's machine list."""

    sampler_id: str
    pool: str
    zone: str
    host: str
    port: int
    state: MachineState = MachineState.LIVE
