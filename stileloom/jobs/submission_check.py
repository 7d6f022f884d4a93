"""Checks a submitted job before the ledger takes it: what it names must be fit to send on."""

from __future__ import annotations

from stileloom.api.jobs import JobItem, JobSubmission, RewardCall
from stileloom.errors import ErrorKind, StileloomError

MAX_ID_LENGTH = 256
MAX_TARGET_LENGTH = 8192


def check_submission(submission: JobSubmission) -> None:
    """Raises `StileloomError` (BAD_REQUEST) at the first item that can not be run as it says.

    Ids must differ, those of reward calls too, and nothing may end a line of an HTTP head: it
    would become another request at the sampler.
    """
    seen: set[str] = set()
    for item in submission.items:
        _check_item(item)
        _check_new(item.item_id, seen)
        if item.reward is not None:
            _check_reward(item.reward)
            _check_new(item.reward.request_id, seen)


def _check_item(item: JobItem) -> None:
    _check_id(item.item_id)
    _check_target(item.path)
    for name, value in item.headers.items():
        if not name or not _is_header_text(name) or ":" in name or " " in name:
            raise _refusal(f"item {item.item_id}: {name[:40]!r} is no header name")
        if not _is_header_text(value.replace("\t", " ")):
            raise _refusal(f"item {item.item_id}: the header {name[:40]} has a bad value")


def _check_reward(reward: RewardCall) -> None:
    _check_id(reward.request_id)
    _check_target(reward.path)
    if not reward.host or " " in reward.host or not _is_header_text(reward.host):
        raise _refusal(f"reward call {reward.request_id}: {reward.host[:40]!r} is no host")


def _check_id(text: str) -> None:
    if not text or len(text) > MAX_ID_LENGTH or not _is_header_text(text) or " " in text:
        raise _refusal(f"{text[:40]!r} is no id")


def _check_target(text: str) -> None:
    if (
        not text.startswith("/")
        or len(text) > MAX_TARGET_LENGTH
        or " " in text
        or not _is_header_text(text)
    ):
        raise _refusal(f"{text[:40]!r} is no path")


def _check_new(text: str, seen: set[str]) -> None:
    if text in seen:
        raise _refusal(f"two items or reward calls have the id {text[:40]!r}")
    seen.add(text)


def _is_header_text(text: str) -> bool:
    """Latin-1 without control characters."""
    return all(" " <= character <= "\xff" and character != "\x7f" for character in text)


def _refusal(detail: str) -> StileloomError:
    return StileloomError(ErrorKind.BAD_REQUEST, detail)
