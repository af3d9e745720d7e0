"""Jobs and workers for tests of decisions."""

from __future__ import annotations

from typing import Any

import pytest

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Job, Task, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reports import (
    EndKind,
    EndReport,
    RunReport,
    WorkerEntry,
    WorkerReport,
    WorkerState,
)
from lentilmount.scheduling.rows import encode_state, restore_state
from lentilmount.scheduling.specs import JobSpec, QueuePolicy, StepSpec, TaskId
from lentilmount.scheduling.views import WorkerView

SERVICE = 'desk'


def make_policy(**fields: Any) -> QueuePolicy:
    """Returns a queue's policy."""
    given = {'max_attempts': 2, 'stretch': 2.0, 'target_seconds': 1.0}
    return QueuePolicy('queue', SERVICE, **{**given, **fields})


def make_step(**fields: Any) -> StepSpec:
    """Returns a step."""
    given = {
        'count': 1,
        'demand': Room(2.0, 1000),
        'estimated_seconds': 1.0,
    }
    return StepSpec(**{**given, **fields})


def make_job(
    job_id: str, *steps: StepSpec, policy: QueuePolicy | None = None
) -> JobSpec:
    """Returns a job."""
    return JobSpec(
        job_id, 'payload', steps or (make_step(),), policy or make_policy()
    )


def make_entry(name: str, **fields: Any) -> WorkerEntry:
    """Returns a worker's registration."""
    given = {
        'started_ms': 1,
        'address': f'{name}:1',
        'service': SERVICE,
        'zone': 'north',
        'state': WorkerState.READY,
        'capacity': Room(8.0, 16_000),
        'labels': ('a', 'r1'),
    }
    return WorkerEntry(name, **{**given, **fields})


def add_worker(cluster: ClusterState, name: str, **fields: Any) -> Worker:
    """Adds a worker that has answered."""
    worker = cluster.register_worker(make_entry(name, **fields))
    worker.has_answered = worker.reachable = True
    return worker


def find_task(
    cluster: ClusterState, job_id: str, step: int = 0, index: int = 0
) -> Task:
    """Returns a task of the first occurrence."""
    job = cluster.jobs[job_id]
    return job.tasks[TaskId(job_id, 0, step, index)]


def run_task(
    cluster: ClusterState, task: Task, worker: Worker, now: float = 1.0
) -> None:
    """Starts a task and lets the worker confirm it."""
    cluster.place([task], worker, now)
    cluster.confirm_start(task, task.run, now)


def make_report(
    running: tuple[RunReport, ...] = (), ended: tuple[EndReport, ...] = ()
) -> WorkerReport:
    """Returns a worker's lists."""
    return WorkerReport(1, 1000, running, ended)


def make_end(
    number: int, task: Task, run: int, kind: EndKind, checkpoint: str = ''
) -> EndReport:
    """Returns the end of a run."""
    return EndReport(number, str(task.id), run, kind, checkpoint)


def make_running(task: Task, run: int, usage: float | None = None) -> RunReport:
    """Returns a row of what runs."""
    return RunReport(str(task.id), run, '', 0, usage)


def admit(cluster: ClusterState, spec: JobSpec) -> Job:
    """Admits a job at time 0."""
    return cluster.admit(spec, 0.0, 0.0)


def hand_over(cluster: ClusterState) -> ClusterState:
    """Returns the book of a new owner that has read all rows."""
    new = ClusterState()
    for job in cluster.jobs.values():
        restored = admit(new, job.spec)
        restore_state(
            new, restored, encode_state(job), leases_expire_at=20.0, now=4.0
        )
    return new


def run_pass(placer: Placer, now: float) -> list[tuple[Task, Worker]]:
    """Places what can be placed; no worker is ruled out from outside."""
    return placer.place(now, lambda task, worker: True)


def record_checks(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> list[tuple[str, str]]:
    """Returns a list that gets worker and job of each check by a view.

    Args:
      monkeypatch: What undoes it after the test.
      name: The method of `WorkerView` that checks a task.
    """
    checks: list[tuple[str, str]] = []
    check = getattr(WorkerView, name)

    def note(view: WorkerView, task: Task) -> bool:
        checks.append((view.worker.id, task.id.job))
        return bool(check(view, task))

    monkeypatch.setattr(WorkerView, name, note)
    return checks
