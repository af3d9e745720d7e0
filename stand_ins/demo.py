"""The demo: both deployments of the brief, from start to a checked end.

Run it with `make demo`; `make demo KEEP=1` leaves everything running.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time

from lentilmount.cli.output import write_table
from stand_ins.checker import Violation, count_completions
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.play import CheckResult, DeploymentRun
from stand_ins.processes import ADMIN_TOKEN, Deployment
from stand_ins.scenes import NILEWAVE, WSPOLNOTA

LOAD_SECONDS = 15.0
JOBS = 12

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


async def run_example(run: DeploymentRun) -> None:
    """Runs an example: load, jobs, a drained worker, a stopped daemon."""
    await run.prepare()
    load = asyncio.create_task(run.send_load(LOAD_SECONDS))
    for number in range(JOBS):
        await run.submit(number, 8 + number / 4)
    await asyncio.sleep(3.0)
    await drain_busy_worker(run)
    await asyncio.sleep(3.0)
    await run.stop_entry(run.entries[-1])
    await load
    await run.wait_for_jobs()


async def drain_busy_worker(run: DeploymentRun) -> None:
    """Drains a worker that runs a job."""
    team = run.example.job_team
    for name in run.jobs:
        job = await run.call('GET', f'/v1/jobs/{team}/{name}')
        if job['status']['phase'] == 'running':
            break
    worker = {
        'kind': 'Worker',
        'metadata': {'name': job['status']['worker']},
        'spec': {'cordoned': True, 'drain': True},
    }
    await run.call('POST', '/v1/workers', worker)


def make_row(run: DeploymentRun, result: CheckResult) -> list[str]:
    """Builds a deployment's row of the table."""
    percentile = run.call_counts.histogram.get_value_at_percentile
    done = count_completions(result.history)
    events = [
        change['event']
        for write in result.history
        if write['partition'].startswith('change/') and write['body']
        for change in write['body'].get('changes', ())
        if change['task']['id'] in result.task_ids
    ]
    return [
        run.example.name,
        run.example.service,
        f'{percentile(50) / 1000:.1f}',
        f'{percentile(99) / 1000:.1f}',
        f'{run.example.target_ms:g}',
        f'{run.call_counts.answered}/{len(run.call_counts.refusals)}',
        f'{sum(done[i] for i in result.task_ids)}/{len(result.task_ids)}',
        str(events.count('evicted')),
        str(events.count('resumed')),
        str(len(result.violations)),
    ]


async def run_examples(runs: list[DeploymentRun]) -> int:
    """Runs all examples at once, prints the table, returns the exit status."""
    await asyncio.gather(*(run_example(run) for run in runs))
    rows: list[list[str]] = []
    violations: list[Violation] = []
    for run in runs:
        result = await run.check()
        rows.append(make_row(run, result))
        violations += result.violations
    write_table(HEADER, rows, sys.stdout)
    for violation in violations:
        print(f'BROKEN: {violation.invariant}: {violation.detail}')
    print('Every promise held.' if not violations else 'A promise was broken.')
    return 1 if violations else 0


def main() -> int:
    """Runs the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--keep', action='store_true')
    args = parser.parse_args()
    runs = []
    examples = (NILEWAVE, WSPOLNOTA)
    options = [
        PlatformOptions(make_zones(s.zones, s.workers, s.per_rack, s.capacity))
        for s in examples
    ]
    with Deployment(options[0]) as nile, Deployment(options[1]) as wspolnota:
        for example, deployment in zip(
            examples, (nile, wspolnota), strict=True
        ):
            run = DeploymentRun(example, deployment)
            run.start_daemons()
            runs.append(run)
        status = asyncio.run(run_examples(runs))
        if args.keep:
            print(f'Token: {ADMIN_TOKEN}. End with Ctrl-C.')
            for run in runs:
                print('\n'.join(run.list_addresses()))
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
