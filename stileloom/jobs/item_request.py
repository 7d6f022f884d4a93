"""Encodes the request that runs an item on a sampler or resumes it after its last event."""

from __future__ import annotations

from stileloom.api.headers import HeaderNames
from stileloom.http1.request_encoder import encode_request, end_to_end_headers
from stileloom.jobs.open_items import OpenItem
from stileloom.tenants.credentials import CREDENTIALS_HEADER


def encode_item_request(
    open_item: OpenItem,
    host: str,
    sampler_id: str,
    remaining_s: float,
    names: HeaderNames,
    has_tenants: bool = False,
) -> bytes:
    """Encodes the item's headers and body; headers set here replace those of the same name.

    `remaining_s` is the time until the item's deadline. The priority is sent if the configuration
    has tenants; elsewhere the header belongs to callers and samplers.
    """
    item = open_item.item
    replaced = {
        names.request_id.lower(),
        names.expect_sampler.lower(),
        names.deadline_ms.lower(),
        names.last_event_id.lower(),
        names.tenant.lower(),
        "host",
    }
    if open_item.required_version is not None:
        replaced.add(names.expect_version.lower())
    if open_item.tenant:
        replaced.add(CREDENTIALS_HEADER.lower())
    if has_tenants:
        replaced.add(names.priority.lower())
    headers = [("Host", host), (names.request_id, item.item_id)]
    headers += [
        (name, value)
        for name, value in end_to_end_headers(item.headers.items())
        if name.lower() not in replaced
    ]
    if open_item.tenant:
        headers.append((names.tenant, open_item.tenant))
    if has_tenants:
        headers.append((names.priority, str(open_item.priority)))
    remaining_ms = max(1, int(remaining_s * 1000))
    headers += [(names.deadline_ms, str(remaining_ms)), (names.expect_sampler, sampler_id)]
    if open_item.required_version is not None:
        # The version that this node believes the sampler to have may be out of date.
        headers.append((names.expect_version, str(open_item.required_version)))
    if open_item.partial.last_event_id is not None:
        headers.append((names.last_event_id, str(open_item.partial.last_event_id)))
    return encode_request("POST", item.path, headers, item.body)
