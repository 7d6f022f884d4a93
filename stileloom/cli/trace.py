"""`stileloom trace`: log lines related to a request, job or item."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from stileloom.cli.errors import exit_on_error
from stileloom.errors import ErrorKind, StileloomError
from stileloom.trace import collect_trace, render


def trace(
    sought: Annotated[str, typer.Argument(help="Id of a request, job or item.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Log files; standard input if none are given.")
    ] = None,
    output: Annotated[str, typer.Option("-o", help="`text` or `json`.")] = "text",
) -> None:
    """Prints the log lines of all processes about an id, and related state changes.

    Example: stileloom trace 9c41d07be2a35f68 gateway.log ledger.log
    """
    with exit_on_error():
        result = collect_trace(sought, _lines(files or []))
        if not result.lines:
            raise StileloomError(ErrorKind.UNKNOWN_OBJECT, f"no log line references {sought}")
        if output == "json":
            typer.echo(msgspec.json.encode(result).decode())
        else:
            typer.echo(render(result))


def _lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
        return
    for file in files:
        try:
            with file.open(errors="replace") as log:
                yield from log
        except OSError as error:
            raise StileloomError(ErrorKind.BAD_REQUEST, f"{file}: {error.strerror}") from error
