"""Validates a submitted job before it is committed."""

from __future__ import annotations

from stileloom.api.jobs import JobItem, JobSubmission, RewardCall
from stileloom.errors import ErrorKind, StileloomError

MAX_ID_LENGTH = 256
MAX_TARGET_LENGTH = 8192


def check_submission(submission: JobSubmission) -> None:
    """Raises `StileloomError` (BAD_REQUEST) at the first invalid item.

    Ids of items and reward calls must be unique. Control characters in ids, paths and headers are
    rejected, because they would allow request smuggling to the sampler.
    """
    seen: set[str] = set()
    for item in submission.items:
        _check_item(item)
        _check_unique(item.item_id, seen)
        if item.reward is not None:
            _check_reward(item.reward)
            _check_unique(item.reward.request_id, seen)


def _check_item(item: JobItem) -> None:
    _check_id(item.item_id)
    _check_target(item.path)
    for name, value in item.headers.items():
        if not name or not _is_header_text(name) or ":" in name or " " in name:
            raise _bad_request(f"item {item.item_id}: invalid header name {name[:40]!r}")
        if not _is_header_text(value.replace("\t", " ")):
            raise _bad_request(f"item {item.item_id}: invalid value of header {name[:40]}")


def _check_reward(reward: RewardCall) -> None:
    _check_id(reward.request_id)
    _check_target(reward.path)
    if not reward.host or " " in reward.host or not _is_header_text(reward.host):
        raise _bad_request(f"reward call {reward.request_id}: invalid host {reward.host[:40]!r}")


def _check_id(text: str) -> None:
    if not text or len(text) > MAX_ID_LENGTH or not _is_header_text(text) or " " in text:
        raise _bad_request(f"invalid id {text[:40]!r}")


def _check_target(text: str) -> None:
    if (
        not text.startswith("/")
        or len(text) > MAX_TARGET_LENGTH
        or " " in text
        or not _is_header_text(text)
    ):
        raise _bad_request(f"invalid path {text[:40]!r}")


def _check_unique(text: str, seen: set[str]) -> None:
    if text in seen:
        raise _bad_request(f"duplicate item or reward call id {text[:40]!r}")
    seen.add(text)


def _is_header_text(text: str) -> bool:
    """Whether the text is Latin-1 without control characters."""
    return all(" " <= character <= "\xff" and character != "\x7f" for character in text)


def _bad_request(detail: str) -> StileloomError:
    return StileloomError(ErrorKind.BAD_REQUEST, detail)
