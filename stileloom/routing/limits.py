"""Limits that protect samplers and callers: rates, retries, ejection of failing samplers."""

from __future__ import annotations

import msgspec

from stileloom import constants

MAX_EJECTION_FACTOR = 8


class TokenBucket:
    """A rate limit with bursts."""

    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._updated_at = now

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Takes from the bucket if enough is there."""
        self._fill(now)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def add(self, amount: float) -> None:
        """Puts something in, up to the burst."""
        self._level = min(self._burst, self._level + amount)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        """Seconds until `amount` can be taken."""
        self._fill(now)
        return max(0.0, (amount - self._level) / self._rate_per_s)

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._level = min(self._burst, self._level + elapsed * self._rate_per_s)


class RetryBudget:
    """Retries as a share of requests, so that a failing pool is not flooded.

    Each request adds `RETRY_BUDGET_RATIO`; a floor of retries a second is always there.
    """

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(constants.RETRY_BUDGET_MIN_PER_S, burst=20.0, now=now)

    def request_seen(self) -> None:
        """A request (not a retry) was admitted."""
        self._bucket.add(constants.RETRY_BUDGET_RATIO)

    def may_retry(self, now: float) -> bool:
        """Takes one retry out of the budget if there is one."""
        return self._bucket.take(now)


class TenantLimits:
    """One rate limit for each tenant of each service."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, str, float], TokenBucket] = {}

    def admit(self, now: float, service: str, tenant: str, rate_per_s: float) -> float | None:
        """None where the request is admitted, else the seconds until it would be."""
        key = (service, tenant, rate_per_s)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, burst=max(1.0, 2 * rate_per_s), now=now)
            self._buckets[key] = bucket
        if bucket.take(now):
            return None
        return bucket.wait_s(now)


class _Health(msgspec.Struct):
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")


class Ejections:
    """Takes samplers that fail again and again out of the choice for a while."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def succeeded(self, sampler_id: str) -> None:
        """A request ended well."""
        self._health.pop(sampler_id, None)

    def failed(self, now: float, sampler_id: str) -> bool:
        """A request failed; returns whether this ejects the sampler."""
        health = self._health.setdefault(sampler_id, _Health())
        health.failures += 1
        if health.failures < constants.EJECTION_FAILURES or now < health.ejected_until:
            return False
        factor = min(MAX_EJECTION_FACTOR, 2**health.ejections)
        health.ejections += 1
        health.failures = 0
        health.ejected_until = now + constants.EJECTION_S * factor
        return True

    def is_ejected(self, now: float, sampler_id: str) -> bool:
        """Whether a sampler is out of the choice."""
        health = self._health.get(sampler_id)
        return health is not None and now < health.ejected_until
