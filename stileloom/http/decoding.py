"""Decoding of untrusted input into typed values; errors are raised as `StileloomError`.

Excessively nested input is rejected like any other invalid input.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from stileloom.errors import ErrorKind, StileloomError

Value = TypeVar("Value")


def convert(value: Any, value_type: type[Value]) -> Value:
    """Converts a plain value to a type. Raises `StileloomError` (OBJECT_INVALID)."""
    try:
        return msgspec.convert(value, value_type)
    except (msgspec.ValidationError, RecursionError) as error:
        raise StileloomError(ErrorKind.OBJECT_INVALID, str(error)) from error


def decode(body: bytes, value_type: type[Value]) -> Value:
    """Decodes JSON to a type. Raises `StileloomError` (BAD_REQUEST)."""
    try:
        return msgspec.json.decode(body, type=value_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise StileloomError(ErrorKind.BAD_REQUEST, str(error)) from error
