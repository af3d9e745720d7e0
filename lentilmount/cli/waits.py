"""Waits until the effect of a command is complete, and shows progress."""

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

POLL_SECONDS = 0.3

_FINAL = frozenset(phase.value for phase in FINAL_PHASES)

PollFunction = Callable[[], Awaitable[tuple[bool, str]]]
"""Returns whether the wait is over, and a line that shows its progress."""


async def _wait(session: Session, poll: PollFunction) -> None:
    """Polls until the wait is over, and shows its progress.

    Raises:
      LentilmountError: Of kind DEADLINE, after the timeout of the options.
    """
    progress = Progress(session.env)
    try:
        async with asyncio.timeout(session.options.timeout):
            while True:
                done, text = await poll()
                progress.show(text)
                if done:
                    return
                await asyncio.sleep(POLL_SECONDS)
    except TimeoutError as error:
        raise LentilmountError(
            f'not done after {session.options.timeout:g} s; it goes on '
            f'without this tool: look again with get or watch',
            kind=ErrorKind.DEADLINE,
        ) from error


async def wait_for_applied(
    session: Session, responses: Sequence[dict[str, Any]]
) -> ExitStatus:
    """Waits until applied resources have taken effect.

    The daemons must have the new revision, services must run all replicas,
    and jobs must have ended; the exit status is OK if all jobs completed.
    """
    revisions = [response.get('revision', 0) for response in responses]
    if any(revisions):
        await _wait(session, lambda: _poll_daemons(session, max(revisions)))
    resources = [response['resource'] for response in responses]
    for resource in resources:
        if resource['kind'] == 'Service':
            name = name_resource(resource)
            await _wait(session, lambda name=name: _poll_service(session, name))  # type: ignore[misc]
    jobs = [name_resource(r) for r in resources if r['kind'] == 'Job']
    return await wait_for_jobs(session, jobs, expected=Phase.COMPLETED)


async def _poll_daemons(session: Session, revision: int) -> tuple[bool, str]:
    daemons = (await session.client.call('GET', f'{ROOT}/daemons'))['daemons']
    behind = [d['daemon'] for d in daemons if d['revision'] < revision]
    text = f'revision {revision}: in force at {len(daemons) - len(behind)} of '
    return not behind, f'{text}{len(daemons)} daemons that answer'


async def _poll_service(session: Session, name: str) -> tuple[bool, str]:
    service = await session.client.call('GET', make_path('service', name))
    reason = service['status']['reason']
    expected = service['spec']['replicas']
    return reason.startswith(f'{expected} of'), f'Service {name}: {reason}'


async def wait_for_jobs(
    session: Session, names: Sequence[str], expected: Phase | None = None
) -> ExitStatus:
    """Waits until jobs have ended, and prints their phases.

    Returns:
      OK if all jobs ended in the expected phase or none is expected.
    """
    phases: dict[str, str] = {}

    async def poll() -> tuple[bool, str]:
        for name in names:
            if phases.get(name) not in _FINAL:
                job = await session.client.call('GET', make_path('job', name))
                phases[name] = job['status']['phase']
        pending = [name for name, p in phases.items() if p not in _FINAL]
        return (
            not pending,
            f'jobs: {len(names) - len(pending)} of {len(names)} over',
        )

    if names:
        await _wait(session, poll)
    for name, phase in phases.items():
        session.print(f'Job {name}: {phase}')
    as_wanted = expected is None or set(phases.values()) <= {expected.value}
    return ExitStatus.OK if as_wanted else ExitStatus.ERROR


async def wait_for_empty(session: Session, names: Sequence[str]) -> ExitStatus:
    """Waits until workers have no tasks left."""

    async def poll() -> tuple[bool, str]:
        pending = []
        for name in names:
            worker = await session.client.call('GET', make_path('worker', name))
            if not worker['status']['reason'].startswith('0 '):
                pending.append(f'{name} holds {worker["status"]["reason"]}')
        return not pending, '; '.join(pending) or 'empty: ' + ', '.join(names)

    await _wait(session, poll)
    return ExitStatus.OK
