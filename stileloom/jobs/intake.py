"""Adoption of a job by a leader: size estimates of its items, reusable results and saved texts."""

from __future__ import annotations

from stileloom.api.headers import HeaderNames
from stileloom.api.jobs import FinishedItem, ItemState
from stileloom.jobs.open_items import ItemSize
from stileloom.jobs.partial_text import PartialText
from stileloom.jobs.registry import JobRecord, JobRegistry

MAX_TOKENS = 1e9


def item_size(headers: dict[str, str], names: HeaderNames) -> ItemSize:
    """Estimates the size of an item from its length hint or from half of its token limit."""
    by_name = {name.lower(): value for name, value in headers.items()}
    usage = [_tokens(part) for part in by_name.get(names.token_usage.lower(), "").split(",")]
    prompt, limit = (usage[0], usage[1]) if len(usage) == 2 else (None, None)
    hint = _tokens(by_name.get(names.length_hint.lower(), ""))
    if hint is None and limit is not None:
        hint = limit / 2
    if hint is not None and limit is not None:
        hint = min(hint, limit)
    expected = hint if hint is not None else ItemSize().expected_tokens
    return ItemSize(expected, prompt or 0.0, limit if limit is not None else float("inf"))


def reusable_results(
    registry: JobRegistry, record: JobRecord, single_version: bool
) -> list[FinishedItem]:
    """Finds acceptable results of other jobs for items that this job reuses."""
    wanted = {
        item.item_id: item.reward
        for item in record.submission.items
        if item.item_id not in record.listed
    }
    min_version = record.submission.min_version
    found: list[FinishedItem] = []
    for other_job in registry.jobs.values():
        if not _may_share(record, other_job):
            continue
        rewards = {item.item_id: item.reward for item in other_job.submission.items}
        for result in other_job.results:
            if result.item_id not in wanted or result.state is not ItemState.SUCCEEDED:
                continue
            too_old = any(version < min_version for version in result.versions)
            if too_old or (single_version and len(result.versions) > 1):
                continue
            if rewards[result.item_id] != wanted[result.item_id]:
                # The score belongs to a different reward call.
                continue
            del wanted[result.item_id]
            text = registry.load_result(result).text
            found.append(
                FinishedItem(result.item_id, result.state, 0, [text], result.versions, result.score)
            )
    return found


def saved_texts(registry: JobRegistry, record: JobRecord) -> dict[str, PartialText]:
    """Finds the longest saved text of other jobs for each item that this job reuses."""
    wanted = {item.item_id for item in record.submission.items} - record.listed
    found: dict[str, PartialText] = {}
    for other_job in registry.jobs.values():
        if not _may_share(record, other_job):
            continue
        for item_id in wanted & other_job.progress.keys():
            saved = other_job.progress[item_id]
            if item_id not in found or len(saved.parts) > len(found[item_id].parts):
                found[item_id] = saved
    return found


def _may_share(record: JobRecord, other_job: JobRecord) -> bool:
    """Whether a job may use texts of another one: same tenant and same model."""
    submission = record.submission
    other = other_job.submission
    same_owner = other.tenant == submission.tenant and other.model == submission.model
    return other_job is not record and same_owner


def _tokens(text: str) -> float | None:
    """Parses a number of tokens; returns None if it is invalid."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 <= value < MAX_TOKENS else None
