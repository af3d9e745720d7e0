"""Log lines: a prefix for each part and a short sentence, or JSON."""

from __future__ import annotations

import json
import sys
from typing import TextIO

import logbook

TEXT_FORMAT = (
    '{record.time:%H:%M:%S.%f} {record.level_name:7} '
    '{record.channel}: {record.message}'
)

LEVELS = {
    'debug': logbook.DEBUG,
    'info': logbook.INFO,
    'warning': logbook.WARNING,
    'error': logbook.ERROR,
}


def _format_json(record: logbook.LogRecord, _: logbook.Handler) -> str:
    line = {
        'time': record.time.isoformat(),
        'level': record.level_name.lower(),
        'part': record.channel,
        'message': record.message,
        **record.extra,
    }
    return json.dumps(line, default=str)


def make_handler(
    log_format: str, level: str, stream: TextIO | None = None
) -> logbook.Handler:
    """Builds the handler that the daemon logs to."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=LEVELS[level], bubble=False
    )
    handler.format_string = TEXT_FORMAT
    if log_format == 'json':
        handler.formatter = _format_json
    return handler
