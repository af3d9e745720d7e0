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
from stand_ins.play import Evidence, Play
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


async def perform(play: Play) -> None:
    """Plays a scene: load, jobs, a drained worker, a stopped daemon."""
    await play.begin()
    load = asyncio.create_task(play.send_load(LOAD_SECONDS))
    for number in range(JOBS):
        await play.submit(number, 8 + number / 4)
    await asyncio.sleep(3.0)
    await drain_one(play)
    await asyncio.sleep(3.0)
    await play.stop_entry(play.entries[-1])
    await load
    await play.wait_for_jobs()


async def drain_one(play: Play) -> None:
    """Drains a worker that runs a job."""
    team = play.scene.job_team
    for name in play.jobs:
        job = await play.call('GET', f'/v1/jobs/{team}/{name}')
        if job['status']['phase'] == 'running':
            break
    worker = {
        'kind': 'Worker',
        'metadata': {'name': job['status']['worker']},
        'spec': {'cordoned': True, 'drain': True},
    }
    await play.call('POST', '/v1/workers', worker)


def make_row(play: Play, evidence: Evidence) -> list[str]:
    """Builds a deployment's line of the table."""
    percentile = play.tally.histogram.get_value_at_percentile
    done = count_completions(evidence.history)
    events = [
        change['event']
        for write in evidence.history
        if write['partition'].startswith('change/') and write['body']
        for change in write['body'].get('changes', ())
        if change['task']['id'] in evidence.ids
    ]
    return [
        play.scene.name,
        play.scene.service,
        f'{percentile(50) / 1000:.1f}',
        f'{percentile(99) / 1000:.1f}',
        f'{play.scene.target_ms:g}',
        f'{play.tally.answered}/{len(play.tally.refusals)}',
        f'{sum(done[i] for i in evidence.ids)}/{len(evidence.ids)}',
        str(events.count('evicted')),
        str(events.count('resumed')),
        str(len(evidence.violations)),
    ]


async def play_all(plays: list[Play]) -> int:
    """Plays every scene at once, prints the table, returns the status."""
    await asyncio.gather(*(perform(play) for play in plays))
    rows: list[list[str]] = []
    broken: list[Violation] = []
    for play in plays:
        evidence = await play.check()
        rows.append(make_row(play, evidence))
        broken += evidence.violations
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
