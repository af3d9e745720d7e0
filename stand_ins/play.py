"""Plays a deployment of processes: load, jobs, and a check at the end."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import signal
import time
import uuid
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from lentilmount.core import main as run_tool
from lentilmount.upstream.http import HttpClient
from stand_ins.attempts import Run
from stand_ins.checker import (
    Violation,
    check_history,
    find_double_requests,
    find_wrong_completions,
)
from stand_ins.processes import ADMIN_TOKEN, Deployment, Process
from stand_ins.scenes import Scene

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
REQUESTS_PER_SECOND = 60.0
READY_SECONDS = 30.0
BALANCER_LAG_SECONDS = 1.0
JOBS_SECONDS = 60.0
HISTOGRAM_RANGE = (1, 60_000_000, 3)
AUTHORIZATION = {'Authorization': f'Bearer {ADMIN_TOKEN}'}


@attrs.define
class Tally:
    """What the callers of one deployment saw.

    Attributes:
      histogram: Times of answers and refusals, in microseconds.
      answered: Requests that were answered.
      refusals: Why the others were not, one entry for each.
      wrong: Answers that were not the caller's own, or not whole.
      non_idempotent: Ids of the requests that may run once at most.
      refused_not_run: Ids of the requests that were refused as not run.
    """

    histogram: HdrHistogram = attrs.Factory(
        lambda: HdrHistogram(*HISTOGRAM_RANGE)
    )
    answered: int = 0
    refusals: list[str] = attrs.Factory(list)
    wrong: int = 0
    non_idempotent: list[str] = attrs.Factory(list)
    refused_not_run: list[str] = attrs.Factory(list)


@attrs.frozen
class Entry:
    """A daemon that callers and operators use.

    Attributes:
      process: Its process.
      callers: A client of its listener for callers.
      operators: A client of its resource API.
    """

    process: Process
    callers: HttpClient
    operators: HttpClient


@attrs.frozen
class Evidence:
    """What the records say.

    Attributes:
      history: Every write of the table.
      ids: The tasks of the jobs.
      violations: Promises that were broken.
    """

    history: list[dict[str, Any]]
    ids: list[str]
    violations: list[Violation]


class Play:
    """Plays one scene."""

    def __init__(self, scene: Scene, deployment: Deployment):
        self.scene = scene
        self.deployment = deployment
        self.tally = Tally()
        self.jobs: list[str] = []
        self._random = random.Random(scene.name)
        self.entries: list[Entry] = []

    def start(self) -> None:
        """Starts the daemons."""
        first, second = self.scene.zones[:2]
        for number, zone in enumerate((first, second, first)):
            self.deployment.start_daemon(f'entry-{number}', zone)

    def list_addresses(self) -> list[str]:
        """Returns a line for each daemon, to try by hand."""
        return [
            f'{self.scene.name} {process.name}: {process.addresses}'
            for process in self.deployment.daemons.values()
        ]

    async def begin(self) -> None:
        """Applies the example and waits until its replicas run."""
        for process in self.deployment.daemons.values():
            self.add_entry(process)
        await asyncio.to_thread(self._apply_example)
        await self._wait_for_replicas()

    def add_entry(self, process: Process) -> None:
        """Lets callers and operators use a daemon."""
        callers = f'http://{process.addresses["callers"]}'
        operators = f'http://{process.addresses["operators"]}'
        self.entries.append(
            Entry(
                process,
                HttpClient(callers, 10.0, 256),
                HttpClient(operators, 10.0),
            )
        )

    async def stop_entry(self, entry: Entry) -> None:
        """Stops a daemon as planned; the balancer notices after a while."""
        entry.process.send(signal.SIGTERM)
        await asyncio.sleep(BALANCER_LAG_SECONDS)
        self.entries.remove(entry)

    def _apply_example(self) -> None:
        address = self.entries[0].process.addresses['operators']
        status = run_tool(
            [
                *('--server', f'http://{address}', '--token', ADMIN_TOKEN),
                *('apply', '-f', str(EXAMPLES / f'{self.scene.name}.json')),
            ]
        )
        if status:
            raise RuntimeError(f'apply ended with {status!r}')

    async def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        entry: Entry | None = None,
    ) -> Any:
        """Calls the resource API of a daemon; the first if none is named."""
        body = None if value is None else json.dumps(value).encode()
        answer = await (entry or self.entries[0]).operators.call(
            method, path, body, AUTHORIZATION
        )
        if answer.status >= 400:
            raise RuntimeError(f'{method} {path}: {answer.body.decode()}')
        return json.loads(answer.body)

    async def _wait_for_replicas(self) -> None:
        until = time.monotonic() + READY_SECONDS
        path = f'/v1/services/{self.scene.service}'
        while time.monotonic() < until:
            status = (await self.call('GET', path))['status']
            if status['reason'].startswith(f'{self.scene.workers} of'):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f'{path}: {status["reason"]}')

    async def submit(self, number: int, seconds: float) -> None:
        """Submits a job of so many seconds of work."""
        name = f'run-{number}'
        await self.call(
            'POST',
            '/v1/jobs',
            {
                'kind': 'Job',
                'metadata': {'team': self.scene.job_team, 'name': name},
                'spec': {
                    'demand': {'cores': 4, 'memory_mb': 8192},
                    'job_class': self.scene.job_class,
                    'expected_seconds': 10,
                    'urgency': 'urgent' if number == 0 else 'batch',
                    'payload': json.dumps({'seconds': seconds}),
                },
            },
        )
        self.jobs.append(name)

    async def wait_for_jobs(self) -> None:
        """Waits until every job has completed."""
        until = time.monotonic() + JOBS_SECONDS
        while time.monotonic() < until:
            page = await self.call(
                'GET', f'/v1/jobs?team={self.scene.job_team}'
            )
            phases = [
                item['status']['phase']
                for item in page['items']
                if item['metadata']['name'] in self.jobs
            ]
            if all(phase == 'completed' for phase in phases):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f'jobs did not complete: {phases}')

    async def send_load(self, seconds: float) -> None:
        """Sends requests at a steady rate, whatever becomes of them."""
        began = time.monotonic()
        calls = []
        due = began
        while due < began + seconds:
            due += self._random.expovariate(REQUESTS_PER_SECOND)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            calls.append(asyncio.create_task(self._call_service(due)))
        await asyncio.gather(*calls)

    def _choose_entry(self) -> HttpClient:
        return self._random.choice(self.entries).callers

    async def _call_service(self, due: float) -> None:
        request = uuid.uuid4().hex
        idempotent = self._random.random() < 0.8
        if not idempotent:
            self.tally.non_idempotent.append(request)
        body = self._random.randbytes(20).hex().encode()
        answer = await self._choose_entry().call(
            'POST',
            f'/call/{self.scene.service}/check',
            body,
            {
                **AUTHORIZATION,
                'Lentilmount-Request': request,
                'Lentilmount-Idempotent': str(idempotent).lower(),
            },
        )
        millis = (time.monotonic() - due) * 1000
        self.tally.histogram.record_value(max(1, int(millis * 1000)))
        if answer.status == 200:
            self.tally.answered += 1
            reply = json.loads(answer.body)
            whole = reply['echo'].encode() == body
            self.tally.wrong += not whole or reply['request'] != request
            return
        self.tally.refusals.append(_read_kind(answer.body))
        if answer.headers.get('Lentilmount-Ran') == 'no':
            self.tally.refused_not_run.append(request)

    async def check(self) -> Evidence:
        """Holds the records against the promises."""
        addresses = self.deployment.platform.addresses
        records = [
            await fetch(f'http://{address}', '/_record')
            for address in addresses['workers'].values()
        ]
        stats = await fetch(addresses['table'], '/_stats?history=1')
        runs = [Run(**run) for record in records for run in record['runs']]
        served = [record['served'] for record in records]
        capacities = {r['name']: self.scene.capacity for r in records}
        ids = [f'Job/{self.scene.job_team}/{n}/0' for n in self.jobs]
        history = stats['history']
        violations = [
            *check_history(runs, history, capacities, time.monotonic()),
            *find_wrong_completions(history, ids),
            *find_double_requests(served, self.tally.non_idempotent),
            *self._find_false_refusals(served),
        ]
        if self.tally.wrong:
            violations.append(
                Violation(
                    'every caller gets its own whole answer',
                    f'{self.tally.wrong} wrong answers',
                )
            )
        return Evidence(history, ids, violations)

    def _find_false_refusals(
        self, served: list[dict[str, int]]
    ) -> list[Violation]:
        ran = {request for counts in served for request in counts}
        return [
            Violation('"not run" is true', f'{request} ran')
            for request in self.tally.refused_not_run
            if request in ran
        ]


def _read_kind(body: bytes) -> str:
    try:
        return str(json.loads(body)['detail'])
    except (ValueError, KeyError):
        return body.decode()


async def fetch(base: str, path: str, value: Any = None) -> Any:
    """Reads JSON from a stand-in, or sends it some."""
    body = None if value is None else json.dumps(value).encode()
    method = 'GET' if value is None else 'POST'
    caller = HttpClient(base)
    try:
        return json.loads((await caller.call(method, path, body)).body)
    finally:
        caller.close()
