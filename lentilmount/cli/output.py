"""How results are shown."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any, TextIO

HEADER = ('KIND', 'NAME', 'REVISION', 'PHASE', 'ATTEMPT', 'WORKER', 'REASON')


def write_json(value: Any, stream: TextIO) -> None:
    """Writes a value as readable JSON."""
    print(json.dumps(value, indent=2), file=stream)


def write_resources(
    items: Sequence[dict[str, Any]], output: str, stream: TextIO
) -> None:
    """Writes resources in the form asked for."""
    if output == 'json':
        write_json(items, stream)
    elif output == 'jsonl':
        for item in items:
            print(json.dumps(item), file=stream)
    else:
        write_table(HEADER, (_make_row(item) for item in items), stream)


def _make_row(item: dict[str, Any]) -> tuple[str, ...]:
    metadata, status = item['metadata'], item['status']
    name = f'{metadata["team"]}/{metadata["name"]}'.lstrip('/')
    return (
        item['kind'],
        name,
        str(metadata['revision']),
        status['phase'],
        str(status['attempt']),
        status['worker'],
        status['reason'],
    )


def write_table(
    header: Sequence[str], rows: Iterable[Sequence[str]], stream: TextIO
) -> None:
    """Writes aligned columns."""
    lines = [header, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print('  '.join(cells).rstrip(), file=stream)
