"""Ids of jobs within their tenant.

Everything behind the gateways knows a job by its scoped id, so a job of another tenant is the same
as one that does not exist.
"""

from __future__ import annotations

from urllib.parse import quote

SEPARATOR = ":"


def scoped_job_id(tenant: str, job_id: str) -> str:
    """The id of a tenant's job; no two pairs of tenant and id have the same one.

    A quoted name contains no separator. An anonymous job keeps its id, unless the id could be read
    as that of a tenant.
    """
    if tenant:
        return f"{quote(tenant, safe='')}{SEPARATOR}{job_id}"
    return f"{SEPARATOR}{job_id}" if SEPARATOR in job_id else job_id


def caller_job_id(scoped_id: str) -> str:
    """The id under which the caller knows a job."""
    return scoped_id.partition(SEPARATOR)[2] if SEPARATOR in scoped_id else scoped_id
