"""Commands that follow changes and events as they happen."""

from __future__ import annotations

import asyncio
import datetime
import json
import pathlib
import re
import time
from typing import Any

from lentilmount.cli.client import ROOT
from lentilmount.cli.lines import make_event_row, make_trace
from lentilmount.cli.output import (
    EVENT_HEADER,
    TIMELINE_HEADER,
    make_row,
    write_items,
    write_line,
)
from lentilmount.cli.session import Session
from lentilmount.errors import FieldProblem, InvalidError, LentilmountError
from lentilmount.status import ExitStatus

POLL_SECONDS = 1.0
RECONNECT_DELAY_SECONDS = 1.0
BOOKMARK = 'bookmark'

_AGE = re.compile(r'(\d+(?:\.\d+)?)([smhd])')
_UNIT_SECONDS = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}


async def watch(session: Session) -> ExitStatus:
    """Shows changes of resources as they happen.

    After a lost connection it resumes at the last cursor, so that no change
    is missed.
    """
    options = session.options
    cursor, event_count = options.cursor, 0
    _print_header(session, EVENT_HEADER)
    while True:
        query = {
            'kind': options.kind,
            'team': options.team,
            'name': options.name,
            'cursor': cursor,
        }
        try:
            async for event in session.client.stream(f'{ROOT}/watch', **query):
                cursor = event['cursor']
                if event['event'] == BOOKMARK:
                    continue
                _print_event(session, event)
                event_count += 1
                if event_count == options.count:
                    return ExitStatus.OK
        except LentilmountError as error:
            # Without a cursor the stream has never worked, so the error is
            # reported instead of retried.
            if not error.answer.retry or not cursor:
                raise
        await asyncio.sleep(RECONNECT_DELAY_SECONDS)


def _print_header(session: Session, header: tuple[str, ...]) -> None:
    if session.options.output == 'table':
        session.print('  '.join(header))


def _print_event(session: Session, event: dict[str, Any]) -> None:
    if session.options.output != 'table':
        write_line(event, session.env.stdout)
        return
    row = make_row(event['resource'])
    print(event['event'], *row, sep='  ', file=session.env.stdout, flush=True)


async def timeline(session: Session) -> ExitStatus:
    """Shows the events of all daemons, and exports or follows them."""
    options = session.options
    query = {
        'resource': options.resource,
        'request': options.request,
        'since_ms': read_time('--since', options.since),
        'until_ms': read_time('--until', options.until),
        'limit': options.limit,
    }
    page = await session.client.read(f'{ROOT}/timeline', **query)
    _warn_unreachable(session, page['unreachable'])
    if options.export:
        return _export(session, page['events'])
    rows = [make_event_row(event) for event in page['events']]
    # A JSON list cannot be closed while events are still being added.
    is_followed_json = options.follow and options.output == 'json'
    output = 'jsonl' if is_followed_json else options.output
    write_items(page['events'], TIMELINE_HEADER, rows, output, session.env)
    if options.follow:
        await _follow(session, query, page)
    return ExitStatus.OK


async def _follow(
    session: Session, query: dict[str, Any], page: dict[str, Any]
) -> None:
    unreachable = page['unreachable']
    cursor = page['cursor']
    while True:
        await asyncio.sleep(POLL_SECONDS)
        page = await session.client.read(
            f'{ROOT}/timeline', **query, cursor=cursor
        )
        cursor = page['cursor']
        if page['unreachable'] != unreachable:
            unreachable = page['unreachable']
            _warn_unreachable(session, unreachable)
        for event in page['events']:
            if session.options.output == 'table':
                session.print('  '.join(make_event_row(event)).rstrip())
            else:
                write_line(event, session.env.stdout)


def _warn_unreachable(session: Session, names: list[str]) -> None:
    if names:
        text = f'not reached, so without their events: {", ".join(names)}'
        print(text, file=session.env.stderr)


def _export(session: Session, events: list[dict[str, Any]]) -> ExitStatus:
    path = session.options.export
    text = json.dumps(make_trace(events))
    try:
        pathlib.Path(path).write_text(text, 'utf-8')
    except OSError as error:
        raise InvalidError(f'{path}: {error.strerror}') from error
    session.print(f'{path}: {len(events)} events')
    return ExitStatus.OK


def read_time(option: str, text: str) -> int:
    """Parses an age such as 10m or an ISO 8601 time.

    Args:
      option: Name of the option, for the error.
      text: Its value.

    Returns:
      Unix time in milliseconds; 0 if the text is empty.

    Raises:
      InvalidError: The text is neither an age nor a time.
    """
    if not text:
        return 0
    age = _AGE.fullmatch(text)
    if age:
        return int((time.time() - float(age[1]) * _UNIT_SECONDS[age[2]]) * 1000)
    try:
        when = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        problem = FieldProblem(
            option,
            f'is neither an age nor a time: {text!r}',
            'write 30s, 10m, 2h, 1d or 2026-12-02T21:00:00Z',
        )
        raise InvalidError(str(problem), fields=(problem,)) from error
    return int(when.timestamp() * 1000)
