"""Writes results as tables, JSON or text."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any, TextIO

from lentilmount.context import Environment

HEADER = ('KIND', 'NAME', 'REVISION', 'PHASE', 'ATTEMPT', 'WORKER', 'REASON')
EVENT_HEADER = ('EVENT', *HEADER)
TIMELINE_HEADER = (
    *('TIME', 'DAEMON', 'PART', 'EVENT', 'RESOURCE'),
    *('ATTEMPT', 'WORKER', 'CAUSE'),
)
DAEMON_HEADER = (
    *('DAEMON', 'ZONE', 'REVISION', 'READY', 'IN_FLIGHT'),
    *('SLICES', 'FAULT'),
)

_RED, _GREEN, _YELLOW = '31', '32', '33'
_COLOURS = {
    'running': _GREEN,
    'completed': _GREEN,
    'evicting': _YELLOW,
    'cancelling': _YELLOW,
    'failed': _RED,
    'refused': _RED,
    'no': _RED,
}


def write_json(value: Any, stream: TextIO) -> None:
    """Writes a value as indented JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False), file=stream)


def write_items(
    items: Sequence[dict[str, Any]],
    header: Sequence[str],
    rows: Iterable[Sequence[str]],
    output: str,
    env: Environment,
) -> None:
    """Writes items in the requested format.

    Args:
      items: Values written as JSON.
      header: Column titles of the table.
      rows: Rows of the table.
      output: Format: table, json or jsonl.
      env: Environment whose output stream is written to.
    """
    if output == 'json':
        write_json(items, env.stdout)
    elif output == 'jsonl':
        for item in items:
            write_line(item, env.stdout)
    else:
        write_table(header, rows, env.stdout, colour=env.has_colour)


def write_line(item: Any, stream: TextIO) -> None:
    """Writes an item as one line of JSON and flushes the stream."""
    print(json.dumps(item, ensure_ascii=False), file=stream, flush=True)


def write_resources(
    items: Sequence[dict[str, Any]], output: str, env: Environment
) -> None:
    """Writes resources in the requested format."""
    rows = (make_row(item) for item in items)
    write_items(items, HEADER, rows, output, env)


def name_resource(item: dict[str, Any]) -> str:
    """Returns the name of a resource as used on the command line.

    This is team/name, or the name alone for kinds without a team.
    """
    metadata = item['metadata']
    return f'{metadata.get("team", "")}/{metadata["name"]}'.lstrip('/')


def make_row(item: dict[str, Any]) -> tuple[str, ...]:
    """Returns the table row of a resource."""
    status = item.get('status', {})
    return (
        item['kind'],
        name_resource(item),
        str(item['metadata'].get('revision', 0)),
        status.get('phase', ''),
        str(status.get('attempt', '')),
        status.get('worker', ''),
        status.get('reason', ''),
    )


def write_table(
    header: Sequence[str],
    rows: Iterable[Sequence[str]],
    stream: TextIO,
    *,
    colour: bool = False,
) -> None:
    """Writes aligned columns, optionally with states in colour."""
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            _colour_cell(cell, cell.ljust(width), colour)
            for cell, width in zip(line, widths, strict=True)
        )
        print('  '.join(cells).rstrip(), file=stream)


def _colour_cell(cell: str, padded: str, colour: bool) -> str:
    code = _COLOURS.get(cell) if colour else None
    return f'\x1b[{code}m{padded}\x1b[0m' if code else padded


def write_description(
    item: dict[str, Any], events: Iterable[Sequence[str]], stream: TextIO
) -> None:
    """Writes all fields of a resource, and its events, as text."""
    print(f'{item["kind"]} {name_resource(item)}', file=stream)
    for part in ('metadata', 'spec', 'status'):
        print(f'{part}:', file=stream)
        for name, value in item[part].items():
            _write_field(name, value, stream)
    rows = list(events)
    if rows:
        print('events:', file=stream)
        write_table(TIMELINE_HEADER, rows, stream)


def _write_field(name: str, value: Any, stream: TextIO) -> None:
    if isinstance(value, dict):
        value = ', '.join(f'{key} {item}' for key, item in value.items())
    if name == 'conditions':
        value = '; '.join(f'{c["name"]} {c["reason"]}'.strip() for c in value)
    print(f'  {name}: {value}', file=stream)


class Progress:
    """Prints the progress of a wait to the error stream."""

    def __init__(self, env: Environment):
        self._stream = env.stderr
        self._last = ''

    def show(self, text: str) -> None:
        """Prints a line, unless it repeats the previous one."""
        if text != self._last:
            print(text, file=self._stream, flush=True)
        self._last = text
