"""Decides on whose behalf a request runs, by the API keys of the active configuration."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec
from tornado.httputil import HTTPHeaders

from stileloom.api.headers import HeaderNames
from stileloom.api.routes import Route, RouteKind
from stileloom.api.tenants import ANONYMOUS
from stileloom.fairness.priority import effective_priority
from stileloom.proxy.route_table import RouteTable
from stileloom.tenants.credentials import CREDENTIALS_HEADER, unauthenticated


class Caller(msgspec.Struct, frozen=True):
    """The tenant on whose behalf a request runs."""

    tenant: str = ANONYMOUS
    key_digest: bytes = b""
    """Digest of the presented API key; empty if the request needs none."""
    priority: int | None = None
    """The tenant's priority; None if it has none."""

    def priority_on(self, route: Route) -> int:
        """The priority of its requests on a route."""
        return route.priority if self.priority is None else self.priority


class AccessControl:
    """Authenticates the requests of one gateway."""

    def __init__(self, routes: RouteTable, names: HeaderNames) -> None:
        self._routes = routes
        self._names = names

    def authenticate(self, headers: HTTPHeaders, route: Route) -> Caller:
        """Returns the caller of a request on a route.

        Raises `StileloomError` (UNAUTHENTICATED).
        """
        if route.public:
            return Caller()
        return self._authenticate(headers)

    def authenticate_job_call(self, headers: HTTPHeaders, host: str) -> Caller:
        """Returns the caller of a call about a job, which names no route.

        Jobs of public routes are anonymous, so such a call needs no key on a host that has one.
        Raises `StileloomError` (UNAUTHENTICATED).
        """
        if CREDENTIALS_HEADER not in headers and self._has_public_jobs(host):
            return Caller()
        return self._authenticate(headers)

    def _authenticate(self, headers: HTTPHeaders) -> Caller:
        keys = self._routes.keys
        if keys is None:
            return Caller()
        digest, tenant = keys.authenticate(headers.get_list(CREDENTIALS_HEADER))
        return Caller(tenant.name, digest, tenant.priority)

    def _has_public_jobs(self, host: str) -> bool:
        routes = self._routes.of_host(host)
        return any(route.public and route.kind is RouteKind.BATCH for route in routes)

    def check_key(self, caller: Caller) -> None:
        """Raises `StileloomError` (UNAUTHENTICATED) if the caller's key was taken away."""
        keys = self._routes.keys
        if not caller.key_digest or keys is None:
            return
        holder = keys.holder_of(caller.key_digest)
        if holder is None or holder.name != caller.tenant:
            raise unauthenticated("the API key was taken away while the request waited")

    def key_check(self, caller: Caller) -> Callable[[], None]:
        """A check of the caller's key that takes no arguments, for requests that wait."""
        return lambda: self.check_key(caller)

    def headers_for_sampler(
        self, headers: Iterable[tuple[str, str]], caller: Caller, route: Route
    ) -> list[tuple[str, str]]:
        """Replaces the caller's credentials by the name of its tenant, and sets the priority."""
        has_tenants = self._routes.keys is not None
        kept = with_tenant(headers, caller.tenant, self._names, has_tenants)
        if not has_tenants:
            return kept
        priority = effective_priority(caller.priority, route)
        return with_priority(kept, priority, self._names)


def with_tenant(
    headers: Iterable[tuple[str, str]], tenant: str, names: HeaderNames, has_tenants: bool
) -> list[tuple[str, str]]:
    """Returns the headers for a sampler: a tenant named by the caller never reaches it.

    API keys are withheld where there are tenants; elsewhere the header belongs to the samplers.
    """
    withheld = {names.tenant.lower()}
    if has_tenants:
        withheld.add(CREDENTIALS_HEADER.lower())
    kept = [(name, value) for name, value in headers if name.lower() not in withheld]
    return [*kept, (names.tenant, tenant)] if tenant else kept


def with_priority(
    headers: Iterable[tuple[str, str]], priority: int, names: HeaderNames
) -> list[tuple[str, str]]:
    """Returns the headers with this priority; one sent by the caller never reaches a sampler."""
    kept = [(name, value) for name, value in headers if name.lower() != names.priority.lower()]
    return [*kept, (names.priority, str(priority))]
