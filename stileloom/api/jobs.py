"""Data types of batch jobs."""

from __future__ import annotations

import enum

import msgspec


class RewardCall(msgspec.Struct, frozen=True, array_like=True):
    """A request that scores the complete text of an item; a 2xx response contains the score."""

    request_id: str
    host: str
    path: str
    body: bytes


class JobItem(msgspec.Struct, frozen=True, array_like=True):
    """One request of a job."""

    item_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    group: str
    """Items of a group share their prompt; empty if the item has no group."""
    reward: RewardCall | None = None
    """Called once the text is complete; the item succeeds only with a score."""


class JobSubmission(msgspec.Struct, frozen=True):
    """A job as submitted by a trainer."""

    job_id: str
    """Within the tenant at gateways, see `stileloom.tenants.job_scope` for all other places."""
    host: str
    path: str
    step: int
    model: str
    min_version: int
    """Oldest weight version that may generate its tokens."""
    desired_groups: int
    items: list[JobItem]
    tenant: str = ""
    """The tenant that submitted the job; empty if it is anonymous."""


class ItemState(enum.Enum):
    """Final state of an item."""

    SUCCEEDED = "succeeded"
    GIVEN_UP = "given_up"


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of an item; its position in the job is immutable."""

    item_id: str
    state: ItemState
    text: str
    versions: list[int]
    score: str = ""
    """Signature from the reward call's response; empty if the item has no reward call."""


class FinishedItem(msgspec.Struct, frozen=True, array_like=True):
    """Final result of an item; events that are already saved are not repeated."""

    item_id: str
    state: ItemState
    saved_parts: int
    """Number of saved events that precede `parts` in the text; later saved ones are dropped."""
    parts: list[str]
    """The rest of the text."""
    versions: list[int]
    score: str = ""


class ItemProgress(msgspec.Struct, frozen=True, array_like=True):
    """Incremental progress of an item: events to append to those already saved."""

    item_id: str
    first_part: int
    """Index of the first event of `parts`; saved events from there on are replaced."""
    parts: list[str]
    last_event_id: int
    versions: list[int]
    """Weight versions of all events so far, in order of first use."""
    whole: bool = False
    """Whether the text is complete."""


class ResultPage(msgspec.Struct, frozen=True):
    """A page of results, starting at the requested position."""

    total_items: int
    next_position: int
    results: list[ItemResult]
