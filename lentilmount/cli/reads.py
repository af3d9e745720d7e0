"""Commands that show the current state once."""

from __future__ import annotations

from typing import Any

from lentilmount.cli.client import ROOT, make_path
from lentilmount.cli.lines import make_event_row
from lentilmount.cli.output import (
    DAEMON_HEADER,
    name_resource,
    write_description,
    write_items,
    write_resources,
)
from lentilmount.cli.session import Session
from lentilmount.status import ExitStatus

DESCRIBE_EVENT_LIMIT = 20
YES_NO = {True: 'yes', False: 'no'}


async def get(session: Session) -> ExitStatus:
    """Shows one resource."""
    path = make_path(session.options.kind, session.options.name)
    item = await session.client.call('GET', path)
    write_resources([item], session.options.output, session.env)
    return ExitStatus.OK


async def describe(session: Session) -> ExitStatus:
    """Shows one resource with its latest events."""
    path = make_path(session.options.kind, session.options.name)
    item = await session.client.call('GET', path)
    metadata = item['metadata']
    page = await session.client.read(
        f'{ROOT}/timeline',
        resource=f'{item["kind"]}/{metadata["team"]}/{metadata["name"]}',
        limit=DESCRIBE_EVENT_LIMIT,
    )
    events = page['events'][-DESCRIBE_EVENT_LIMIT:]
    rows = [make_event_row(event) for event in events]
    write_description(item, rows, session.env.stdout)
    return ExitStatus.OK


async def show_list(session: Session) -> ExitStatus:
    """Lists resources, fetched page by page."""
    options = session.options
    items: list[dict[str, Any]] = []
    after = ''
    while True:
        page = await session.client.read(
            f'{ROOT}/{options.kind.lower()}',
            team=options.team,
            name=options.name,
            phase=options.phase,
            after=after,
        )
        items += page['items']
        after = page['next']
        if not after:
            break
    items.sort(key=name_resource)
    write_resources(items, options.output, session.env)
    return ExitStatus.OK


async def status(session: Session) -> ExitStatus:
    """Shows the state of every daemon.

    The exit status is UNAVAILABLE unless all daemons answer and are ready.
    """
    response = await session.client.call('GET', f'{ROOT}/daemons')
    unreachable = [
        {'daemon': name, 'ready': False, 'fault': 'does not answer'}
        for name in response['unreachable']
    ]
    daemons = [*response['daemons'], *unreachable]
    rows = [_make_daemon_row(daemon) for daemon in daemons]
    output = session.options.output
    write_items(daemons, DAEMON_HEADER, rows, output, session.env)
    if all(daemon['ready'] for daemon in daemons):
        return ExitStatus.OK
    return ExitStatus.UNAVAILABLE


def _make_daemon_row(daemon: dict[str, Any]) -> tuple[str, ...]:
    return (
        daemon['daemon'],
        daemon.get('zone', ''),
        str(daemon.get('revision', '')),
        YES_NO[daemon['ready']],
        str(daemon.get('in_flight', '')),
        ','.join(daemon.get('slices', ())),
        daemon['fault'],
    )
