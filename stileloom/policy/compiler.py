"""Compiles and validates rules; errors give the line, the column and the expected input.

Rules are written in CEL (Common Expression Language), so they terminate and have no side
effects. The length of a rule and its number of comprehensions are limited, names are checked
against the available inputs, and the result type is checked by evaluating the rule on default
inputs.
"""

from __future__ import annotations

import enum
import re

import cel
import msgspec

from stileloom.errors import ErrorKind, StileloomError
from stileloom.policy.inputs import INPUT_FIELDS, RuleInputs

MAX_RULE_CHARACTERS = 1024
MAX_COMPREHENSIONS = 2
COMPREHENSIONS = ("all", "exists", "exists_one", "filter", "map")

_POSITION = re.compile(r"<input>:(\d+):(\d+): (.*)")
"""Matches the position and the text of a syntax error of the CEL parser."""
_COMPREHENSION = re.compile(
    r"\.\s*(" + "|".join(COMPREHENSIONS) + r")\s*\((?:\s*([A-Za-z_]\w*)\s*,)?"
)
"""Matches a comprehension and the variable it binds."""
_MEMBER = re.compile(r"\b(" + "|".join(INPUT_FIELDS) + r")\s*\.\s*([A-Za-z_]\w*)")
_STRING = re.compile(r"'(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"")


class RuleKind(enum.Enum):
    """The rules that a policy can define."""

    PRIORITY = "priority"
    FRESHNESS = "freshness"
    PLACEMENT = "placement"


RESULT_TYPES: dict[RuleKind, type] = {
    RuleKind.PRIORITY: int,
    RuleKind.FRESHNESS: int,
    RuleKind.PLACEMENT: bool,
}


class CompiledRule:
    def __init__(self, kind: RuleKind, source: str, program: cel.Program) -> None:
        self.kind = kind
        self.source = source
        self._program = program

    def evaluate(self, inputs: RuleInputs) -> int | bool:
        """Evaluates the rule. Raises `StileloomError` (POLICY_INVALID) on failure."""
        variables = msgspec.to_builtins(inputs)
        try:
            value = self._program.execute(variables)
        except (RuntimeError, TypeError, ValueError, ArithmeticError, LookupError) as error:
            raise _invalid_policy(self.kind, 1, 1, str(error)) from error
        expected = RESULT_TYPES[self.kind]
        if type(value) is not expected:
            raise _invalid_policy(
                self.kind, 1, 1, f"expected {expected.__name__}, got {type(value).__name__}"
            )
        assert isinstance(value, int)
        return value


def compile_rule(kind: RuleKind, source: str) -> CompiledRule:
    """Compiles and validates one rule.

    Raises `StileloomError` (POLICY_INVALID) with the rule's name, line and column.
    """
    if len(source) > MAX_RULE_CHARACTERS:
        raise _invalid_policy(
            kind, 1, MAX_RULE_CHARACTERS, f"more than {MAX_RULE_CHARACTERS} characters"
        )
    try:
        program = cel.compile(source)
    except ValueError as error:
        raise _syntax_error(kind, str(error)) from error
    _check_limits_and_names(kind, source, program)
    rule = CompiledRule(kind, source, program)
    rule.evaluate(RuleInputs())
    return rule


def _check_limits_and_names(kind: RuleKind, source: str, program: cel.Program) -> None:
    """Checks the number of comprehensions and that all names and fields are available inputs."""
    source_without_strings = _STRING.sub(lambda match: " " * len(match.group()), source)
    comprehensions = list(_COMPREHENSION.finditer(source_without_strings))
    if len(comprehensions) > MAX_COMPREHENSIONS:
        line, column = _line_and_column(source, comprehensions[MAX_COMPREHENSIONS].start())
        raise _invalid_policy(kind, line, column, f"more than {MAX_COMPREHENSIONS} comprehensions")
    bound_variables = {
        match.group(2)
        for match in _COMPREHENSION.finditer(source_without_strings)
        if match.group(2)
    }
    for name in sorted(program.variables()):
        if name not in INPUT_FIELDS and name not in bound_variables:
            line, column = _line_and_column(source, max(0, source_without_strings.find(name)))
            known = ", ".join(INPUT_FIELDS)
            raise _invalid_policy(
                kind, line, column, f"unknown name {name!r}, expected one of {known}"
            )
    for match in _MEMBER.finditer(source_without_strings):
        fields = INPUT_FIELDS[match.group(1)]
        if match.group(2) not in fields:
            line, column = _line_and_column(source, match.start(2))
            known = ", ".join(fields)
            raise _invalid_policy(
                kind, line, column, f"unknown field {match.group(2)!r}, expected one of {known}"
            )


def _line_and_column(source: str, position: int) -> tuple[int, int]:
    before = source[:position]
    return before.count("\n") + 1, position - (before.rfind("\n") + 1) + 1


def _syntax_error(kind: RuleKind, text: str) -> StileloomError:
    match = _POSITION.search(text)
    if match is None:
        return _invalid_policy(kind, 1, 1, text)
    return _invalid_policy(kind, int(match.group(1)), int(match.group(2)), match.group(3))


def _invalid_policy(kind: RuleKind, line: int, column: int, detail: str) -> StileloomError:
    location = f"{kind.value}: line {line}, column {column}"
    return StileloomError(ErrorKind.POLICY_INVALID, f"{location}: {detail}")
