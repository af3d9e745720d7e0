"""Tasks of jobs that are over, and workers that go on with them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import logbook
from aioprometheus.renderer import render

from lentilmount.clock import ManualClock
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.task_control import RUNS_ON_SECONDS
from stand_ins.model_site import ModelSite
from stand_ins.model_worker import ModelWorker
from stand_ins.virtual_time import run_virtual
from tests.test_session_state_machine import make_spec

ALWAYS = 1_000_000
JOB = make_spec(0, 'lasting', False)
TASK = f'{JOB.id}.0.0.0'


def play_site(
    scenario: Callable[[ModelSite], Awaitable[None]],
) -> list[logbook.LogRecord]:
    """Plays a scenario with an owner and two workers; returns its log."""
    clock = ManualClock()
    site = ModelSite(clock)

    async def work() -> None:
        for _ in range(2):
            site.add_worker()
        site.start_owner()
        await asyncio.sleep(1.5)
        await scenario(site)
        await site.kill_owner()

    with logbook.TestHandler() as handler:
        run_virtual(work(), clock)
        return list(handler.records)


async def begin_task(site: ModelSite) -> ModelWorker:
    """Submits a job with a long-running task; returns the worker it is on."""
    site.submit(JOB)
    await asyncio.sleep(2.0)
    (worker,) = (w for w in site.workers if w.running)
    return worker


def select(
    records: list[logbook.LogRecord], message: str
) -> list[dict[str, Any]]:
    """Returns the fields of the log lines that begin with a text."""
    return [r.extra for r in records if r.message.startswith(message)]


def read_metric(metrics: ControlMetrics, name: str) -> float:
    """Returns the sum of a metric over its labels."""
    text, _ = render(metrics.registry, [])
    lines = [x for x in text.decode().splitlines() if x.startswith(name)]
    return sum(float(line.rsplit(' ', 1)[1]) for line in lines)


def test_a_task_that_runs_on_after_its_cancellation_is_reported() -> None:
    """No line and no metric told that a cancelled task was still listed."""
    read: list[float] = []

    async def scenario(site: ModelSite) -> None:
        worker = await begin_task(site)
        worker.ineffective_stops = ALWAYS
        site.cancel(JOB.id)
        await asyncio.sleep(RUNS_ON_SECONDS + 4.0)
        owner = site.election.owner if site.election is not None else None
        assert owner is not None
        owner.refresh_metrics()
        read.append(read_metric(site.metrics, 'lentilmount_finished_runs'))
        read.append(
            read_metric(site.metrics, 'lentilmount_stops_without_effect_total')
        )

    records = play_site(scenario)
    (line,) = select(records, 'Runs on: its job is cancelled.')
    assert (line['task'], line['run']) == (TASK, 1)
    assert line['worker'].startswith('w')
    assert RUNS_ON_SECONDS < line['ended'] < RUNS_ON_SECONDS + 2.0
    assert 0.0 < line['accepted'] < line['ended']
    assert select(records, 'Still listed: ')
    assert read[0] == 1.0
    assert read[1] >= 1.0


def test_a_task_that_is_stopped_in_time_is_not_reported() -> None:
    """A line for each stop would hide the few that have no effect."""

    async def scenario(site: ModelSite) -> None:
        await begin_task(site)
        site.cancel(JOB.id)
        await asyncio.sleep(RUNS_ON_SECONDS + 4.0)
        assert not any(worker.running for worker in site.workers)

    records = play_site(scenario)
    assert not select(records, 'Runs on: ')
    assert not select(records, 'Still listed: ')


def test_cancellations_without_effect_are_logged() -> None:
    """A cancellation of a job that its owner did not know left no line."""
    done = make_spec(1, 'short', False)

    async def scenario(site: ModelSite) -> None:
        site.submit(done)
        await asyncio.sleep(3.0)
        site.cancel(done.id)
        site.cancel('f' * 16)
        await asyncio.sleep(3.0)

    records = play_site(scenario)
    (unknown,) = select(records, 'Not cancelled: 1 jobs are not known')
    assert unknown['jobs'] == ['f' * 16]
    (over,) = select(records, 'Not cancelled: 1 jobs are over')
    assert over['jobs'] == [(done.id, 'completed')]
