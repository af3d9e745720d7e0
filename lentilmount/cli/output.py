"""How results are shown."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any, TextIO

from lentilmount.context import Environment

HEADER = ('KIND', 'NAME', 'REVISION', 'PHASE', 'ATTEMPT', 'WORKER', 'REASON')
EVENT_HEADER = ('EVENT', *HEADER)
LINE_HEADER = (
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
    """Writes a value as readable JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False), file=stream)


def write_items(
    items: Sequence[dict[str, Any]],
    header: Sequence[str],
    rows: Iterable[Sequence[str]],
    output: str,
    env: Environment,
) -> None:
    """Writes items in the form asked for.

    Args:
      items: What is written as JSON.
      header: The table's columns.
      rows: The table's rows.
      output: table, json or jsonl.
      env: Where it goes.
    """
    if output == 'json':
        write_json(items, env.stdout)
    elif output == 'jsonl':
        for item in items:
            write_line(item, env.stdout)
    else:
        write_table(header, rows, env.stdout, colour=env.has_colour)


def write_line(item: Any, stream: TextIO) -> None:
    """Writes one line of JSON at once."""
    print(json.dumps(item, ensure_ascii=False), file=stream, flush=True)


def write_resources(
    items: Sequence[dict[str, Any]], output: str, env: Environment
) -> None:
    """Writes resources in the form asked for."""
    rows = (make_row(item) for item in items)
    write_items(items, HEADER, rows, output, env)


def name_resource(item: dict[str, Any]) -> str:
    """Returns a resource's name as people give it: team/name, or name."""
    metadata = item['metadata']
    return f'{metadata.get("team", "")}/{metadata["name"]}'.lstrip('/')


def make_row(item: dict[str, Any]) -> tuple[str, ...]:
    """Builds a resource's row of a table."""
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
    """Writes aligned columns, with words of state in colour if wanted."""
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            _paint(cell, cell.ljust(width), colour)
            for cell, width in zip(line, widths, strict=True)
        )
        print('  '.join(cells).rstrip(), file=stream)


def _paint(cell: str, padded: str, colour: bool) -> str:
    code = _COLOURS.get(cell) if colour else None
    return f'\x1b[{code}m{padded}\x1b[0m' if code else padded


def write_description(
    item: dict[str, Any], events: Iterable[Sequence[str]], stream: TextIO
) -> None:
    """Writes everything of one resource for people to read."""
    print(f'{item["kind"]} {name_resource(item)}', file=stream)
    for part in ('metadata', 'spec', 'status'):
        print(f'{part}:', file=stream)
        for name, value in item[part].items():
            _write_field(name, value, stream)
    rows = list(events)
    if rows:
        print('events:', file=stream)
        write_table(LINE_HEADER, rows, stream)


def _write_field(name: str, value: Any, stream: TextIO) -> None:
    if isinstance(value, dict):
        value = ', '.join(f'{key} {item}' for key, item in value.items())
    if name == 'conditions':
        value = '; '.join(f'{c["name"]} {c["reason"]}'.strip() for c in value)
    print(f'  {name}: {value}', file=stream)


class Progress:
    """Tells on the error stream how a wait goes on, when that changes."""

    def __init__(self, env: Environment):
        self._stream = env.stderr
        self._last = ''

    def show(self, text: str) -> None:
        """Shows a line, unless it is the one shown last."""
        if text != self._last:
            print(text, file=self._stream, flush=True)
        self._last = text
