"""Builders of jobs, workers and worker reports for tests of the scheduling."""

from __future__ import annotations

from typing import Any

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.grouped_submissions import GroupedSubmissions
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
    """Returns the policy of a queue."""
    given = {'max_attempts': 2, 'stretch': 2.0, 'target_seconds': 1.0}
    return QueuePolicy('queue', SERVICE, **{**given, **fields})


def make_step(**fields: Any) -> StepSpec:
    """Returns a step with one task, unless fields say otherwise."""
    given = {
        'count': 1,
        'demand': Room(2.0, 1000),
        'estimated_seconds': 1.0,
    }
    return StepSpec(**{**given, **fields})


def make_job(
    job_id: str, *steps: StepSpec, policy: QueuePolicy | None = None
) -> JobSpec:
    """Returns a job of one step, unless steps are given."""
    return JobSpec(
        job_id, 'payload', steps or (make_step(),), policy or make_policy()
    )


def make_entry(name: str, **fields: Any) -> WorkerEntry:
    """Returns the registration of a worker."""
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
    """Registers a worker that has answered and is reachable."""
    worker = cluster.register_worker(make_entry(name, **fields))
    worker.has_answered = worker.reachable = True
    return worker


def find_task(
    cluster: ClusterState, job_id: str, step: int = 0, index: int = 0
) -> Task:
    """Returns a task of the first occurrence of a job."""
    task = cluster.find_task(str(TaskId(job_id, 0, step, index)))
    assert task is not None
    return task


def run_task(
    cluster: ClusterState, task: Task, worker: Worker, now: float = 1.0
) -> None:
    """Places a task and confirms its start."""
    cluster.place([task], worker, now)
    cluster.confirm_start(task, task.run, now)


def make_report(
    running: tuple[RunReport, ...] = (), ended: tuple[EndReport, ...] = ()
) -> WorkerReport:
    """Returns a report of a worker."""
    return WorkerReport(1, 1000, running, ended)


def make_end(
    number: int, task: Task, run: int, kind: EndKind, checkpoint: str = ''
) -> EndReport:
    """Returns a report of a run end."""
    return EndReport(number, str(task.id), run, kind, checkpoint)


def make_running(
    task: Task,
    run: int,
    usage: float | None = None,
    progress: int = 0,
    checkpoint: str = '',
) -> RunReport:
    """Returns a report of a running task."""
    return RunReport(str(task.id), run, checkpoint, progress, usage)


def admit(cluster: ClusterState, spec: JobSpec) -> Job:
    """Adds a job that was accepted at time 0."""
    return cluster.admit(spec, 0.0, 0.0)


def hand_over(cluster: ClusterState) -> ClusterState:
    """Returns the cluster state of a new owner, restored from all rows."""
    new = ClusterState()
    for job in cluster.jobs.values():
        restored = admit(new, job.spec)
        restore_state(
            new, restored, encode_state(job), leases_expire_at=20.0, now=4.0
        )
    return new


def run_pass(placer: Placer, now: float) -> list[tuple[Task, Worker]]:
    """Runs a placement pass that may use every worker."""
    return placer.place(now, lambda task, worker: True)


def record_checks(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> list[tuple[str, str]]:
    """Records the worker and job of each check by a worker view.

    Args:
      monkeypatch: Fixture that undoes the change after the test.
      name: Name of the method of `WorkerView` that checks a task.

    Returns:
      A list of worker and job ids, extended by each check.
    """
    checks: list[tuple[str, str]] = []
    check = getattr(WorkerView, name)

    def record(view: WorkerView, task: Task) -> bool:
        checks.append((view.worker.id, task.id.job))
        return bool(check(view, task))

    monkeypatch.setattr(WorkerView, name, record)
    return checks


def make_submissions(service: str) -> GroupedSubmissions:
    """Returns submissions to an owner that knows no jobs yet."""
    return GroupedSubmissions(
        service, ManualClock().monotonic, lambda job_id: False, lambda: None
    )
