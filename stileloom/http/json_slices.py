"""Splits JSON documents into slices without decoding them.

A decoder fails as a whole on a document that contains one value it cannot represent, such as one
that is nested too deeply. The slices around that value can still be decoded one by one. The split
is iterative, so that nesting costs no stack.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

from stileloom.errors import ErrorKind, StileloomError

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},:]', re.DOTALL)
_OPENING = (b"[", b"{")
_CLOSING = (b"]", b"}")


def elements(document: bytes) -> list[bytes]:
    """Slices of the elements of an array. Raises `StileloomError` (BAD_REQUEST)."""
    return [value for _, value in _children(document, b"[")]


def members(document: bytes) -> dict[str, bytes]:
    """Slices of the values of an object, by name. Raises `StileloomError` (BAD_REQUEST)."""
    try:
        return {
            msgspec.json.decode(name, type=str): value for name, value in _children(document, b"{")
        }
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _malformed(str(error)) from error


def is_deeper_than(document: bytes, limit: int) -> bool:
    """Whether arrays and objects are nested in more than `limit` levels."""
    if document.count(b"[") + document.count(b"{") <= limit:
        return False
    depth = 0
    for token in _TOKEN.finditer(document):
        if token.group() in _OPENING:
            depth += 1
            if depth > limit:
                return True
        elif token.group() in _CLOSING:
            depth -= 1
    return False


def _children(document: bytes, opening: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Names, empty for elements of an array, and slices of values."""
    document = document.strip()
    if not document.startswith(opening):
        raise _malformed(f"expected {opening.decode()}")
    depth, start, name = 0, 1, b""
    for token in _TOKEN.finditer(document):
        text = token.group()
        if text in _OPENING:
            depth += 1
        elif depth == 1 and text == b":" and opening == b"{":
            name, start = document[start : token.start()].strip(), token.end()
        elif depth == 1 and (text == b"," or text in _CLOSING):
            value = document[start : token.start()].strip()
            if value:
                yield name, value
            name, start = b"", token.end()
        if text in _CLOSING:
            depth -= 1
            if depth == 0:
                if token.end() != len(document):
                    raise _malformed("data after the end")
                return
    raise _malformed("truncated")


def _malformed(detail: str) -> StileloomError:
    return StileloomError(ErrorKind.BAD_REQUEST, f"malformed JSON: {detail}")
