"""Tenant rate limits, the retry budget, and ejection of failing samplers."""

from __future__ import annotations

import msgspec

from stileloom import constants

MAX_EJECTION_FACTOR = 8


class TokenBucket:
    def __init__(self, rate_per_s: float, burst: float, now: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = burst
        self._updated_at = now

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Takes `amount` if it is available; returns whether it was."""
        self._refill(now)
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def add(self, amount: float) -> None:
        """Adds `amount`, up to the burst size."""
        self._level = min(self._burst, self._level + amount)

    def wait_s(self, now: float, amount: float = 1.0) -> float:
        self._refill(now)
        return max(0.0, (amount - self._level) / self._rate_per_s)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._level = min(self._burst, self._level + elapsed * self._rate_per_s)


class RetryBudget:
    """Limits retries to a fraction of requests, so that retries do not overload a failing pool.

    Each request adds `RETRY_BUDGET_RATIO` retries to the budget, each second adds
    `RETRY_BUDGET_MIN_PER_S`.
    """

    def __init__(self, now: float) -> None:
        self._bucket = TokenBucket(constants.RETRY_BUDGET_MIN_PER_S, burst=20.0, now=now)

    def record_request(self) -> None:
        """Records an admitted request (not a retry)."""
        self._bucket.add(constants.RETRY_BUDGET_RATIO)

    def may_retry(self, now: float) -> bool:
        """Takes one retry from the budget if one is available."""
        return self._bucket.take(now)


class TenantLimits:
    """A rate limiter per service and tenant."""

    def __init__(self) -> None:
        self._buckets: dict[tuple[str, str, float], TokenBucket] = {}

    def admit(self, now: float, service: str, tenant: str, rate_per_s: float) -> float | None:
        """Returns None if the request is admitted, else the seconds to wait before retrying."""
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


class SamplerEjections:
    """Excludes repeatedly failing samplers from selection, with exponential backoff."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def record_success(self, sampler_id: str) -> None:
        self._health.pop(sampler_id, None)

    def record_failure(self, now: float, sampler_id: str) -> bool:
        """Records a failed request; returns whether it ejects the sampler."""
        health = self._health.setdefault(sampler_id, _Health())
        health.failures += 1
        if health.failures < constants.EJECTION_FAILURES or now < health.ejected_until:
            return False
        factor = min(MAX_EJECTION_FACTOR, 2**health.ejections)
        health.ejections += 1
        health.failures = 0
        health.ejected_until = now + constants.EJECTION_DURATION_S * factor
        return True

    def is_ejected(self, now: float, sampler_id: str) -> bool:
        health = self._health.get(sampler_id)
        return health is not None and now < health.ejected_until
