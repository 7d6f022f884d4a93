"""Limits on what a peer may send in a response. A response beyond one of them is malformed."""

from __future__ import annotations

MAX_HEAD_BYTES = 65_536
"""Head of a response together with all interim heads (1xx) before it."""
MAX_TRAILER_BYTES = 8_192
MAX_CHUNK_LINE_BYTES = 256
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
"""Body of a lookup's response, including the framing of its chunks. It is held in memory, because
only a complete response is passed on. Requests have the same limit unless configured otherwise."""
MAX_CONTROL_RESPONSE_BYTES = 1024 * 1024
"""Body of a response to a report, an order or a duty call; these have a few hundred bytes."""
MAX_ERROR_BYTES = 1024 * 1024
"""Body of a response that takes the place of an event stream."""
MAX_EVENT_BYTES = 1024 * 1024
"""Bytes from one numbered event of a stream to the next, including empty and unnumbered ones."""
MAX_UNNUMBERED_EVENTS = 256
"""Empty or unnumbered events from one numbered event to the next. Each costs as much time as a
numbered one, however short it is."""
MAX_FIGURE_DIGITS = 18
"""Digits of a length, an event id or a version; such a figure fits into 64 bits."""


def parse_figure(text: str) -> int | None:
    """Parses a non-negative decimal figure; returns None if it is malformed or too long."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_FIGURE_DIGITS:
        return None
    return int(text)
