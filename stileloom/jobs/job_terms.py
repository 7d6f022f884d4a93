"""What the configuration in force sets for the items of an accepted job. Performs no I/O.

A job outlives configurations: its route may move to another service or change its limits while
items wait or run. Terms are therefore read again for all open items after each change.
"""

from __future__ import annotations

import msgspec

from stileloom.api.jobs import JobSubmission
from stileloom.api.routes import RouteKind
from stileloom.fairness.priority import DEFAULT_PRIORITY, priority_of
from stileloom.jobs.open_items import DEFAULT_TOKENS_PER_EVENT, OpenItem
from stileloom.proxy.route_table import RouteTable

DEADLINE_MARGIN_S = 2.0
"""Time after the maximum wait of its route at which an item is given up."""


class JobTerms(msgspec.Struct, frozen=True):
    """What a route and its service require of the items of one job."""

    service: str
    """Whose samplers run the items from the next run on."""
    single_version: bool
    max_attempts: int
    give_up_after_s: float
    """Time after the job's submission at which an item without a result is given up."""
    tokens_per_event: float = DEFAULT_TOKENS_PER_EVENT
    priority: int = DEFAULT_PRIORITY


def job_terms(routes: RouteTable, submission: JobSubmission) -> JobTerms | None:
    """Returns the terms of a job, or None if the configuration has no batch route for it."""
    route = routes.match(submission.host, submission.path)
    if route is None or route.kind is not RouteKind.BATCH:
        return None
    service = route.backends[0].service
    return JobTerms(
        service,
        route.single_version,
        route.max_attempts,
        route.max_wait_s + DEADLINE_MARGIN_S,
        _tokens_per_event(routes, service),
        priority_of(routes.configuration, submission.tenant, route),
    )


def _tokens_per_event(routes: RouteTable, service_name: str) -> float:
    service = routes.service(service_name)
    if service is None or service.engine is None:
        return DEFAULT_TOKENS_PER_EVENT
    return service.engine.tokens_per_event


def apply_terms(open_item: OpenItem, terms: JobTerms) -> None:
    """Applies changed terms to an item. A run goes on where it is; they count for the next one."""
    open_item.service = terms.service
    open_item.single_version = terms.single_version
    open_item.max_attempts = terms.max_attempts
    open_item.deadline = open_item.waiting_since + terms.give_up_after_s
    open_item.tokens_per_event = terms.tokens_per_event
    open_item.priority = terms.priority
