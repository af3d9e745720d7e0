"""Quarantines faulty workers, and detects jobs that fail on any worker."""

from __future__ import annotations

import collections
from collections.abc import Mapping

import attrs

from lentilmount.batch.records import Task, WorkerRecord

WORKER_FAILURE_LIMIT = 3
"""Different jobs that fail in a row before a worker is quarantined."""

JOB_FAILURE_LIMIT = 3
"""Sound workers on which a job fails before it is given up."""

TOTAL_FAILURE_LIMIT = 12
"""Failures after which a job is given up, whatever the state of the workers."""

CLASS_FAILURE_LIMIT = 3
"""Sound workers on which a job class fails before the class is suspect."""

MAX_QUARANTINED_SHARE = 0.2
"""Maximum share of a slice's workers in quarantine.

If more workers fail, the cause is probably not the workers.
"""

QUARANTINE_SECONDS = 60.0
"""Duration of a worker's first quarantine; doubled for each further one."""

MAX_QUARANTINE_SECONDS = 3600.0


@attrs.define
class _WorkerState:
    """Failure state of a worker.

    Attributes:
      failures: Classes of the jobs failed since the last success, by job.
      quarantined_until: Monotonic time when the quarantine ends and probation
        begins.
      quarantine_seconds: Duration of the next quarantine.
      on_probation: Whether the worker may hold only one task at a time.
    """

    failures: dict[str, str] = attrs.Factory(dict)
    quarantined_until: float = 0.0
    quarantine_seconds: float = QUARANTINE_SECONDS
    on_probation: bool = False


class Quarantine:
    """Attributes failures to workers or to jobs, and decides on quarantines.

    A failure counts against a worker unless the job's class fails on all
    workers, and against a job unless the worker fails other jobs too. The
    worker's row stores whether it is quarantined, but not the failures: a new
    owner restarts the quarantine time, which is the safe choice.
    """

    def __init__(self) -> None:
        self._workers: collections.defaultdict[str, _WorkerState] = (
            collections.defaultdict(_WorkerState)
        )
        self._classes: collections.defaultdict[str, set[str]] = (
            collections.defaultdict(set)
        )

    def record_failure(self, task: Task, worker: str) -> None:
        """Records that a job failed on a worker."""
        self._workers[worker].failures[task.resource] = _get_class_name(task)
        self._classes[_get_class_name(task)].add(worker)

    def record_success(self, task: Task, worker: str) -> None:
        """Records that a job completed on a worker."""
        self._classes.pop(_get_class_name(task), None)
        state = self._workers[worker]
        state.failures.clear()
        if state.on_probation:
            state.on_probation = False
            state.quarantine_seconds = QUARANTINE_SECONDS

    def is_class_suspect(self, name: str) -> bool:
        """Returns whether a class failed on several sound workers in a row."""
        sound = [
            worker
            for worker in self._classes.get(name, ())
            if not self._fails_other_classes(worker, name)
        ]
        return len(sound) >= CLASS_FAILURE_LIMIT

    def _fails_other_classes(self, worker: str, name: str) -> bool:
        return any(
            other != name for other in self._workers[worker].failures.values()
        )

    def count_failures(self, worker: str) -> int:
        """Returns the number of failed jobs that count against a worker."""
        return sum(
            not self.is_class_suspect(name)
            for name in self._workers[worker].failures.values()
        )

    def should_give_up(
        self, task: Task, failed_on: tuple[str, ...], workers: int
    ) -> bool:
        """Returns whether a job itself is faulty and should be given up.

        Args:
          task: The job.
          failed_on: Workers on which it failed, including the last one.
          workers: Number of workers in the slice.
        """
        if len(failed_on) >= TOTAL_FAILURE_LIMIT:
            return True
        sound_workers = {
            worker
            for worker in failed_on
            if set(self._workers[worker].failures) <= {task.resource}
            or self.is_class_suspect(_get_class_name(task))
        }
        return len(sound_workers) >= min(JOB_FAILURE_LIMIT, workers)

    def is_on_probation(self, worker: str) -> bool:
        """Returns whether a worker may hold only one task at a time."""
        return self._workers[worker].on_probation

    def review(
        self, records: Mapping[str, WorkerRecord], now: float
    ) -> list[WorkerRecord]:
        """Returns updated records of workers whose quarantine begins or ends.

        Args:
          records: All worker records of the slice by name.
          now: Monotonic time.
        """
        changed = []
        quarantined_count = sum(bool(r.quarantined) for r in records.values())
        max_quarantined = max(1, int(MAX_QUARANTINED_SHARE * len(records)))
        for record in records.values():
            state = self._workers[record.name]
            failure_count = self.count_failures(record.name)
            if record.quarantined:
                if not state.quarantined_until:
                    state.quarantined_until = now + state.quarantine_seconds
                elif now >= state.quarantined_until:
                    changed.append(self._start_probation(record, state))
                    quarantined_count -= 1
                continue
            threshold = 1 if state.on_probation else WORKER_FAILURE_LIMIT
            if (
                failure_count >= threshold
                and quarantined_count < max_quarantined
            ):
                changed.append(
                    self._start_quarantine(record, state, failure_count, now)
                )
                quarantined_count += 1
        return changed

    def _start_probation(
        self, record: WorkerRecord, state: _WorkerState
    ) -> WorkerRecord:
        state.quarantined_until = 0.0
        state.on_probation = True
        state.failures.clear()
        return attrs.evolve(record, quarantined='')

    def _start_quarantine(
        self,
        record: WorkerRecord,
        state: _WorkerState,
        failure_count: int,
        now: float,
    ) -> WorkerRecord:
        state.quarantined_until = now + state.quarantine_seconds
        state.quarantine_seconds = min(
            2 * state.quarantine_seconds, MAX_QUARANTINE_SECONDS
        )
        state.on_probation = False
        return attrs.evolve(
            record,
            quarantined=f'failed {failure_count} different jobs in a row',
        )


def _get_class_name(task: Task) -> str:
    return f'{task.team}/{task.job_class}'
