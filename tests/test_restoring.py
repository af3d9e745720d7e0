"""State that a new owner restores from the rows of the previous one."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from lentilmount.clock import SystemClock
from lentilmount.control import job_loader as job_loader_module
from lentilmount.control.job_loader import JobLoader
from lentilmount.control.keys import make_state_key
from lentilmount.coordination.table import ABSENT, Put
from lentilmount.coordination.transactions import make_token
from lentilmount.platform.store import PAGE_ROWS
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.rows import encode_state, restore_state
from lentilmount.scheduling.specs import JobSpec, TaskId
from tests.helpers import run
from tests.platform_fixtures import open_table
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_policy,
    make_step,
    run_task,
)
from tests.test_job_loader import submit


def test_any_number_of_takeovers_raises_the_next_run_by_one_margin() -> None:
    """Each takeover added a margin to the number of a task's next run."""
    runs = []
    for takeovers in (1, 3):
        cluster = ClusterState()
        job = admit(cluster, make_job('a', make_step(lasting=True)))
        run_task(cluster, find_task(cluster, 'a'), add_worker(cluster, 'w'))
        body = encode_state(job)
        for _ in range(takeovers):
            cluster = ClusterState()
            job = admit(cluster, make_job('a', make_step(lasting=True)))
            restore_state(cluster, job, body, 7.4, 0.0)
            body = encode_state(job)
        task = find_task(cluster, 'a')
        cluster.end_run(task, EndKind.LAPSED, 8.0)
        cluster.place([task], add_worker(cluster, 'v'), 8.0)
        runs.append(task.run)
    assert runs == [10, 10]


def test_a_done_occurrence_is_not_run_again_by_a_slower_clock() -> None:
    """A done occurrence ran again under an owner whose clock was behind."""
    spec = JobSpec(
        'a',
        'payload',
        (make_step(),),
        make_policy(),
        occurrences=2,
        first=100.0,
        interval=50.0,
    )
    cluster = ClusterState()
    job = cluster.admit(spec, 0.0, 100.1)
    task = find_task(cluster, 'a')
    run_task(cluster, task, add_worker(cluster, 'w'))
    cluster.end_run(task, EndKind.DONE, 2.0)
    after = ClusterState()
    restored = after.admit(spec, 0.0, 99.9)
    restore_state(after, restored, encode_state(job), 7.4, 0.0)
    after.occurrences.open_due(100.2)
    assert TaskId('a', 0, 0, 0) not in after.ready


def test_restoring_states_lets_the_lease_be_renewed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An owner lost its lease while it restored many tasks."""
    restored = 0
    restore = restore_state

    def count(*args: Any) -> None:
        nonlocal restored
        restored += 1
        restore(*args)

    monkeypatch.setattr(job_loader_module, 'restore_state', count)

    async def play() -> int:
        async with open_table() as (_, table):
            for number in range(3 * PAGE_ROWS):
                job_id = f'{number:016x}'
                await submit(table, 'desk', job_id)
                put = Put(
                    make_state_key('desk', job_id),
                    {'state': 'queued', 'tasks': {}},
                    ABSENT,
                )
                await table.transact(make_token(), [put])
            job_loader = JobLoader(
                'desk',
                table,
                ClusterState(),
                SystemClock(),
                lambda job_id: None,
                lambda: None,
            )
            loading = asyncio.create_task(job_loader.load(1.0))
            seen = [0]
            while not loading.done():
                await asyncio.sleep(0)
                seen.append(restored)
            await loading
            assert restored == 3 * PAGE_ROWS
            return max(b - a for a, b in zip(seen, seen[1:], strict=False))

    assert run(play()) <= PAGE_ROWS
