"""Waiting until what was asked for is so."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from lentilmount.cli.client import ROOT, make_path
from lentilmount.cli.output import Progress, name_resource
from lentilmount.cli.session import Session
from lentilmount.errors import ErrorKind, LentilmountError
from lentilmount.resources import FINAL_PHASES, Phase
from lentilmount.status import ExitStatus

LOOK_SECONDS = 0.3

_FINAL = frozenset(phase.value for phase in FINAL_PHASES)

WorkerReport = Callable[[], Awaitable[tuple[bool, str]]]
"""Tells whether the wait is over, and how far it is."""


async def _wait(session: Session, look: WorkerReport) -> None:
    """Waits until a look says that it is over.

    Raises:
      LentilmountError: Of kind DEADLINE.
    """
    progress = Progress(session.env)
    try:
        async with asyncio.timeout(session.options.timeout):
            while True:
                done, text = await look()
                progress.show(text)
                if done:
                    return
                await asyncio.sleep(LOOK_SECONDS)
    except TimeoutError as error:
        raise LentilmountError(
            f'not done after {session.options.timeout:g} s; it goes on '
            f'without this tool: look again with get or watch',
            kind=ErrorKind.DEADLINE,
        ) from error


async def wait_for_applied(
    session: Session, answers: Sequence[dict[str, Any]]
) -> ExitStatus:
    """Waits until accepted resources are in force and run or are over."""
    revisions = [answer.get('revision', 0) for answer in answers]
    if any(revisions):
        await _wait(session, lambda: _look_at_daemons(session, max(revisions)))
    resources = [answer['resource'] for answer in answers]
    for resource in resources:
        if resource['kind'] == 'Service':
            name = name_resource(resource)
            await _wait(session, lambda name=name: _look_at(session, name))  # type: ignore[misc]
    jobs = [name_resource(r) for r in resources if r['kind'] == 'Job']
    return await wait_for_jobs(session, jobs, wanted=Phase.COMPLETED)


async def _look_at_daemons(session: Session, revision: int) -> tuple[bool, str]:
    daemons = (await session.client.call('GET', f'{ROOT}/daemons'))['daemons']
    behind = [d['daemon'] for d in daemons if d['revision'] < revision]
    text = f'revision {revision}: in force at {len(daemons) - len(behind)} of '
    return not behind, f'{text}{len(daemons)} daemons that answer'


async def _look_at(session: Session, name: str) -> tuple[bool, str]:
    service = await session.client.call('GET', make_path('service', name))
    reason = service['status']['reason']
    wanted = service['spec']['replicas']
    return reason.startswith(f'{wanted} of'), f'Service {name}: {reason}'


async def wait_for_jobs(
    session: Session, names: Sequence[str], wanted: Phase | None = None
) -> ExitStatus:
    """Waits until jobs are over; tells whether all ended as wanted."""
    phases: dict[str, str] = {}

    async def look() -> tuple[bool, str]:
        for name in names:
            if phases.get(name) not in _FINAL:
                job = await session.client.call('GET', make_path('job', name))
                phases[name] = job['status']['phase']
        left = [name for name, p in phases.items() if p not in _FINAL]
        return not left, f'jobs: {len(names) - len(left)} of {len(names)} over'

    if names:
        await _wait(session, look)
    for name, phase in phases.items():
        session.say(f'Job {name}: {phase}')
    as_wanted = wanted is None or set(phases.values()) <= {wanted.value}
    return ExitStatus.OK if as_wanted else ExitStatus.ERROR


async def wait_for_empty(session: Session, names: Sequence[str]) -> ExitStatus:
    """Waits until workers hold no task."""

    async def look() -> tuple[bool, str]:
        left = []
        for name in names:
            worker = await session.client.call('GET', make_path('worker', name))
            if not worker['status']['reason'].startswith('0 '):
                left.append(f'{name} holds {worker["status"]["reason"]}')
        return not left, '; '.join(left) or 'empty: ' + ', '.join(names)

    await _wait(session, look)
    return ExitStatus.OK
