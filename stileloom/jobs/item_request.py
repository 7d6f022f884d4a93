"""The request that runs an item at a sampler, or goes on where its text ends."""

from __future__ import annotations

from stileloom.api.headers import HeaderNames
from stileloom.http1.request_encoder import encode_request, end_to_end
from stileloom.jobs.open_items import OpenItem


def encode_item_request(
    open_item: OpenItem, host: str, sampler_id: str, left_s: float, names: HeaderNames
) -> bytes:
    """The item's own headers and body; ours take the place of headers of the same name.

    `left_s` is the time until the item may be given up.
    """
    item = open_item.item
    own = {
        names.request_id.lower(),
        names.expect_sampler.lower(),
        names.deadline_ms.lower(),
        names.last_event_id.lower(),
        "host",
    }
    headers = [("Host", host), (names.request_id, item.item_id)]
    headers += [
        (name, value) for name, value in end_to_end(item.headers.items()) if name.lower() not in own
    ]
    left_ms = max(1, int(left_s * 1000))
    headers += [(names.deadline_ms, str(left_ms)), (names.expect_sampler, sampler_id)]
    if open_item.partial.last_event_id is not None:
        headers.append((names.last_event_id, str(open_item.partial.last_event_id)))
    return encode_request("POST", item.path, headers, item.body)
