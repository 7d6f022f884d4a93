"""Contracts of the configuration: the objects that operators create, revise and withdraw."""

from __future__ import annotations

import enum

import msgspec

from stileloom.errors import ErrorKind, StileloomError


class SamplerRole(enum.Enum):
    """What a sampler works for at the moment."""

    LOOKUP = "lookup"
    ROLLOUT = "rollout"


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named set of samplers; the machine list says which sampler belongs to which pool."""

    home_role: SamplerRole
    """What the pool's samplers do unless they are lent."""
    model: str
    """Model that its samplers hold in their home role."""
    model_version: int = 1
    """Version for the home role `lookup`; a rollout pool follows its round."""
    lend_to_rounds: bool = False
    """Whether idle lookup samplers may work for rounds while demand is low."""
    keep_home: int = 1
    """Samplers that are never lent."""
    lend_below: float = 1.0
    """Lookups under way by home sampler, counted after lending, under which one more is lent."""
    return_above: float = 2.0
    """Lookups under way by home sampler over which a lent one goes home."""


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A public lookup service over one pool."""

    pool: str
    serve_when_cut_off: bool = True
    """Whether lookups are answered with a lapsed configuration lease (and marked so)."""
    queue_limit: int = 64
    """Requests that may wait at one gateway."""
    concurrency_per_sampler: int = 16
    """Requests that one gateway may have under way on one sampler."""
    tenant_requests_per_s: float = 200.0
    """Rate limit for each tenant at each gateway; bursts up to two seconds' worth."""
    default_max_tokens: int = 32


class Round(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A training round: who generates for it, and how old its samples may be."""

    pool: str
    model: str
    samples_per_step: int
    staleness_bound: int
    """Versions by which a sample may lag behind the current one at its hand-over."""
    reorder_window_steps: int = 1
    """Steps by which a sample may be handed over later than its place in the order of prompts.

    0: each step holds exactly its own prompts. It bounds how long a long sample can be put off,
    and with it the bias towards short ones.
    """
    borrow_from: list[str] = msgspec.field(default_factory=list)
    """Pools whose lent samplers may work for this round."""
    first_version: int = 1
    max_concurrency_per_sampler: int = 32


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's rules in CEL; an empty rule says nothing. See docs/POLICIES.md."""

    applies_to: list[str] = msgspec.field(default_factory=list)
    """Names of services and rounds; empty means all."""
    priority: str = ""
    """Integer 0..100 for a request or a prompt; a higher one goes first."""
    freshness: str = ""
    """Integer: staleness bound in versions; it can only tighten the round's own."""
    placement: str = ""
    """Bool: whether a pool in a zone may take the work."""
    time_zone: str = "UTC"
    """Time zone in which the rules see `time`."""
    rank: int = 0
    """Among policies that set the same rule, the highest rank wins, then the name."""


Spec = Pool | Service | Round | Policy


class ObjectKind(enum.Enum):
    """Kinds of objects; the value stands in paths and files."""

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
    """An object as the object API keeps it."""

    kind: ObjectKind
    name: str
    revision: int
    """Revision of the whole store at which this object last changed."""
    change_id: str
    """Chosen by the writer, so that a lost answer is settled by reading back."""
    spec: msgspec.Raw | dict[str, object]


class ObjectManifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An object as an operator writes it in a file."""

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
        """A copy with one object set, or removed where `spec` is None."""
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
    """The typed spec of an object.

    Raises `StileloomError` of kind OBJECT_INVALID that names the path of the fault.
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
