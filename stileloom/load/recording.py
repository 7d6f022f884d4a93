"""Records the load that a response of a sampler reports. Performs no I/O.

Handles uneven and changing speeds of samplers, which their responses show without further calls.
"""

from __future__ import annotations

from tornado.httputil import HTTPHeaders

from stileloom.api.headers import HeaderNames
from stileloom.api.sampler_directory import SamplerEntry
from stileloom.load.readings import decode_load
from stileloom.load.view import LoadView


def record_response_load(
    view: LoadView,
    entry: SamplerEntry,
    headers: HTTPHeaders,
    names: HeaderNames,
    measured_at: float,
    now: float,
) -> None:
    """Records the load in the headers of a response, if it has a valid one.

    Drops the response if it may have waited for this process while that was frozen.

    `entry` is that of the attempt's start: the sampler may have been restarted since. Responses of
    another process at the address (status 421) must not be passed.
    """
    header = headers.get(names.load)
    reading = decode_load(header) if header is not None else None
    if reading is not None and view.stalls.is_reliable(measured_at):
        view.record(entry, reading, measured_at, now)
