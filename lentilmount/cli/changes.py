"""Commands that create, change or delete resources."""

from __future__ import annotations

from typing import Any

from lentilmount.cli import waits
from lentilmount.cli.client import ROOT, make_path
from lentilmount.cli.files import read_resources
from lentilmount.cli.output import name_resource
from lentilmount.cli.session import Session
from lentilmount.status import ExitStatus


async def validate(session: Session) -> ExitStatus:
    """Checks the resources of a file without contacting a daemon."""
    for resource in read_resources(session.options.file, session.env):
        session.print(f'{resource["kind"]} {name_resource(resource)}: valid')
    return ExitStatus.OK


async def apply(session: Session) -> ExitStatus:
    """Creates or changes every resource of a file, in order."""
    resources = read_resources(session.options.file, session.env)
    if session.options.dry_run:
        for resource in resources:
            await _preview(session, resource)
        return ExitStatus.OK
    responses = [await _apply_one(session, resource) for resource in resources]
    if session.options.wait:
        return await waits.wait_for_applied(session, responses)
    return ExitStatus.OK


async def _preview(session: Session, resource: dict[str, Any]) -> None:
    await _set_current_revision(session, resource)
    response = await session.client.call(
        'POST', f'{ROOT}/{resource["kind"].lower()}s?dry_run=1', resource
    )
    outcomes = {True: 'would be changed', False: 'is as wanted'}
    outcome = outcomes[response['changed']]
    if response['current'] is None:
        outcome = 'would be created'
    session.print(f'{resource["kind"]} {name_resource(resource)}: {outcome}')
    for change in response['changes']:
        for sign, side in (('-', 'current'), ('+', 'wanted')):
            if change[side] is not None:
                session.print(f'  {sign} {change["field"]}: {change[side]}')


async def _apply_one(session: Session, resource: dict[str, Any]) -> Any:
    await _set_current_revision(session, resource)
    response = await session.client.command(
        'POST', f'{ROOT}/{resource["kind"].lower()}s', resource
    )
    outcome = 'accepted' if response['changed'] else 'unchanged'
    session.print(f'{resource["kind"]} {name_resource(resource)}: {outcome}')
    return response


async def _set_current_revision(
    session: Session, resource: dict[str, Any]
) -> None:
    """Fills in the current revision if the file gives none.

    If the file gives a revision, the daemon refuses the change when the
    resource has changed since that revision.
    """
    if resource['kind'] == 'Job' or resource['metadata'].get('revision'):
        return
    found = await session.find(resource['kind'], name_resource(resource))
    if found is not None:
        revision = found['metadata']['revision']
        resource['metadata']['revision'] = revision


async def cancel(session: Session) -> ExitStatus:
    """Cancels jobs."""
    names = session.options.names
    for name in names:
        response = await session.client.command(
            'POST', f'{make_path("jobs", name)}/cancel'
        )
        outcome = 'cancelling' if response['changed'] else 'is over already'
        session.print(f'Job {name}: {outcome}')
    if session.options.wait:
        await waits.wait_for_jobs(session, names)
    return ExitStatus.OK


async def cordon(session: Session) -> ExitStatus:
    """Stops the placement of new tasks on workers."""
    return await _update_worker_specs(session, {'cordoned': True}, 'cordoned')


async def uncordon(session: Session) -> ExitStatus:
    """Allows the placement of new tasks on workers again."""
    spec = {'cordoned': False, 'drain': False}
    return await _update_worker_specs(session, spec, 'takes new work')


async def drain(session: Session) -> ExitStatus:
    """Moves tasks off workers, or requests off upstreams."""
    if session.options.kind == 'upstream':
        for name in session.options.names:
            await _update_spec(session, 'Upstream', name, {'drain': True})
            session.print(f'Upstream {name}: gets no new request')
        return ExitStatus.OK
    spec = {'cordoned': True, 'drain': True}
    await _update_worker_specs(session, spec, 'draining')
    if session.options.wait:
        return await waits.wait_for_empty(session, session.options.names)
    return ExitStatus.OK


async def _update_worker_specs(
    session: Session, spec: dict[str, bool], outcome: str
) -> ExitStatus:
    for name in session.options.names:
        await _update_spec(session, 'Worker', name, spec)
        session.print(f'Worker {name}: {outcome}')
    return ExitStatus.OK


async def _update_spec(
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
    session.print(f'{found["kind"]} {name}: deleted')
    return ExitStatus.OK
