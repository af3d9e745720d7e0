"""Commands on local files: logs, host settings and deploy files."""

from __future__ import annotations

import json
import pathlib
import re
import tomllib
from collections.abc import Callable, Iterator
from typing import Any

import yaml

from lentilmount.cli.placements import PlacementTracer, is_task_id
from lentilmount.cli.session import Session
from lentilmount.errors import FieldProblem, InvalidError, NotFoundError
from lentilmount.platform.host_settings import decode_host_settings
from lentilmount.policyfile import parse_policies
from lentilmount.status import ExitStatus

PREFIX_KEYS = ('time', 'level', 'part', 'message')

_LEFT_OUT = re.compile(r'Left out (\d+) ')


async def trace(session: Session) -> ExitStatus:
    """Shows the log lines that contain an id, from all files by time.

    After those of a task's id it shows the task's placements, and after those
    of a job's id the placements of its tasks that were placed again.
    """
    options = session.options
    matches = make_matcher(options.id)
    found: list[tuple[str, str, dict[str, Any]]] = []
    for name in options.files:
        missing = 0
        for line in read_lines(name):
            missing += count_missing(line)
            if _mentions(line, matches):
                found.append((str(line.get('time', '')), name, line))
        if missing:
            print(f'{name}: {missing} lines left out', file=session.env.stderr)
    if not found:
        raise NotFoundError(f'no line speaks of {options.id}')
    found.sort(key=lambda entry: entry[:2])
    tracer = PlacementTracer(options.id)
    for _, name, line in found:
        filtered = _filter_lists(line, matches)
        daemon = pathlib.Path(name).stem
        print(_format(filtered, daemon), file=session.env.stdout)
        tracer.add_line(line, daemon)
    tasks = [options.id] if is_task_id(options.id) else tracer.list_replaced()
    for task in tasks:
        _show_placements(session, task, tracer)
    return ExitStatus.OK


def _show_placements(
    session: Session, task: str, tracer: PlacementTracer
) -> None:
    print(f'Placements of {task}:', file=session.env.stdout)
    for placement in tracer.list_placements(task):
        print(f'  {placement.format()}', file=session.env.stdout)


def make_matcher(wanted_id: str) -> Callable[[str], bool]:
    """Returns a function that tells whether a text contains an id.

    The id of a task is also the beginning of others, as of index 1 and 10.
    """
    if not is_task_id(wanted_id):
        return lambda text: wanted_id in text
    pattern = re.compile(rf'(?<![\w.-]){re.escape(wanted_id)}(?![\w.-])')
    return lambda text: pattern.search(text) is not None


def count_missing(line: dict[str, Any]) -> int:
    """Returns how many lines a line reports as left out before it."""
    count = int(line.get('dropped_before', 0))
    match = _LEFT_OUT.match(str(line.get('message', '')))
    return count + int(match[1]) if match else count


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


def _mentions(line: dict[str, Any], matches: Callable[[str], bool]) -> bool:
    return any(
        matches(str(value))
        for name, value in line.items()
        if name not in PREFIX_KEYS
    )


def _filter_lists(
    line: dict[str, Any], matches: Callable[[str], bool]
) -> dict[str, Any]:
    """Drops the list entries that do not contain an id.

    One log line can list the starts of many jobs.
    """
    return {
        key: [entry for entry in value if matches(str(entry))]
        if isinstance(value, list) and matches(str(value))
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
    """Checks host settings (YAML), a deploy file (TOML) or policies (JSON)."""
    name = session.options.file
    text = _read(name)
    if name.endswith('.toml'):
        _check_deploy_file(text)
    elif name.endswith('.json'):
        parse_policies(text, name)
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
