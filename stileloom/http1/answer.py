"""Decides whether a response is a sampler's answer to a request, and what it says about the run.

A faulty sampler may send bytes that look like a response, and an answer to an earlier request may
arrive in place of the expected one. Samplers repeat the id of the request in each answer and sign
each success (`HeaderNames`), so a response without them proves nothing: the request may have run.
Framing and the range of statuses are checked by `ResponseDecoder`. Performs no I/O.
"""

from __future__ import annotations

import enum

from stileloom.api.headers import HeaderNames
from stileloom.http1.response_decoder import ResponseHead

MISDIRECTED_STATUS = 421
LOWEST_ERROR_STATUS = 400


class NotAnAnswer(Exception):
    """The response is not the sampler's answer to the request; the message says why."""


class AnswerKind(enum.Enum):
    """What an answer says about the request."""

    RAN = "ran"
    """The sampler ran the request; the status tells how the run ended."""
    NOT_RUN = "not_run"
    """The sampler guarantees that it did not run the request."""
    MISDIRECTED = "misdirected"
    """Another sampler has the address (status 421); the request did not run."""


def classify_answer(
    head: ResponseHead, request_id: str, sampler_id: str, names: HeaderNames
) -> AnswerKind:
    """Classifies the head of a response to a request to a sampler. Raises `NotAnAnswer`."""
    answered_id = head.headers.get(names.request_id)
    if answered_id is None:
        raise NotAnAnswer(f"status {head.status} without a request id")
    if answered_id != request_id:
        raise NotAnAnswer("response to another request")
    not_run = names.not_run in head.headers
    if head.status < LOWEST_ERROR_STATUS and not_run:
        raise NotAnAnswer(f"status {head.status} of a request that did not run")
    if 200 <= head.status < 300 and not head.headers.get(names.signature):
        raise NotAnAnswer(f"status {head.status} without a signature")
    if head.status == MISDIRECTED_STATUS:
        # The addressed sampler itself refuses a request that expects other weights.
        is_addressed = head.headers.get(names.sampler_id) == sampler_id
        return AnswerKind.NOT_RUN if is_addressed else AnswerKind.MISDIRECTED
    return AnswerKind.NOT_RUN if not_run else AnswerKind.RAN
