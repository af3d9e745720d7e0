"""Drives a deployment of processes: load, jobs, and a check at the end."""

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
    find_repeated_requests,
    find_wrong_completions,
)
from stand_ins.processes import ADMIN_TOKEN, Deployment, Process
from stand_ins.scenes import ExampleDeployment

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
REQUESTS_PER_SECOND = 60.0
READY_SECONDS = 30.0
BALANCER_LAG_SECONDS = 1.0
JOBS_SECONDS = 60.0
HISTOGRAM_RANGE = (1, 60_000_000, 3)
AUTHORIZATION = {'Authorization': f'Bearer {ADMIN_TOKEN}'}


@attrs.define
class CallCounts:
    """Results of the callers' requests to one deployment.

    Attributes:
      histogram: Response times, refusals included, in microseconds.
      answered: Number of requests that were answered.
      refusals: Reason of each refused request.
      wrong_answers: Number of answers that were incomplete or belonged to
        another request.
      non_idempotent: Ids of the requests that may run at most once.
      refused_not_run: Ids of the requests that were refused as not run.
    """

    histogram: HdrHistogram = attrs.Factory(
        lambda: HdrHistogram(*HISTOGRAM_RANGE)
    )
    answered: int = 0
    refusals: list[str] = attrs.Factory(list)
    wrong_answers: int = 0
    non_idempotent: list[str] = attrs.Factory(list)
    refused_not_run: list[str] = attrs.Factory(list)


@attrs.frozen
class Entry:
    """A daemon that callers and operators use.

    Attributes:
      process: The daemon's process.
      callers: Client of its listener for callers.
      operators: Client of its resource API.
    """

    process: Process
    callers: HttpClient
    operators: HttpClient


@attrs.frozen
class CheckResult:
    """Result of the check at the end of a run.

    Attributes:
      history: Write history of the table.
      task_ids: Ids of the jobs' tasks.
      violations: Violations of the invariants.
    """

    history: list[dict[str, Any]]
    task_ids: list[str]
    violations: list[Violation]


class DeploymentRun:
    """Load and jobs on one deployment, and the check of its records.

    Attributes:
      example: The deployment's description.
      deployment: Its processes.
      call_counts: Results of the callers' requests.
      jobs: Names of the submitted jobs.
      entries: Daemons that callers and operators use.
    """

    def __init__(self, example: ExampleDeployment, deployment: Deployment):
        self.example = example
        self.deployment = deployment
        self.call_counts = CallCounts()
        self.jobs: list[str] = []
        self._random = random.Random(example.name)
        self.entries: list[Entry] = []

    def start_daemons(self) -> None:
        """Starts the daemons."""
        first, second = self.example.zones[:2]
        for number, zone in enumerate((first, second, first)):
            self.deployment.start_daemon(f'entry-{number}', zone)

    def list_addresses(self) -> list[str]:
        """Returns a line per daemon with its addresses, to try by hand."""
        return [
            f'{self.example.name} {process.name}: {process.addresses}'
            for process in self.deployment.daemons.values()
        ]

    async def prepare(self) -> None:
        """Applies the example and waits until all replicas run."""
        for process in self.deployment.daemons.values():
            self.add_entry(process)
        await asyncio.to_thread(self._apply_example)
        await self._wait_for_replicas()

    def add_entry(self, process: Process) -> None:
        """Adds a daemon to those that callers and operators use."""
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
        """Stops a daemon gracefully.

        Callers use it for `BALANCER_LAG_SECONDS` more, as they would behind a
        load balancer that detects the stop late.
        """
        entry.process.send(signal.SIGTERM)
        await asyncio.sleep(BALANCER_LAG_SECONDS)
        self.entries.remove(entry)

    def _apply_example(self) -> None:
        address = self.entries[0].process.addresses['operators']
        status = run_tool(
            [
                *('--server', f'http://{address}', '--token', ADMIN_TOKEN),
                *('apply', '-f', str(EXAMPLES / f'{self.example.name}.json')),
            ]
        )
        if status:
            raise RuntimeError(f'applying the example failed: {status!r}')

    async def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        entry: Entry | None = None,
    ) -> Any:
        """Calls the resource API of a daemon, by default the first.

        Raises:
          RuntimeError: The answer is an error.
        """
        body = None if value is None else json.dumps(value).encode()
        answer = await (entry or self.entries[0]).operators.call(
            method, path, body, AUTHORIZATION
        )
        if answer.status >= 400:
            raise RuntimeError(f'{method} {path}: {answer.body.decode()}')
        return json.loads(answer.body)

    async def _wait_for_replicas(self) -> None:
        until = time.monotonic() + READY_SECONDS
        path = f'/v1/services/{self.example.service}'
        while time.monotonic() < until:
            status = (await self.call('GET', path))['status']
            if status['reason'].startswith(f'{self.example.workers} of'):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f'{path}: {status["reason"]}')

    async def submit(self, number: int, seconds: float) -> None:
        """Submits job `run-NUMBER` with this many seconds of work."""
        name = f'run-{number}'
        await self.call(
            'POST',
            '/v1/jobs',
            {
                'kind': 'Job',
                'metadata': {'team': self.example.job_team, 'name': name},
                'spec': {
                    'demand': {'cores': 4, 'memory_mb': 8192},
                    'job_class': self.example.job_class,
                    'expected_seconds': 10,
                    'urgency': 'urgent' if number == 0 else 'batch',
                    'payload': json.dumps({'seconds': seconds}),
                },
            },
        )
        self.jobs.append(name)

    async def wait_for_jobs(self) -> None:
        """Waits until every job has completed.

        Raises:
          RuntimeError: Some did not within `JOBS_SECONDS`.
        """
        until = time.monotonic() + JOBS_SECONDS
        while time.monotonic() < until:
            page = await self.call(
                'GET', f'/v1/jobs?team={self.example.job_team}'
            )
            phases = [
                item['status']['phase']
                for item in page['items']
                if item['metadata']['name'] in self.jobs
            ]
            if all(phase == 'completed' for phase in phases):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(
            f'jobs did not complete in {JOBS_SECONDS:g} s; phases: {phases}'
        )

    async def send_load(self, seconds: float) -> None:
        """Sends requests at a fixed mean rate, regardless of the answers."""
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
            self.call_counts.non_idempotent.append(request)
        body = self._random.randbytes(20).hex().encode()
        answer = await self._choose_entry().call(
            'POST',
            f'/call/{self.example.service}/check',
            body,
            {
                **AUTHORIZATION,
                'Lentilmount-Request': request,
                'Lentilmount-Idempotent': str(idempotent).lower(),
            },
        )
        elapsed_ms = (time.monotonic() - due) * 1000
        self.call_counts.histogram.record_value(max(1, int(elapsed_ms * 1000)))
        if answer.status == 200:
            self.call_counts.answered += 1
            reply = json.loads(answer.body)
            is_complete = reply['echo'].encode() == body
            self.call_counts.wrong_answers += (
                not is_complete or reply['request'] != request
            )
            return
        self.call_counts.refusals.append(_read_refusal_reason(answer.body))
        if answer.headers.get('Lentilmount-Ran') == 'no':
            self.call_counts.refused_not_run.append(request)

    async def check(self) -> CheckResult:
        """Checks the records of workers, table and callers."""
        addresses = self.deployment.platform.addresses
        records = [
            await fetch(f'http://{address}', '/_record')
            for address in addresses['workers'].values()
        ]
        stats = await fetch(addresses['table'], '/_stats?history=1')
        runs = [Run(**run) for record in records for run in record['runs']]
        served = [record['served'] for record in records]
        capacities = {r['name']: self.example.capacity for r in records}
        task_ids = [f'Job/{self.example.job_team}/{n}/0' for n in self.jobs]
        history = stats['history']
        violations = [
            *check_history(runs, history, capacities, time.monotonic()),
            *find_wrong_completions(history, task_ids),
            *find_repeated_requests(served, self.call_counts.non_idempotent),
            *self._find_false_refusals(served),
        ]
        if self.call_counts.wrong_answers:
            violations.append(
                Violation(
                    'every caller gets its own whole answer',
                    f'{self.call_counts.wrong_answers} wrong answers',
                )
            )
        return CheckResult(history, task_ids, violations)

    def _find_false_refusals(
        self, served: list[dict[str, int]]
    ) -> list[Violation]:
        ran = {request for counts in served for request in counts}
        return [
            Violation('"not run" is true', f'{request} ran')
            for request in self.call_counts.refused_not_run
            if request in ran
        ]


def _read_refusal_reason(body: bytes) -> str:
    try:
        return str(json.loads(body)['detail'])
    except (ValueError, KeyError):
        return body.decode()


async def fetch(base: str, path: str, value: Any = None) -> Any:
    """Gets JSON from a stand-in, or posts `value` and returns the answer."""
    body = None if value is None else json.dumps(value).encode()
    method = 'GET' if value is None else 'POST'
    caller = HttpClient(base)
    try:
        return json.loads((await caller.call(method, path, body)).body)
    finally:
        caller.close()
