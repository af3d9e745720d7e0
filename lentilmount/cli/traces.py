"""Commands on local files: logs, host settings and deploy files."""

from __future__ import annotations

import json
import pathlib
import tomllib
from collections.abc import Iterator
from typing import Any

import yaml

from lentilmount.cli.session import Session
from lentilmount.errors import FieldProblem, InvalidError, NotFoundError
from lentilmount.platform.host_settings import decode_host_settings
from lentilmount.status import ExitStatus

PREFIX_KEYS = ('time', 'level', 'part', 'message')


async def trace(session: Session) -> ExitStatus:
    """Shows the log lines that contain an id, from all files by time."""
    options = session.options
    found = sorted(
        (
            (str(line.get('time', '')), name, line)
            for name in options.files
            for line in read_lines(name)
            if _mentions(line, options.id)
        ),
        key=lambda entry: entry[:2],
    )
    if not found:
        raise NotFoundError(f'no line speaks of {options.id}')
    for _, name, line in found:
        filtered = _filter_lists(line, options.id)
        text = _format(filtered, pathlib.Path(name).stem)
        print(text, file=session.env.stdout)
    return ExitStatus.OK


def read_lines(name: str) -> Iterator[dict[str, Any]]:
    """Yields the JSON object of each log line in a file.

    Text before the object is skipped, and so are lines without a valid
    object.
    """
    for text in _read(name).splitlines():
        start = text.find('{')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # Not a log line; for example part of a traceback.
            continue
        if isinstance(line, dict):
            yield line


def _read(name: str) -> str:
    try:
        return pathlib.Path(name).read_text('utf-8', errors='replace')
    except OSError as error:
        raise InvalidError(f'{name} cannot be read: {error}') from error


def _mentions(line: dict[str, Any], wanted_id: str) -> bool:
    return any(
        wanted_id in str(value)
        for name, value in line.items()
        if name not in PREFIX_KEYS
    )


def _filter_lists(line: dict[str, Any], wanted_id: str) -> dict[str, Any]:
    """Drops the list entries that do not contain an id.

    One log line can list the starts of many jobs.
    """
    return {
        key: [entry for entry in value if wanted_id in str(entry)]
        if isinstance(value, list) and wanted_id in str(value)
        else value
        for key, value in line.items()
    }


def _format(line: dict[str, Any], name: str) -> str:
    ids = ' '.join(
        f'{key}={value}'
        for key, value in line.items()
        if key not in PREFIX_KEYS
    )
    return (
        f'{line.get("time", "")} {name} {line.get("level", "")} '
        f'{line.get("part", "")}: {line.get("message", "")} [{ids}]'
    )


async def check(session: Session) -> ExitStatus:
    """Checks a host settings file (YAML) or a deploy file (TOML)."""
    name = session.options.file
    text = _read(name)
    if name.endswith('.toml'):
        _check_deploy_file(text)
    else:
        _check_host_settings(text)
    print(f'{name}: valid', file=session.env.stdout)
    return ExitStatus.OK


def _check_host_settings(text: str) -> None:
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise InvalidError(f'not YAML: {error}') from error
    decode_host_settings(document)


def _check_deploy_file(text: str) -> None:
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidError(f'not TOML: {error}') from error
    problems = []
    if not isinstance(document.get('build'), str):
        problems.append(FieldProblem('build', 'must be a shell command'))
    roles = document.get('roles')
    if not isinstance(roles, dict) or not roles:
        problems.append(FieldProblem('roles', 'must name a role'))
        roles = {}
    for name, role in roles.items():
        problems += _check_role(f'roles.{name}', role)
    if problems:
        raise InvalidError('the deploy file is wrong', fields=tuple(problems))


def _check_role(name: str, role: Any) -> list[FieldProblem]:
    if not isinstance(role, dict):
        return [FieldProblem(name, 'must be a table')]
    problems = []
    if not isinstance(role.get('run'), str) or not role['run'].split():
        problems.append(FieldProblem(f'{name}.run', 'must be a program'))
    if not isinstance(role.get('on'), str):
        problems.append(FieldProblem(f'{name}.on', 'must be a class of hosts'))
    share = role.get('share')
    has_share = isinstance(share, int | float) and 0 < share <= 1
    if not has_share and not isinstance(role.get('count'), int):
        problems.append(
            FieldProblem(
                f'{name}.share',
                'must be above 0 and at most 1',
                'or give a count',
            )
        )
    return problems
