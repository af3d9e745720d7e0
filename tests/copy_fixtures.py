"""Scenes of tasks that may be copied."""

from __future__ import annotations

from typing import Any

import attrs

from lentilmount.policies import CopyPolicy
from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reconciliation import Reconciler, ReconcileResult
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.stragglers import CopyDecision, Stragglers
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_end,
    make_job,
    make_policy,
    make_report,
    make_running,
    make_step,
    run_task,
)

USUAL_SECONDS = 1.0
TASKS = 30
LONG_FACTOR = 7.0
"""How many times as long as the others one task in `TASKS` takes: 3%."""

POLICY = CopyPolicy(slowness=2.0, max_share=0.1)


def make_copyable_step(**fields: Any) -> StepSpec:
    """Returns a step of tasks that may be copied."""
    given = {'count': TASKS, 'demand': Room(1.0, 100), 'duplicates': True}
    return make_step(**{**given, **fields})


@attrs.define
class CopyScene:
    """A cluster state in which tasks may be copied.

    Attributes:
      cluster: The cluster state.
      stragglers: Decides on copies.
    """

    cluster: ClusterState
    stragglers: Stragglers

    def add_workers(self, count: int, cores: float = 40.0) -> list[Worker]:
        """Adds workers w0 and so on."""
        capacity = Room(cores, 64_000)
        return [
            add_worker(self.cluster, f'w{number}', capacity=capacity)
            for number in range(count)
        ]

    def run_step(self, worker: Worker, **fields: Any) -> Task:
        """Runs a step on a worker; all but the last task are done at 1 s.

        Returns:
          The last task, which began at 0 s.
        """
        step = make_copyable_step(**fields)
        policy = make_policy(max_attempts=3)
        admit(self.cluster, make_job('a', step, policy=policy))
        for index in range(step.count):
            task = find_task(self.cluster, 'a', index=index)
            start(self.cluster, task, worker)
        for index in range(step.count - 1):
            task = find_task(self.cluster, 'a', index=index)
            self.cluster.end_run(task, EndKind.DONE, 0.001 + USUAL_SECONDS)
        return find_task(self.cluster, 'a', index=step.count - 1)

    def choose(self, now: float) -> list[CopyDecision]:
        """Places copies, on any worker that the decision allows."""
        return self.stragglers.choose(now, lambda task, worker: True)

    def copy(self, count: int = 3) -> Task:
        """Returns a task of which a copy runs on w1 and the first run on w0."""
        workers = self.add_workers(count)
        task = self.run_step(workers[0])
        (decision,) = self.choose(3.0)
        assert decision.worker is workers[1]
        task.start_sent_at = 3.0
        self.cluster.confirm_start(task, task.run, 3.0)
        return task

    def report(
        self,
        worker: str,
        now: float,
        running: tuple[tuple[Task, int], ...] = (),
        ended: tuple[tuple[Task, int, EndKind], ...] = (),
    ) -> ReconcileResult:
        """Applies a report with runs that go on and runs that have ended."""
        report = make_report(
            tuple(make_running(task, run) for task, run in running),
            tuple(
                make_end(number + 1, task, run, kind)
                for number, (task, run, kind) in enumerate(ended)
            ),
        )
        return Reconciler(self.cluster).reconcile(
            self.cluster.workers[worker], report, now, now
        )


def start(cluster: ClusterState, task: Task, worker: Worker) -> None:
    """Starts a task just after time 0, which stands for an inherited run."""
    run_task(cluster, task, worker, 0.001)
    task.start_sent_at = 0.001


def make_scene(policy: CopyPolicy = POLICY) -> CopyScene:
    """Returns an empty cluster state with copies switched on."""
    cluster = ClusterState()
    cluster.copies.is_enabled = True
    return CopyScene(cluster, Stragglers(policy, cluster, InterferenceModel()))
