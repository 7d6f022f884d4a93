"""Batch jobs: many requests that are submitted at once and run later."""

from __future__ import annotations

import enum

import msgspec


class RewardCall(msgspec.Struct, frozen=True, array_like=True):
    """A request that scores the whole text of an item; its 2xx answer carries the score."""

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
    """Items of a group share their prompt; empty where there is none."""
    reward: RewardCall | None = None
    """Asked once the text is whole; the item succeeds only with its score."""


class JobSubmission(msgspec.Struct, frozen=True):
    """A job as its trainer sends it."""

    job_id: str
    host: str
    path: str
    step: int
    model: str
    min_version: int
    """Oldest version of the weights that may make its tokens."""
    desired_groups: int
    items: list[JobItem]


class ItemState(enum.Enum):
    """How an item ended."""

    SUCCEEDED = "succeeded"
    GIVEN_UP = "given_up"


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of an item; its position in the job never changes."""

    item_id: str
    state: ItemState
    text: str
    versions: list[int]
    score: str = ""
    """Signature of the reward call's answer; empty where the item has no reward."""


class FinishedItem(msgspec.Struct, frozen=True, array_like=True):
    """The end of an item, on top of the events that were saved before."""

    item_id: str
    state: ItemState
    saved_parts: int
    """How many saved events the text begins with."""
    parts: list[str]
    """The events after those."""
    versions: list[int]
    score: str = ""


class ItemProgress(msgspec.Struct, frozen=True, array_like=True):
    """Events of an item that were made after those saved before."""

    item_id: str
    first_part: int
    """How many saved events they follow; what was saved beyond those is replaced."""
    parts: list[str]
    last_event_id: int
    versions: list[int]
    """Versions of all events so far, in the order of their first event."""
    whole: bool = False
    """Whether these events end the text."""


class ResultPage(msgspec.Struct, frozen=True):
    """Results from a position on."""

    total_items: int
    next_position: int
    results: list[ItemResult]
