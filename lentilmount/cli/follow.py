"""Commands that go on showing what happens."""

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
    LINE_HEADER,
    make_row,
    write_items,
    write_line,
)
from lentilmount.cli.session import Session
from lentilmount.errors import FieldProblem, InvalidError, LentilmountError
from lentilmount.status import ExitStatus

FOLLOW_SECONDS = 1.0
RECONNECT_SECONDS = 1.0
BOOKMARK = 'bookmark'

_AGE = re.compile(r'(\d+(?:\.\d+)?)([smhd])')
_UNITS = {'s': 1, 'm': 60, 'h': 3600, 'd': 86400}


async def watch(session: Session) -> ExitStatus:
    """Follows resources; goes on after a lost connection without a gap."""
    options = session.options
    cursor, shown = options.cursor, 0
    _show_header(session, EVENT_HEADER)
    while True:
        query = {
            'kind': options.kind,
            'team': options.team,
            'name': options.name,
            'cursor': cursor,
        }
        try:
            async for notice in session.client.stream(f'{ROOT}/watch', **query):
                cursor = notice['cursor']
                if notice['event'] == BOOKMARK:
                    continue
                _show_notice(session, notice)
                shown += 1
                if shown == options.count:
                    return ExitStatus.OK
        except LentilmountError as error:
            # Before the first answer nothing says that it ever worked.
            if not error.answer.retry or not cursor:
                raise
        await asyncio.sleep(RECONNECT_SECONDS)


def _show_header(session: Session, header: tuple[str, ...]) -> None:
    if session.options.output == 'table':
        session.say('  '.join(header))


def _show_notice(session: Session, notice: dict[str, Any]) -> None:
    if session.options.output != 'table':
        write_line(notice, session.env.stdout)
        return
    row = make_row(notice['resource'])
    print(notice['event'], *row, sep='  ', file=session.env.stdout, flush=True)


async def timeline(session: Session) -> ExitStatus:
    """Shows the events of all daemons; exports or follows them if asked."""
    options = session.options
    query = {
        'resource': options.resource,
        'request': options.request,
        'since_ms': read_time('--since', options.since),
        'until_ms': read_time('--until', options.until),
        'limit': options.limit,
    }
    line = await session.client.read(f'{ROOT}/timeline', **query)
    _tell_unreachable(session, line['unreachable'])
    if options.export:
        return _export(session, line['events'])
    rows = [make_event_row(event) for event in line['events']]
    # A list in JSON has an end, which what is followed has not.
    goes_on = options.follow and options.output == 'json'
    output = 'jsonl' if goes_on else options.output
    write_items(line['events'], LINE_HEADER, rows, output, session.env)
    if options.follow:
        await _follow(session, query, line)
    return ExitStatus.OK


async def _follow(
    session: Session, query: dict[str, Any], line: dict[str, Any]
) -> None:
    unreachable = line['unreachable']
    cursor = line['cursor']
    while True:
        await asyncio.sleep(FOLLOW_SECONDS)
        line = await session.client.read(
            f'{ROOT}/timeline', **query, cursor=cursor
        )
        cursor = line['cursor']
        if line['unreachable'] != unreachable:
            unreachable = line['unreachable']
            _tell_unreachable(session, unreachable)
        for event in line['events']:
            if session.options.output == 'table':
                session.say('  '.join(make_event_row(event)).rstrip())
            else:
                write_line(event, session.env.stdout)


def _tell_unreachable(session: Session, names: list[str]) -> None:
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
    session.say(f'{path}: {len(events)} events')
    return ExitStatus.OK


def read_time(option: str, given: str) -> int:
    """Reads an age such as 10m, or a time in ISO form, as Unix milliseconds.

    Raises:
      InvalidError: It is neither.
    """
    if not given:
        return 0
    age = _AGE.fullmatch(given)
    if age:
        return int((time.time() - float(age[1]) * _UNITS[age[2]]) * 1000)
    try:
        when = datetime.datetime.fromisoformat(given)
    except ValueError as error:
        problem = FieldProblem(
            option,
            f'is neither an age nor a time: {given!r}',
            'write 30s, 10m, 2h, 1d or 2026-12-02T21:00:00Z',
        )
        raise InvalidError(str(problem), fields=(problem,)) from error
    return int(when.timestamp() * 1000)
