"""Deletes finished jobs, and cancellations of unknown ones, after a time."""

from __future__ import annotations

from collections.abc import Collection

import attrs

from lentilmount.control.cancellations import Cancellation, Cancellations
from lentilmount.control.keys import (
    CANCEL_SUFFIX,
    is_cancel_key,
    make_cancel_key,
    make_job_key,
    make_state_key,
)
from lentilmount.coordination.table import Delete, Key, Operation
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Job, Task

MARGIN_SECONDS = 30.0
"""Added to the retention time that the platform requires, as clocks of hosts
differ."""

MAX_REMOVALS = 5
"""Maximum number of jobs deleted in a write: each takes up to six of its 100
entries."""


@attrs.define
class Retention:
    """Selects finished jobs whose retention time has passed.

    Attributes:
      service: Name of the service.
      cluster: State of jobs, tasks and workers.
      seconds: How long a finished job is kept.
      early: Cancellations whose jobs are not known, kept for as long.
    """

    service: str
    cluster: ClusterState
    seconds: float
    early: Cancellations = attrs.Factory(Cancellations)

    def list_expired_cancellations(
        self, now: float, most: int
    ) -> list[Cancellation]:
        """Lists cancellations of unknown jobs that can be deleted."""
        return self.early.list_older(now - self._keep_seconds, most)

    def make_cancellation_removals(
        self, cancellations: list[Cancellation]
    ) -> list[Operation]:
        """Builds the deletion of the rows of cancellations."""
        return [
            Delete(make_cancel_key(self.service, c.job), c.version)
            for c in cancellations
        ]

    def forget_cancellations(self, cancellations: list[Cancellation]) -> None:
        """Removes cancellations whose rows are deleted."""
        for cancellation in cancellations:
            self.early.pop(cancellation.job)

    def forget_changed_cancellations(self, changed: Collection[Key]) -> None:
        """Removes cancellations whose rows have another version by now.

        Args:
          changed: Keys of changed rows, of any kind.
        """
        for key in changed:
            if is_cancel_key(key):
                self.early.pop(key.sort.removesuffix(CANCEL_SUFFIX))

    @property
    def _keep_seconds(self) -> float:
        return self.seconds + MARGIN_SECONDS

    def list_expired(self, now: float) -> list[Job]:
        """Lists up to `MAX_REMOVALS` jobs whose rows can be deleted."""
        expired = []
        for job in self.cluster.jobs.values():
            if not job.state.is_final or (
                now - job.ended_at <= self._keep_seconds
            ):
                continue
            if not any(map(_has_runs, job.tasks.values())):
                expired.append(job)
            if len(expired) == MAX_REMOVALS:
                break
        return expired

    def make_removals(self, jobs: list[Job]) -> list[Operation]:
        """Builds the deletion of the jobs' rows."""
        operations: list[Operation] = []
        for job in jobs:
            job_id = job.spec.id
            if job.row_version:
                key = make_job_key(self.service, job_id)
                operations.append(Delete(key, job.row_version))
            if job.cancel_version:
                key = make_cancel_key(self.service, job_id)
                operations.append(Delete(key, job.cancel_version))
            if job.version:
                key = make_state_key(self.service, job_id)
                operations.append(Delete(key, job.version))
        return operations

    def forget(self, jobs: list[Job]) -> None:
        """Removes jobs whose rows are deleted.

        Job and tasks refer to each other. With the cycle broken they are freed
        at once; otherwise they stay until a full garbage collection, which is
        rare, while 24 jobs per second leave about 0.7 MB behind.
        """
        for job in jobs:
            self.cluster.jobs.pop(job.spec.id, None)
            job.tasks.clear()


def _has_runs(task: Task) -> bool:
    """Returns whether a worker may be running a task, or an older run."""
    return task.phase.is_placed or task.older is not None
