"""Turns bodies and plain values of others into typed ones, or into an error of a listed kind.

Nesting of any depth is refused, not fatal.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from stileloom.errors import ErrorKind, StileloomError

Value = TypeVar("Value")


def convert(value: Any, kind: type[Value]) -> Value:
    """A plain value as a typed one. Raises `StileloomError` (OBJECT_INVALID)."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, RecursionError) as error:
        raise StileloomError(ErrorKind.OBJECT_INVALID, str(error)) from error


def decode(body: bytes, kind: type[Value]) -> Value:
    """JSON as a typed value. Raises `StileloomError` (BAD_REQUEST)."""
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise StileloomError(ErrorKind.BAD_REQUEST, str(error)) from error
