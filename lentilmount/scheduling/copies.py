"""Second runs of tasks whose step allows duplicates.

A task has one placement, that of its newest run. While a copy runs, the older
run is a `Task` of its own among those of its worker: it takes its room, and is
polled, stopped and lost as any other. The two refer to each other by
`Task.older` and `Task.newer`. If the newer run ends without being done, the
older one is the placement again.
"""

from __future__ import annotations

import attrs

from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.run_times import RunTimes

_RUN_FIELDS = (
    *('phase', 'run', 'worker', 'checkpoint', 'placed_at', 'confirmed_at'),
    *('start_follows_answer', 'start_sent_at', 'start_deadline_ms'),
    *('start_expired_at', 'stopped_at', 'stop_accepted_at', 'is_stop_overdue'),
    *('cpu_percent', 'previous_cpu_percent', 'throttled_at', 'usage'),
    *('idle_since', 'reported_at', 'progress', 'progress_signs'),
    'progressed_at',
)
"""Fields of a task that tell of its placement."""


@attrs.frozen
class CopyOutcome:
    """Which of two runs of a task was done first.

    Attributes:
      run: Number of the run that was done.
      worker: Id of its worker.
      other: The other run, which is being stopped.
      is_copy: Whether the copy was first.
    """

    run: int
    worker: str
    other: Task
    is_copy: bool


@attrs.define
class Copies:
    """The second runs of the tasks of a service.

    Attributes:
      workers: All workers by id.
      is_enabled: Whether tasks may be copied at all.
      run_times: Run times of finished tasks.
      outcomes: Outcomes that were not logged yet.
    """

    workers: dict[str, Worker]
    is_enabled: bool = False
    run_times: RunTimes = attrs.Factory(RunTimes)
    outcomes: list[CopyOutcome] = attrs.Factory(list)
    _stops: list[Task] = attrs.Factory(list)

    def allows(self, task: Task) -> bool:
        """Returns whether two runs of a task may go on at a time."""
        spec = task.spec
        is_single = not (spec.lasting or spec.gang or spec.fills)
        return self.is_enabled and spec.duplicates and is_single

    def record_done(self, task: Task, now: float) -> None:
        """Learns from a run that is done, and notes if it was the first."""
        if not self.is_enabled:
            return
        if task.older is None:
            self.run_times.record(task, now)
            return
        is_copy = task.run > task.older.run
        self.outcomes.append(
            CopyOutcome(task.run, task.worker, task.older, is_copy)
        )

    def take_outcomes(self) -> list[CopyOutcome]:
        """Removes and returns the outcomes that were not logged yet."""
        outcomes, self.outcomes = self.outcomes, []
        return outcomes

    def request_stop(self, run: Task) -> None:
        """Requests that the stop of a run in phase STOPPING is sent."""
        if run not in self._stops:
            self._stops.append(run)

    def take_stops(self) -> list[Task]:
        """Removes and returns the runs whose stop must be sent."""
        stops, self._stops = self._stops, []
        return [run for run in stops if run.phase is TaskPhase.STOPPING]

    def split(self, task: Task) -> Task:
        """Makes the run of a running task its older one, and returns that.

        The task itself is waiting then, and must be placed.
        """
        older = attrs.evolve(
            task,
            newer=task,
            is_watched=False,
            failed_runs=set(),
            failed_on=set(),
            crashed_runs=set(),
            watched_starts={},
        )
        task.older = older
        self._replace(task, older)
        task.phase = TaskPhase.WAITING
        task.worker = ''
        return older

    def exchange(self, task: Task) -> Task:
        """Makes the older run of a task its placement, and returns the other.

        Both keep their workers.
        """
        other = task.older
        assert other is not None
        newest = max(task.run, other.run)
        for name in _RUN_FIELDS:
            value = getattr(task, name)
            setattr(task, name, getattr(other, name))
            setattr(other, name, value)
        task.skipped += newest - task.run
        self._replace(other, task)
        self._replace(task, other)
        if task.phase is TaskPhase.STOPPING:
            self.request_stop(task)
        return other

    def end_older(self, older: Task) -> None:
        """Ends the older run of a task, which has no placement any more."""
        older.phase = TaskPhase.GIVEN_UP
        if older.newer is not None and older.newer.older is older:
            older.newer.older = None

    def _replace(self, old: Task, new: Task) -> None:
        """Replaces a run by another object on the worker of that object."""
        worker = self.workers.get(new.worker)
        if worker is not None:
            worker.remove(old)
            worker.add(new)


def find_run(task: Task, worker: str, run: int) -> Task:
    """Returns the run of a task that a worker speaks of.

    That is the older one if the worker has it, and otherwise the task itself.
    """
    older = task.older
    if older is not None and older.worker == worker and run <= older.run:
        return older
    return task


def find_ended(run: Task, other: Task | None, number: int) -> Task:
    """Returns which of two runs has a number, after one of them has ended."""
    is_other = other is not None and other.run == number != run.run
    return other if is_other and other is not None else run
