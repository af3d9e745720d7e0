"""Opens the occurrences of jobs, and the steps in them, as there is room.

Load pattern: a job is due many more times than its tasks can run at once, since
it starts in the past, comes at short intervals, or its workers were away. What
is due is a number; tasks exist only for steps that are open. An occurrence is
opened, in the order in which they are due, while few tasks of its first steps
wait for a worker, and what was done is dropped then. So memory, the state row
and a placement pass depend on what is at work and not on what was ever due.
"""

from __future__ import annotations

import bisect
import collections
import math

import attrs

from lentilmount.scheduling.model import Job, Task, TaskPhase
from lentilmount.scheduling.ranges import Ranges
from lentilmount.scheduling.specs import JobSpec, TaskId

MAX_WAITING_TASKS = 100
"""Number of waiting tasks of a step, over all occurrences of a job, from which
on no more are opened. A pass must find enough of them for all free workers; it
opens more for the next one."""

MAX_OPEN_TASKS = 300
"""Number of unfinished tasks, over all occurrences of a job, from which on no
more steps are opened. All of them are in its state row, of 64 KB at most; a
task with a checkpoint that may have crashed its worker takes 130 bytes."""

MAX_OPEN_OCCURRENCES = 800
"""Number of open occurrences of a job from which on no more are opened. The
steps of each that are done take some 20 bytes of the state row."""


def count_due(spec: JobSpec, wall_time: float) -> int:
    """Returns how many occurrences of a job are due at a Unix time."""
    if not spec.occurrences:
        return 1
    numbers = range(spec.occurrences)
    return bisect.bisect_right(numbers, wall_time, key=spec.get_due)


@attrs.define
class _Load:
    """What the open steps of a job take.

    Attributes:
      waiting: Number of waiting tasks by number of the step.
      unfinished: Number of tasks that are not done.
      occurrences: Number of open occurrences.
    """

    waiting: collections.Counter[int]
    unfinished: int
    occurrences: int

    def admits_step(self, number: int) -> bool:
        """Returns whether a step may be opened in one more occurrence."""
        is_short = self.waiting[number] < MAX_WAITING_TASKS
        return is_short and self.unfinished < MAX_OPEN_TASKS

    def admits_occurrence(self, job: Job) -> bool:
        """Returns whether the next occurrence of a job may be opened."""
        is_below_limit = self.occurrences < MAX_OPEN_OCCURRENCES
        return is_below_limit and all(
            map(self.admits_step, job.spec.first_steps)
        )

    def add(self, job: Job, number: int) -> None:
        """Adds the tasks of a step that was opened."""
        count = job.spec.steps[number].count
        self.waiting[number] += count
        self.unfinished += count


def _measure_load(job: Job) -> _Load:
    waiting: collections.Counter[int] = collections.Counter()
    unfinished = 0
    for task in job.tasks.values():
        if task.phase is not TaskPhase.DONE:
            unfinished += 1
            waiting[task.id.step] += task.phase is TaskPhase.WAITING
    occurrences = len(job.remaining) // len(job.spec.steps)
    return _Load(waiting, unfinished, occurrences)


@attrs.define
class Occurrences:
    """Opens occurrences and steps of the jobs of a service.

    Attributes:
      jobs: All jobs by id.
      ready: Tasks that may be placed now, by id.
      backlog: Jobs of which an occurrence is due, or a step could begin, that
        is not open yet, by id.
    """

    jobs: dict[str, Job]
    ready: dict[TaskId, Task]
    backlog: dict[str, Job] = attrs.Factory(dict)
    _wall_time: float = -math.inf

    def open_due(self, wall_time: float) -> None:
        """Opens due occurrences of all jobs, as far as there is room.

        Args:
          wall_time: Unix time in seconds.
        """
        self._wall_time = wall_time
        for job in self.jobs.values():
            if job.spec.occurrences > job.occurrences:
                self._open_next(job)
        self.open_backlog()

    def open_backlog(self) -> None:
        """Opens what was due at the last check and had no room then."""
        for job in list(self.backlog.values()):
            self._open_next(job)

    def open_first(self, job: Job, wall_time: float) -> None:
        """Opens the due occurrences of a new job, as far as there is room."""
        self._wall_time = wall_time
        self._open_next(job)

    def count_held(self, job: Job) -> int:
        """Returns how many due occurrences of a job are not open yet."""
        if job.state.is_final:
            return 0
        due = count_due(job.spec, self._wall_time)
        return max(0, due - job.occurrences)

    def _open_next(self, job: Job) -> None:
        """Opens steps and due occurrences of a job until there is no room."""
        self.backlog.pop(job.spec.id, None)
        if job.state.is_final:
            return
        occurrence = self._find_due(job)
        if occurrence is not None or job.held_steps:
            self._drop_done(job)
        load = _measure_load(job)
        self._open_held_steps(job, load)
        while occurrence is not None and load.admits_occurrence(job):
            self.open_occurrence(job, occurrence)
            for number in job.spec.first_steps:
                load.add(job, number)
            load.occurrences += 1
            job.occurrences = occurrence + 1
            occurrence = self._find_due(job)
        if occurrence is not None or job.held_steps:
            self.backlog[job.spec.id] = job

    def _find_due(self, job: Job) -> int | None:
        """Returns the next occurrence to be opened, None if none is due."""
        occurrence = job.finished.find_missing(job.occurrences)
        if occurrence >= max(1, job.spec.occurrences):
            return None
        return occurrence if self._is_due(job, occurrence) else None

    def _is_due(self, job: Job, occurrence: int) -> bool:
        if not job.spec.occurrences:
            return True
        return self._wall_time >= job.spec.get_due(occurrence)

    def _open_held_steps(self, job: Job, load: _Load) -> None:
        still_held = []
        for occurrence, number in sorted(job.held_steps):
            if not load.admits_step(number):
                still_held.append((occurrence, number))
                continue
            self._mark_ready(job, occurrence, number)
            load.add(job, number)
        job.held_steps = still_held

    def open_occurrence(self, job: Job, occurrence: int) -> None:
        """Opens an occurrence, whether it is due or not, and its first steps.

        Nothing changes if it is open already.
        """
        if (occurrence, 0) in job.remaining:
            return
        for number, step in enumerate(job.spec.steps):
            job.remaining[occurrence, number] = step.count
        for number in job.spec.first_steps:
            self._mark_ready(job, occurrence, number)

    def begin_step(self, job: Job, occurrence: int, number: int) -> None:
        """Opens a step whose predecessors are done, once there is room."""
        is_shared = len(job.remaining) > len(job.spec.steps)
        if is_shared and not _measure_load(job).admits_step(number):
            job.held_steps.append((occurrence, number))
            self.backlog[job.spec.id] = job
            return
        self._mark_ready(job, occurrence, number)

    def _mark_ready(self, job: Job, occurrence: int, number: int) -> None:
        """Adds the waiting tasks of a step to the ready tasks."""
        for task in self._open_step(job, occurrence, number):
            if task.phase is TaskPhase.WAITING:
                self.ready[task.id] = task

    def _open_step(self, job: Job, occurrence: int, number: int) -> list[Task]:
        """Creates the tasks of a step unless they exist, and returns them."""
        step = job.spec.steps[number]
        over = job.state.is_final
        phase = TaskPhase.GIVEN_UP if over else TaskPhase.WAITING
        tasks = []
        for index in range(step.count):
            task_id = TaskId(job.spec.id, occurrence, number, index)
            task = job.tasks.get(task_id)
            if task is None:
                task = Task(task_id, step, job, phase)
                job.tasks[task_id] = task
            tasks.append(task)
        return tasks

    def find_task(self, job: Job, task_id: TaskId) -> Task | None:
        """Returns a task of a job, opening its step if it is not open.

        An owner whose starts are in no row may have opened it before this one.

        Returns:
          The task, or None if there is no such task, its step is done and was
          dropped, or its occurrence is not due.
        """
        task = job.tasks.get(task_id)
        if task is not None or not self._is_openable(job, task_id):
            return task
        self.open_occurrence(job, task_id.occurrence)
        self._open_step(job, task_id.occurrence, task_id.step)
        return job.tasks[task_id]

    def _is_openable(self, job: Job, task_id: TaskId) -> bool:
        spec = job.spec
        if task_id.occurrence >= max(1, spec.occurrences):
            return False
        if task_id.step >= len(spec.steps):
            return False
        if task_id.index >= spec.steps[task_id.step].count:
            return False
        if job.is_step_done(task_id.occurrence, task_id.step):
            return False
        if (task_id.occurrence, 0) in job.remaining:
            return True
        return not job.state.is_final and self._is_due(job, task_id.occurrence)

    def skip_step(self, job: Job, occurrence: int, number: int) -> None:
        """Drops the tasks of a step of which it is known that it is done."""
        job.remaining[occurrence, number] = 0
        for index in range(job.spec.steps[number].count):
            task_id = TaskId(job.spec.id, occurrence, number, index)
            self.ready.pop(task_id, None)
            job.tasks.pop(task_id, None)

    def restore_finished(self, job: Job, finished: list[int]) -> None:
        """Restores from a state row which occurrences are finished.

        Args:
          job: The job, of which the first due occurrences are open.
          finished: Ranges of occurrences, as encoded.
        """
        job.finished = Ranges.decode(finished)
        for task_id in list(job.tasks):
            if task_id.occurrence in job.finished:
                self.ready.pop(task_id, None)
                del job.tasks[task_id]
        for key in list(job.remaining):
            if key[0] in job.finished:
                del job.remaining[key]

    def _drop_done(self, job: Job) -> None:
        """Drops the tasks of steps that are done, and finished occurrences.

        A step of which an older run goes on is kept.
        """
        done, job.done_steps = job.done_steps, []
        for occurrence, number in done:
            ids = [
                TaskId(job.spec.id, occurrence, number, index)
                for index in range(job.spec.steps[number].count)
            ]
            tasks = filter(None, map(job.tasks.get, ids))
            if any(task.older is not None for task in tasks):
                job.done_steps.append((occurrence, number))
                continue
            for task_id in ids:
                job.tasks.pop(task_id, None)
        kept = {occurrence for occurrence, _ in job.done_steps}
        for occurrence in {occurrence for occurrence, _ in done} - kept:
            if occurrence in job.finished:
                for number in range(len(job.spec.steps)):
                    del job.remaining[occurrence, number]
