"""`stileloom trace`: the story of a request, job or item out of the logs."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from stileloom.cli.errors import exit_on_error
from stileloom.errors import ErrorKind, StileloomError
from stileloom.trace import gather, render


def trace(
    sought: Annotated[str, typer.Argument(help="Id of a request, job or item.")],
    files: Annotated[
        list[Path] | None, typer.Argument(help="Logs; standard input if none.")
    ] = None,
    output: Annotated[str, typer.Option("-o", help="`text` or `json`.")] = "text",
) -> None:
    """Prints what all processes logged about an id, and what changed around it.

    Example: stileloom trace 9c41d07be2a35f68 gateway.log ledger.log
    """
    with exit_on_error():
        story = gather(sought, _lines(files or []))
        if not story.lines:
            raise StileloomError(ErrorKind.UNKNOWN_OBJECT, f"no line names {sought}")
        if output == "json":
            typer.echo(msgspec.json.encode(story).decode())
        else:
            typer.echo(render(story))


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
