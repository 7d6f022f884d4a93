"""Decides whether a lookup that no sampler took waits for a place, or is refused. No I/O.

What can not be served is refused at once. Where samplers are full, a place may come free within
milliseconds: the lookup waits for it as long as waiting costs its caller next to nothing.
"""

from __future__ import annotations

from stileloom.errors import ErrorKind, StileloomError
from stileloom.proxy.attempt_plan import AttemptPlan

PATIENT_SHARE_OF_TARGET = 0.125
"""A lookup waits this share of its target latency for a place. With more of it places go to
lookups that are late by then: at 1.5 times the capacity for 2 s a share of 0.5 served 3,465 of
7,000 in time, this one 4,876 (crowds of `CrowdBenchmark`, target 0.2 s, one figure changed)."""
ROUND_S = 0.005
"""Between two rounds over full samplers: one with 6 places and 38 ms of work frees one each 6 ms.
Rounds 30 ms apart, up to 0.22 of the target, served 4 to 14 % fewer of the same crowds in time."""
RETURN_SHARE_OF_TARGET = 0.5
"""Retry-After as a share of the target latency: about the latest return that is still answered in
time. Of short crowds a share of 0.25 served 6 to 13 % fewer in time and of lasting ones as many;
a share of 1 served 24 to 35 % fewer of short ones."""
ABSENT_RETRY_AFTER_S = 0.5
"""A service none of whose samplers can be reached. A process that ended is back after 2 to 4 s; a
caller that comes again spends its own time, so it is not sent away for as long."""


def wait_or_refuse(
    plan: AttemptPlan, listed: int, deadline_at: float, now: float
) -> float | StileloomError:
    """How long to wait before samplers are asked again, in seconds, or why to refuse now.

    `listed` samplers of the service are known, and none of them took the lookup.
    """
    if not plan.full:
        detail = f"none of {listed} samplers can be reached"
        return _not_taken(plan, ErrorKind.NO_SAMPLER, detail, ABSENT_RETRY_AFTER_S)
    patient_until = plan.started_at + plan.target_latency_s * PATIENT_SHARE_OF_TARGET
    if now + ROUND_S <= min(patient_until, deadline_at):
        return ROUND_S
    detail = (
        f"of {listed} samplers {len(plan.refused_by)} are full and "
        f"{len(plan.unreachable)} can not be reached"
    )
    retry_after_s = round(plan.target_latency_s * RETURN_SHARE_OF_TARGET, 3)
    return _not_taken(plan, ErrorKind.OVERLOADED, detail, retry_after_s)


def refuse_suspected(plan: AttemptPlan) -> StileloomError:
    """Why a request that may end the sampler that runs it does not run now."""
    detail = "samplers ended under it, and no two are left of which it might end one"
    return _not_taken(plan, ErrorKind.NO_SAMPLER, detail, ABSENT_RETRY_AFTER_S)


def _not_taken(
    plan: AttemptPlan, kind: ErrorKind, detail: str, retry_after_s: float
) -> StileloomError:
    """A refusal; once an attempt may have run, nothing can be promised any more."""
    if plan.may_have_run:
        detail = f"{plan.may_have_run} attempts broke off, and {detail}"
        return StileloomError(ErrorKind.SAMPLER_FAILED, detail)
    return StileloomError(kind, detail, retry_after_s=retry_after_s)
