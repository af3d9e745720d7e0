"""Log formats, as text or JSON, and ids that are added to log lines.

Bound ids, such as a request id, are added to every line that the same asyncio
task logs.
"""

from __future__ import annotations

import contextlib
import contextvars
import json
import logging
import sys
from collections.abc import Iterator, Mapping
from typing import Any, TextIO

import logbook
from logbook.compat import RedirectLoggingHandler

LEVELS = {
    'debug': logbook.DEBUG,
    'info': logbook.INFO,
    'warning': logbook.WARNING,
    'error': logbook.ERROR,
}

_bound: contextvars.ContextVar[Mapping[str, str]] = contextvars.ContextVar(
    'bound'
)


def bind(**ids: str) -> contextvars.Token[Mapping[str, str]]:
    """Adds ids to all further log lines of the current asyncio task."""
    return _bound.set({**_bound.get({}), **ids})


@contextlib.contextmanager
def bound(**ids: str) -> Iterator[None]:
    """Adds ids to the log lines that are logged within the block."""
    token = bind(**ids)
    try:
        yield
    finally:
        _bound.reset(token)


def _list_ids(record: logbook.LogRecord) -> dict[str, str]:
    return {**_bound.get({}), **record.extra}


def _format_text(record: logbook.LogRecord, _: logbook.Handler) -> str:
    ids = ' '.join(f'{name}={id}' for name, id in _list_ids(record).items())
    line = (
        f'{record.time:%H:%M:%S.%f} {record.level_name:7} '
        f'{record.channel}: {record.message}'
    )
    line = f'{line} [{ids}]' if ids else line
    trace = record.formatted_exception
    return f'{line}\n{trace}' if trace else line


def make_line(record: logbook.LogRecord) -> dict[str, Any]:
    """Returns the fields of a JSON log line."""
    line = {
        'time': record.time.isoformat(),
        'level': record.level_name.lower(),
        'part': record.channel,
        'message': record.message,
        **_list_ids(record),
    }
    if record.formatted_exception:
        line['trace'] = record.formatted_exception
    return line


def _format_json(record: logbook.LogRecord, _: logbook.Handler) -> str:
    return json.dumps(make_line(record), default=str)


_FORMATTERS = {'text': _format_text, 'json': _format_json}


def make_handler(
    log_format: str, level: str, stream: TextIO | None = None
) -> logbook.Handler:
    """Builds a log handler that writes to a stream, by default stderr."""
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=LEVELS[level], bubble=False
    )
    handler.formatter = _FORMATTERS[log_format]
    return handler


@contextlib.contextmanager
def capture_libraries() -> Iterator[None]:
    """Redirects messages that libraries log with `logging` to logbook."""
    root = logging.getLogger()
    before, level = root.handlers[:], root.level
    root.handlers[:] = [RedirectLoggingHandler()]
    root.setLevel(logging.WARNING)
    try:
        yield
    finally:
        root.handlers[:] = before
        root.setLevel(level)
