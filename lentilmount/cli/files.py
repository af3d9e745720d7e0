"""Reads resources from files: one object or a list, in JSON5."""

from __future__ import annotations

import pathlib
from typing import Any

import attrs
import json5

from lentilmount.codec import structure_resource
from lentilmount.context import Environment
from lentilmount.errors import FieldProblem, InvalidError
from lentilmount.lines import find_line, find_lines, find_open_comment

STDIN = '-'


def read_resources(path: str, env: Environment) -> list[dict[str, Any]]:
    """Reads and checks the resources of a file, or of stdin for '-'.

    All resources are checked before the first one is sent, so that an invalid
    resource does not leave the file partly applied.

    Raises:
      InvalidError: A field is invalid, or a resource occurs twice (the error
        lists every such field with its line); or the file cannot be read, is
        empty or is not JSON5.
    """
    text = _read_text(path, env)
    try:
        value = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        line = find_open_comment(text)
        problem = f'line {line}: a comment never ends' if line else str(error)
        raise InvalidError(f'{path}: {problem}') from error
    items = value if isinstance(value, list) else [value]
    problems = [*_check_fields(items, isinstance(value, list))]
    if not problems:
        problems = [*_find_duplicates(items)]
    if not items:
        raise InvalidError(f'{path}: there is no resource in it')
    if problems:
        raise _make_error(path, text, problems)
    return items


def _read_text(path: str, env: Environment) -> str:
    try:
        if path == STDIN:
            return env.stdin.read()
        return pathlib.Path(path).read_text('utf-8')
    except OSError as error:
        raise InvalidError(f'{path}: {error.strerror}') from error
    except UnicodeDecodeError as error:
        raise InvalidError(
            f'{path}: not UTF-8 at byte {error.start}'
        ) from error


def _check_fields(items: list[Any], is_list: bool) -> list[FieldProblem]:
    problems = []
    for index, item in enumerate(items):
        try:
            structure_resource(item)
        except InvalidError as error:
            prefix = f'[{index}].' if is_list else ''
            for problem in error.fields:
                field = (prefix + problem.field.lstrip('$')).rstrip('.') or '$'
                problems.append(attrs.evolve(problem, field=field))
    return problems


def _find_duplicates(items: list[dict[str, Any]]) -> list[FieldProblem]:
    seen: dict[str, int] = {}
    problems = []
    for index, item in enumerate(items):
        path = structure_resource(item).path
        if path in seen:
            problems.append(
                FieldProblem(
                    f'[{index}].metadata.name',
                    f'{path} stands in the file twice, first as item '
                    f'{seen[path] + 1}',
                    'leave one of them out, or rename it',
                )
            )
        seen.setdefault(path, index)
    return problems


def _make_error(
    path: str, text: str, problems: list[FieldProblem]
) -> InvalidError:
    lines = find_lines(text)
    fields = tuple(
        attrs.evolve(problem, line=find_line(lines, problem.field))
        for problem in problems
    )
    return InvalidError(f'{path}: wrong fields', fields=fields)
