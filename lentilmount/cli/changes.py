"""Commands that change something."""

from __future__ import annotations

from typing import Any

from lentilmount.cli import waits
from lentilmount.cli.client import ROOT, make_path
from lentilmount.cli.files import read_resources
from lentilmount.cli.output import name_resource
from lentilmount.cli.session import Session
from lentilmount.status import ExitStatus


async def validate(session: Session) -> ExitStatus:
    """Checks a file without asking a daemon."""
    for item in read_resources(session.options.file, session.env):
        session.say(f'{item["kind"]} {name_resource(item)}: valid')
    return ExitStatus.OK


async def apply(session: Session) -> ExitStatus:
    """Applies every resource of a file, in order."""
    items = read_resources(session.options.file, session.env)
    if session.options.dry_run:
        for item in items:
            await _preview(session, item)
        return ExitStatus.OK
    answers = [await _apply_one(session, item) for item in items]
    if session.options.wait:
        return await waits.wait_for_applied(session, answers)
    return ExitStatus.OK


async def _preview(session: Session, item: dict[str, Any]) -> None:
    await _take_revision(session, item)
    answer = await session.client.call(
        'POST', f'{ROOT}/{item["kind"].lower()}s?dry_run=1', item
    )
    verbs = {True: 'would be changed', False: 'is as wanted'}
    outcome = verbs[answer['changed']]
    if answer['current'] is None:
        outcome = 'would be created'
    session.say(f'{item["kind"]} {name_resource(item)}: {outcome}')
    for change in answer['changes']:
        for sign, side in (('-', 'current'), ('+', 'wanted')):
            if change[side] is not None:
                session.say(f'  {sign} {change["field"]}: {change[side]}')


async def _apply_one(session: Session, item: dict[str, Any]) -> Any:
    await _take_revision(session, item)
    answer = await session.client.command(
        'POST', f'{ROOT}/{item["kind"].lower()}s', item
    )
    outcome = 'accepted' if answer['changed'] else 'unchanged'
    session.say(f'{item["kind"]} {name_resource(item)}: {outcome}')
    return answer


async def _take_revision(session: Session, item: dict[str, Any]) -> None:
    """Takes the revision that is in force, where the file gives none.

    A file with a revision is refused if somebody changed the resource since.
    """
    if item['kind'] == 'Job' or item['metadata'].get('revision'):
        return
    found = await session.find(item['kind'], name_resource(item))
    if found is not None:
        revision = found['metadata']['revision']
        item['metadata']['revision'] = revision


async def cancel(session: Session) -> ExitStatus:
    """Cancels jobs."""
    names = session.options.names
    for name in names:
        answer = await session.client.command(
            'POST', f'{make_path("jobs", name)}/cancel'
        )
        outcome = 'cancelling' if answer['changed'] else 'is over already'
        session.say(f'Job {name}: {outcome}')
    if session.options.wait:
        await waits.wait_for_jobs(session, names)
    return ExitStatus.OK


async def cordon(session: Session) -> ExitStatus:
    """Gives workers no new work."""
    return await _set_workers(session, {'cordoned': True}, 'cordoned')


async def uncordon(session: Session) -> ExitStatus:
    """Gives workers new work again."""
    spec = {'cordoned': False, 'drain': False}
    return await _set_workers(session, spec, 'takes new work')


async def drain(session: Session) -> ExitStatus:
    """Moves work of workers elsewhere, or requests of upstreams."""
    if session.options.kind == 'upstream':
        for name in session.options.names:
            await _set_spec(session, 'Upstream', name, {'drain': True})
            session.say(f'Upstream {name}: gets no new request')
        return ExitStatus.OK
    spec = {'cordoned': True, 'drain': True}
    await _set_workers(session, spec, 'draining')
    if session.options.wait:
        return await waits.wait_for_empty(session, session.options.names)
    return ExitStatus.OK


async def _set_workers(
    session: Session, spec: dict[str, bool], outcome: str
) -> ExitStatus:
    for name in session.options.names:
        await _set_spec(session, 'Worker', name, spec)
        session.say(f'Worker {name}: {outcome}')
    return ExitStatus.OK


async def _set_spec(
    session: Session, kind: str, name: str, spec: dict[str, bool]
) -> None:
    found = await session.client.call('GET', make_path(kind, name))
    wanted = {
        'kind': kind,
        'metadata': found['metadata'],
        'spec': {**found['spec'], **spec},
    }
    await session.client.command('POST', f'{ROOT}/{kind.lower()}s', wanted)


async def delete(session: Session) -> ExitStatus:
    """Deletes one resource."""
    kind, name = session.options.kind, session.options.name
    path = make_path(kind, name)
    found = await session.client.call('GET', path)
    revision = session.options.revision or found['metadata']['revision']
    await session.client.command('DELETE', f'{path}?revision={revision}')
    session.say(f'{found["kind"]} {name}: deleted')
    return ExitStatus.OK
