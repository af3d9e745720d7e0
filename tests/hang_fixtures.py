"""A task whose worker reports what a test says, reviewed for hangs."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.hangs import (
    OVERDUE_FACTOR,
    OVERDUE_SECONDS,
    list_hanging,
)
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_report,
    make_running,
    make_step,
    run_task,
)

CORES = 2.0
BUSY_USAGE = 1000 * CORES
ESTIMATE = 1.7
LIMIT = OVERDUE_FACTOR * ESTIMATE + OVERDUE_SECONDS
REVIEW_SECONDS = 0.1
POLL_SECONDS = 0.5
STARTED_AT = 100.0


@attrs.frozen
class Shown:
    """What a worker reports on a run.

    Attributes:
      progress: Progress in percent.
      usage: Used thousandths of a core, or None if it does not measure them.
      checkpoint: Newest checkpoint, or ''.
    """

    progress: int = 0
    usage: float | None = BUSY_USAGE
    checkpoint: str = ''


@attrs.define
class Scene:
    """A task that runs on the only worker."""

    cluster: ClusterState
    worker: Worker
    task: Task

    def report(self, shown: Shown, now: float) -> None:
        """Applies a report on the run."""
        run = make_running(
            self.task,
            self.task.run,
            shown.usage,
            shown.progress,
            shown.checkpoint,
        )
        Reconciler(self.cluster).reconcile(
            self.worker, make_report((run,)), now, now
        )

    def place_again(self, worker: Worker) -> None:
        """Ends the run and starts the next one on a worker."""
        self.cluster.end_run(self.task, EndKind.STOPPED, STARTED_AT)
        self.worker = worker
        run_task(self.cluster, self.task, worker, STARTED_AT)

    def find_hang(
        self,
        show: Callable[[float], Shown],
        until: float,
        poll_seconds: float = POLL_SECONDS,
    ) -> float | None:
        """Returns the run time at which the run is found to hang, or None.

        Args:
          show: Returns what the worker reports, by the run time in seconds.
          until: Run time at which the run ends.
          poll_seconds: Time between two reports.
        """
        polled = 0
        for review in range(math.ceil(until / REVIEW_SECONDS)):
            seconds = review * REVIEW_SECONDS
            if seconds >= (polled + 1) * poll_seconds:
                polled += 1
                self.report(show(seconds), STARTED_AT + seconds)
            if list_hanging(self.worker, STARTED_AT + seconds):
                return seconds
        return None


def make_scene(**fields: object) -> Scene:
    """Starts a task of a step on a worker."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(
        cluster,
        make_job('a', make_step(**{'estimated_seconds': ESTIMATE, **fields})),
    )
    task = find_task(cluster, 'a')
    run_task(cluster, task, worker, STARTED_AT)
    return Scene(cluster, worker, task)
