"""Telling workers that fail everything from jobs that fail everywhere."""

from __future__ import annotations

import collections
from collections.abc import Mapping

import attrs

from lentilmount.batch.records import Task, WorkerRecord

FAILURES_OF_WORKER = 3
"""Different jobs that fail in a row on a worker which is at fault."""

FAILURES_OF_JOB = 3
"""Sound workers on which a job fails that is at fault itself."""

FAILURES_IN_ALL = 12
"""Failures after which a job is given up whatever the workers are."""

WORKERS_OF_CLASS = 3
"""Workers on which a class fails in a row before the class is suspect."""

MOST_QUARANTINED = 0.2
"""Share of a slice's workers; beyond it something else must be at fault."""

PROBATION_SECONDS = 60.0
LONGEST_SECONDS = 3600.0


@attrs.define
class _Worker:
    """What is remembered of a worker.

    Attributes:
      failures: Classes of jobs that failed since the last success, by job.
      until: When a quarantine ends and probation begins.
      seconds: Length of the next quarantine.
      probation: Whether it may hold one job at a time only.
    """

    failures: dict[str, str] = attrs.Factory(dict)
    until: float = 0.0
    seconds: float = PROBATION_SECONDS
    probation: bool = False


class Quarantine:
    """Evidence against workers and against classes of jobs.

    A failure counts against a worker unless the job's class fails wherever it
    goes, and against a job unless the worker fails other jobs too. Whether a
    worker is quarantined is stored in its row; the evidence is not: a new
    owner begins the quarantine's time anew, which is the safe side.
    """

    def __init__(self) -> None:
        self._workers: collections.defaultdict[str, _Worker] = (
            collections.defaultdict(_Worker)
        )
        self._classes: collections.defaultdict[str, set[str]] = (
            collections.defaultdict(set)
        )

    def record_failure(self, task: Task, worker: str) -> None:
        """Takes in that a job failed on a worker."""
        self._workers[worker].failures[task.resource] = _name(task)
        self._classes[_name(task)].add(worker)

    def record_success(self, task: Task, worker: str) -> None:
        """Takes in that a job completed on a worker."""
        self._classes.pop(_name(task), None)
        state = self._workers[worker]
        state.failures.clear()
        if state.probation:
            state.probation = False
            state.seconds = PROBATION_SECONDS

    def is_class_suspect(self, name: str) -> bool:
        """Tells whether a class failed on several workers in a row."""
        sound = [
            worker
            for worker in self._classes.get(name, ())
            if not self._fails_other_classes(worker, name)
        ]
        return len(sound) >= WORKERS_OF_CLASS

    def _fails_other_classes(self, worker: str, name: str) -> bool:
        return any(
            other != name for other in self._workers[worker].failures.values()
        )

    def count_against(self, worker: str) -> int:
        """Counts the different jobs that speak against a worker."""
        return sum(
            not self.is_class_suspect(name)
            for name in self._workers[worker].failures.values()
        )

    def should_give_up(
        self, task: Task, failed_on: tuple[str, ...], workers: int
    ) -> bool:
        """Tells whether a job is at fault itself and is to be given up.

        Args:
          task: The job.
          failed_on: Workers on which it failed, the last one included.
          workers: How many workers there are to try.
        """
        if len(failed_on) >= FAILURES_IN_ALL:
            return True
        witnesses = {
            worker
            for worker in failed_on
            if set(self._workers[worker].failures) <= {task.resource}
            or self.is_class_suspect(_name(task))
        }
        return len(witnesses) >= min(FAILURES_OF_JOB, workers)

    def is_on_probation(self, worker: str) -> bool:
        """Tells whether a worker may hold one job only."""
        return self._workers[worker].probation

    def review(
        self, records: Mapping[str, WorkerRecord], now: float
    ) -> list[WorkerRecord]:
        """Returns the records whose quarantine begins or ends."""
        changed = []
        held = sum(bool(r.quarantined) for r in records.values())
        most = max(1, int(MOST_QUARANTINED * len(records)))
        for record in records.values():
            state = self._workers[record.name]
            against = self.count_against(record.name)
            if record.quarantined:
                if not state.until:
                    state.until = now + state.seconds
                elif now >= state.until:
                    changed.append(self._try_again(record, state))
                    held -= 1
                continue
            enough = 1 if state.probation else FAILURES_OF_WORKER
            if against >= enough and held < most:
                changed.append(self._shut_off(record, state, against, now))
                held += 1
        return changed

    def _try_again(self, record: WorkerRecord, state: _Worker) -> WorkerRecord:
        state.until = 0.0
        state.probation = True
        state.failures.clear()
        return attrs.evolve(record, quarantined='')

    def _shut_off(
        self, record: WorkerRecord, state: _Worker, against: int, now: float
    ) -> WorkerRecord:
        state.until = now + state.seconds
        state.seconds = min(2 * state.seconds, LONGEST_SECONDS)
        state.probation = False
        return attrs.evolve(
            record, quarantined=f'failed {against} different jobs in a row'
        )


def _name(task: Task) -> str:
    return f'{task.team}/{task.job_class}'
