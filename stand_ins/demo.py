"""The demo: both deployments of the brief, from start to a checked end.

Run it with `make demo`; `make demo KEEP=1` leaves everything running.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import random
import signal
import sys
import time
import uuid
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from lentilmount.cli.output import write_table
from lentilmount.core import main as run_tool
from lentilmount.upstream.http import HttpCaller
from stand_ins.attempts import Run
from stand_ins.checker import (
    Violation,
    check_history,
    count_completions,
    find_double_requests,
    find_wrong_completions,
)
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.processes import ADMIN_TOKEN, Deployment, Process
from stand_ins.scenes import NILEWAVE, WSPOLNOTA, Scene

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
REQUESTS_PER_SECOND = 60.0
LOAD_SECONDS = 15.0
READY_SECONDS = 30.0
BALANCER_LAG_SECONDS = 1.0
JOBS_SECONDS = 60.0
HISTOGRAM_RANGE = (1, 60_000_000, 3)
AUTHORIZATION = {'Authorization': f'Bearer {ADMIN_TOKEN}'}


@attrs.define
class Tally:
    """What the callers of one deployment saw."""

    histogram: HdrHistogram = attrs.Factory(
        lambda: HdrHistogram(*HISTOGRAM_RANGE)
    )
    answered: int = 0
    refused: int = 0
    wrong: int = 0
    non_idempotent: list[str] = attrs.Factory(list)
    refused_not_run: list[str] = attrs.Factory(list)


class Play:
    """Plays one scene."""

    def __init__(self, scene: Scene, deployment: Deployment):
        self.scene = scene
        self.deployment = deployment
        self.tally = Tally()
        self.drained = ''
        self._random = random.Random(scene.name)
        self._entries: list[tuple[Process, HttpCaller, HttpCaller]] = []

    def start(self) -> None:
        """Starts the daemons."""
        first, second = self.scene.zones[:2]
        for number, zone in enumerate((first, second, first)):
            self.deployment.start_daemon(f'entry-{number}', zone)

    def _connect(self) -> None:
        for process in self.deployment.daemons.values():
            callers = f'http://{process.addresses["callers"]}'
            operators = f'http://{process.addresses["operators"]}'
            self._entries.append(
                (
                    process,
                    HttpCaller(callers, 10.0, 256),
                    HttpCaller(operators, 10.0),
                )
            )

    def list_addresses(self) -> list[str]:
        """Returns a line for each daemon, to try by hand."""
        return [
            f'{self.scene.name} {process.name}: {process.addresses}'
            for process in self.deployment.daemons.values()
        ]

    async def run(self) -> None:
        """Plays the scene to its end."""
        self._connect()
        await asyncio.to_thread(self._apply_example)
        await self._wait_for_replicas()
        load = asyncio.create_task(self._send_load())
        jobs = [await self._submit(number) for number in range(12)]
        await asyncio.sleep(3.0)
        await self._drain_one(jobs)
        await asyncio.sleep(3.0)
        stopping, _, _ = self._entries[-1]
        stopping.send(signal.SIGTERM)
        await asyncio.sleep(BALANCER_LAG_SECONDS)
        del self._entries[-1]
        await load
        await self._wait_for_jobs(jobs)
        self.jobs = jobs

    def _apply_example(self) -> None:
        address = self._entries[0][0].addresses['operators']
        status = run_tool(
            [
                *('--server', f'http://{address}', '--token', ADMIN_TOKEN),
                *('apply', '-f', str(EXAMPLES / f'{self.scene.name}.json')),
            ]
        )
        if status:
            raise RuntimeError(f'apply ended with {status!r}')

    async def call(self, method: str, path: str, value: Any = None) -> Any:
        """Calls the resource API of the first daemon."""
        body = None if value is None else json.dumps(value).encode()
        answer = await self._entries[0][2].call(
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

    async def _submit(self, number: int) -> str:
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
                    'payload': json.dumps({'seconds': 8 + number / 4}),
                },
            },
        )
        return name

    async def _drain_one(self, jobs: list[str]) -> None:
        for name in jobs:
            job = await self.call(
                'GET', f'/v1/jobs/{self.scene.job_team}/{name}'
            )
            if job['status']['phase'] == 'running':
                self.drained = job['status']['worker']
                break
        await self.call(
            'POST',
            '/v1/workers',
            {
                'kind': 'Worker',
                'metadata': {'name': self.drained},
                'spec': {'cordoned': True, 'drain': True},
            },
        )

    async def _wait_for_jobs(self, jobs: list[str]) -> None:
        until = time.monotonic() + JOBS_SECONDS
        while time.monotonic() < until:
            page = await self.call(
                'GET', f'/v1/jobs?team={self.scene.job_team}'
            )
            phases = [item['status']['phase'] for item in page['items']]
            if all(phase == 'completed' for phase in phases):
                return
            await asyncio.sleep(0.2)
        raise RuntimeError(f'jobs did not complete: {phases}')

    async def _send_load(self) -> None:
        began = time.monotonic()
        calls = []
        due = began
        while due < began + LOAD_SECONDS:
            due += self._random.expovariate(REQUESTS_PER_SECOND)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            calls.append(asyncio.create_task(self._call_service(due)))
        await asyncio.gather(*calls)

    def _choose_entry(self) -> HttpCaller:
        return self._random.choice(self._entries)[1]

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
        self.tally.refused += 1
        if answer.headers.get('Lentilmount-Ran') == 'no':
            self.tally.refused_not_run.append(request)

    async def check(self) -> tuple[list[list[str]], list[Violation]]:
        """Holds the records against the promises."""
        addresses = self.deployment.platform.addresses
        records = [
            await _fetch(f'http://{address}', '/_record')
            for address in addresses['workers'].values()
        ]
        stats = await _fetch(addresses['table'], '/_stats?history=1')
        runs = [Run(**run) for record in records for run in record['runs']]
        served = [record['served'] for record in records]
        capacities = {r['name']: self.scene.capacity for r in records}
        ids = [f'Job/{self.scene.job_team}/{name}/0' for name in self.jobs]
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
        return self._make_rows(history, ids, violations), violations

    def _find_false_refusals(
        self, served: list[dict[str, int]]
    ) -> list[Violation]:
        ran = {request for counts in served for request in counts}
        return [
            Violation('"not run" is true', f'{request} ran')
            for request in self.tally.refused_not_run
            if request in ran
        ]

    def _make_rows(
        self,
        history: list[dict[str, Any]],
        ids: list[str],
        violations: list[Violation],
    ) -> list[list[str]]:
        percentile = self.tally.histogram.get_value_at_percentile
        done = count_completions(history)
        events = [
            change['event']
            for write in history
            if write['partition'].startswith('change/') and write['body']
            for change in write['body'].get('changes', ())
            if change['task']['id'] in ids
        ]
        return [
            [
                self.scene.name,
                self.scene.service,
                f'{percentile(50) / 1000:.1f}',
                f'{percentile(99) / 1000:.1f}',
                f'{self.scene.target_ms:g}',
                f'{self.tally.answered}/{self.tally.refused}',
                f'{sum(done[i] for i in ids)}/{len(ids)}',
                str(events.count('evicted')),
                str(events.count('resumed')),
                str(len(violations)),
            ]
        ]


HEADER = (
    'DEPLOYMENT',
    'SERVICE',
    'P50_MS',
    'P99_MS',
    'TARGET_MS',
    'ANSWERED/REFUSED',
    'JOBS_DONE',
    'EVICTED',
    'RESUMED',
    'BROKEN',
)


async def _fetch(base: str, path: str) -> Any:
    caller = HttpCaller(base)
    try:
        return json.loads((await caller.call('GET', path)).body)
    finally:
        caller.close()


async def play_all(plays: list[Play]) -> int:
    """Plays every scene at once, prints the table, returns the status."""
    await asyncio.gather(*(play.run() for play in plays))
    rows: list[list[str]] = []
    broken: list[Violation] = []
    for play in plays:
        some, violations = await play.check()
        rows += some
        broken += violations
    write_table(HEADER, rows, sys.stdout)
    for violation in broken:
        print(f'BROKEN: {violation.promise}: {violation.detail}')
    print('Every promise held.' if not broken else 'A promise was broken.')
    return 1 if broken else 0


def main() -> int:
    """Runs the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--keep', action='store_true')
    args = parser.parse_args()
    plays = []
    scenes = (NILEWAVE, WSPOLNOTA)
    options = [
        PlatformOptions(make_zones(s.zones, s.workers, s.per_rack, s.capacity))
        for s in scenes
    ]
    with Deployment(options[0]) as nile, Deployment(options[1]) as wspolnota:
        for scene, deployment in zip(scenes, (nile, wspolnota), strict=True):
            play = Play(scene, deployment)
            play.start()
            plays.append(play)
        status = asyncio.run(play_all(plays))
        if args.keep:
            print(f'Token: {ADMIN_TOKEN}. End with Ctrl-C.')
            for play in plays:
                print('\n'.join(play.list_addresses()))
            wait_for_interrupt()
    return status


def wait_for_interrupt() -> None:
    """Sleeps until somebody presses Ctrl-C."""
    try:
        while True:
            time.sleep(3600)
    except KeyboardInterrupt:
        return


if __name__ == '__main__':
    sys.exit(main())
