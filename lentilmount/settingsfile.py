"""Reads settings files (JSON with comments); reports every invalid field."""

from __future__ import annotations

import ipaddress
import pathlib
from typing import Any

import attrs
import json5

from lentilmount.codec import structure
from lentilmount.errors import FieldProblem, InvalidError, SettingsError
from lentilmount.lines import find_line, find_lines, find_open_comment
from lentilmount.settings import (
    LISTENERS,
    LimitSettings,
    Settings,
    TimeSettings,
)

ORDERED_TIMES = (
    ('heartbeat', 'silence'),
    ('silence', 'forget'),
    ('sync', 'task_lease'),
    ('task_lease', 'task_promise'),
    ('drain', 'stop_limit'),
)
"""Pairs of fields of `TimeSettings`: the first must be below the second."""


def read_settings(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: The file is invalid; lists every invalid field.
    """
    return parse_settings(read_text(path), path)


def read_text(path: str) -> str:
    """Returns the text of a file.

    Raises:
      SettingsError: The file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error


def parse_settings(text: str, path: str = 'settings') -> Settings:
    """Parses and checks the text of a settings file; see `read_settings`."""
    value = parse_document(text, path)
    problems: list[FieldProblem] = []
    try:
        settings = structure(value, Settings)
    except InvalidError as error:
        problems += error.fields
    if isinstance(value, dict):
        problems += _check_zone(value)
        problems += _check_listeners(value)
        problems += _check_times(value)
        problems += _check_bodies(value)
    if problems:
        raise make_settings_error(text, path, problems)
    return settings


def parse_document(text: str, path: str) -> Any:
    """Parses JSON with comments.

    Raises:
      SettingsError: The text cannot be parsed, or gives a name twice.
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        problem = str(error)
        line = find_open_comment(text)
        if line is not None:
            problem = (
                f'line {line}: a comment begins with /* and never ends; '
                f'close it with */'
            )
        raise SettingsError(f'{path}: {problem}') from error


def make_settings_error(
    text: str, path: str, problems: list[FieldProblem]
) -> SettingsError:
    """Returns the error that lists the invalid fields of a file by line."""
    lines = find_lines(text)
    fields = [
        attrs.evolve(problem, line=find_line(lines, problem.field))
        for problem in problems
    ]
    fields.sort(key=lambda field: field.line or 0)
    shown = '\n'.join(f'  {field}' for field in fields)
    return SettingsError(f'{path}:\n{shown}', fields=tuple(fields))


# Rules over several fields are checked on the plain values, so that they are
# reported together with invalid single fields.


def _check_zone(value: dict[str, Any]) -> list[FieldProblem]:
    zone, zones = value.get('zone'), value.get('zones')
    if not isinstance(zones, list) or zone is None or zone in zones:
        return []
    return [
        FieldProblem('zone', f'{zone!r} is not one of zones', 'add it there')
    ]


def _check_listeners(value: dict[str, Any]) -> list[FieldProblem]:
    listen, tls = _get_object(value, 'listen'), _get_object(value, 'tls')
    problems = []
    for name in LISTENERS:
        host = str(listen.get(name, '127.0.0.1:0')).rpartition(':')[0]
        plain = not tls.get(name) and value.get('allow_plaintext') is not True
        if plain and not _is_loopback(host):
            problems.append(
                FieldProblem(
                    f'listen.{name}',
                    f'{host} can be reached from other hosts without TLS',
                    f'set tls.{name}, a loopback address, or '
                    f'allow_plaintext to true',
                )
            )
    peers = tls.get('peers')
    if isinstance(peers, dict) and not peers.get('authority'):
        problems.append(
            FieldProblem(
                'tls.peers',
                'authority is missing',
                'daemons check each other: name the authority of both',
            )
        )
    return problems


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host.strip('[]')).is_loopback
    except ValueError:
        # The check of the single field reports an invalid IP number.
        return True


def _check_times(value: dict[str, Any]) -> list[FieldProblem]:
    given = _get_object(value, 'times')
    defaults = attrs.asdict(TimeSettings())
    problems = []
    for shorter, longer in ORDERED_TIMES:
        low = given.get(shorter, defaults[shorter])
        high = given.get(longer, defaults[longer])
        numbers = isinstance(low, int | float) and isinstance(high, int | float)
        if numbers and low >= high:
            field = shorter if shorter in given else longer
            problems.append(
                FieldProblem(
                    f'times.{field}',
                    f'{shorter} is {low} and {longer} is {high}',
                    f'{shorter} must be shorter than {longer}',
                )
            )
    return problems


def _check_bodies(value: dict[str, Any]) -> list[FieldProblem]:
    given = {**attrs.asdict(LimitSettings()), **_get_object(value, 'limits')}
    max_body, max_buffered = given['body_kb'], given['buffered_kb']
    numbers = isinstance(max_body, int) and isinstance(max_buffered, int)
    if not numbers or max_body <= max_buffered:
        return []
    return [
        FieldProblem(
            'limits.body_kb',
            f'is {max_body}, more than limits.buffered_kb, {max_buffered}',
            'no body of that size could ever be taken',
        )
    ]


def _get_object(value: dict[str, Any], name: str) -> dict[str, Any]:
    found = value.get(name)
    return found if isinstance(found, dict) else {}
