"""What the owner of a service knows, and how it changes.

The book is the only place where a task changes its phase. Workers' own lists
are the truth about what runs: the book follows them, and only a worker's list
or a lease that has surely lapsed frees what a task takes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from lentilmount.scheduling.model import (
    EndedTask,
    Job,
    JobState,
    Task,
    TaskPhase,
    Worker,
    measure_intensity,
)
from lentilmount.scheduling.reports import (
    EndKind,
    WorkerEntry,
)
from lentilmount.scheduling.specs import JobSpec, TaskId

RUN_MARGIN = 8
"""By how much an inherited task's run number is raised beyond what is known.

The previous owner may have started runs that nobody has recorded; a worker
rejects a run that is not higher than one that ended there.
"""


def measure_critical_paths(spec: JobSpec) -> tuple[float, ...]:
    """Returns for each step the seconds of the longest chain it begins."""
    longest = [step.estimated_seconds for step in spec.steps]
    for number in reversed(range(len(spec.steps))):
        step = spec.steps[number]
        for before in step.after:
            least = spec.steps[before].estimated_seconds + longest[number]
            longest[before] = max(longest[before], least)
    return tuple(longest)


class ClusterState:
    """Jobs, tasks and workers of one service.

    Attributes:
      jobs: All jobs, by id.
      workers: All workers that run or may run something, by id.
      ready: Tasks that may be started now.
      dirty: Jobs whose row must be written.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.ready: dict[TaskId, Task] = {}
        self.dirty: dict[str, None] = {}

    # Jobs.

    def admit(self, spec: JobSpec, now: float, wall: float) -> Job:
        """Takes in a job; does nothing for one that is known."""
        known = self.jobs.get(spec.id)
        if known is not None:
            return known
        # An acceptance stamped by another host's clock may lie ahead of ours.
        age = min(max(0.0, wall - spec.accepted), 3600.0)
        job = Job(spec, accepted_at=now - age)
        job.critical_paths = measure_critical_paths(spec)
        chain = max(job.critical_paths, default=0.0)
        job.objective = spec.queue.stretch * chain + spec.queue.target_seconds
        self.jobs[spec.id] = job
        self.open_occurrences(job, wall)
        return job

    def create_due_tasks(self, wall: float) -> None:
        """Creates the tasks of all jobs' occurrences that are due."""
        for job in self.jobs.values():
            if job.spec.occurrences > job.occurrences:
                self.open_occurrences(job, wall)

    def open_occurrences(self, job: Job, wall: float) -> None:
        """Creates the tasks of the occurrences that are due."""
        spec = job.spec
        total = max(1, spec.occurrences)
        while job.occurrences < total and not job.state.is_final:
            if spec.occurrences and wall < spec.get_due(job.occurrences):
                return
            self.open_until(job, job.occurrences + 1)

    def open_until(self, job: Job, occurrences: int) -> None:
        """Creates the tasks of the first occurrences, whether due or not."""
        while job.occurrences < occurrences:
            self._open(job, job.occurrences)
            job.occurrences += 1

    def _open(self, job: Job, occurrence: int) -> None:
        for number, step in enumerate(job.spec.steps):
            job.remaining[occurrence, number] = step.count
            for index in range(step.count):
                task_id = TaskId(job.spec.id, occurrence, number, index)
                job.tasks[task_id] = Task(task_id, step, job)
        for number, step in enumerate(job.spec.steps):
            if not step.after:
                self._release(job, occurrence, number)

    def _release(self, job: Job, occurrence: int, number: int) -> None:
        """Makes the waiting tasks of a step ready."""
        for index in range(job.spec.steps[number].count):
            task = job.tasks[TaskId(job.spec.id, occurrence, number, index)]
            if task.phase is TaskPhase.WAITING:
                self.ready[task.id] = task

    def is_released(self, task: Task) -> bool:
        """Tells whether all earlier steps of a task are done."""
        return all(
            task.job.remaining[task.id.occurrence, before] == 0
            for before in task.spec.after
        )

    def cancel(self, job_id: str, now: float) -> list[Task]:
        """Cancels a job; returns its tasks that must be stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.state.is_final:
            return []
        return self.finish_job(job, JobState.CANCELLED, now)

    def finish_job(self, job: Job, state: JobState, now: float) -> list[Task]:
        """Ends a job; returns its tasks that must be stopped."""
        job.state = state
        job.ended_at = now
        self.dirty[job.spec.id] = None
        stopped = []
        for task in job.tasks.values():
            if task.phase is TaskPhase.WAITING:
                task.phase = TaskPhase.GIVEN_UP
                self.ready.pop(task.id, None)
            elif task.phase in (TaskPhase.STARTING, TaskPhase.RUNNING):
                self.begin_stop(task)
                stopped.append(task)
        return stopped

    def count_pending(self) -> dict[str, int]:
        """Counts the jobs of each queue of which nothing has begun.

        A start that was sent may never arrive, as in a zone cut; counted as
        begun, its job would neither wait nor run for as long as leases last.
        """
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            name = job.spec.queue.name
            waits = not job.has_started and not job.state.is_final
            counts[name] = counts.get(name, 0) + waits
        return counts

    # Tasks.

    def place(self, tasks: Iterable[Task], worker: Worker, now: float) -> None:
        """Puts tasks on a worker, all with the same run number."""
        members = list(tasks)
        self.number(members)
        for task in members:
            self.place_numbered(task, worker, now)

    def number(self, members: list[Task]) -> None:
        """Gives tasks that start together their next run number."""
        run = max(task.run + task.skipped for task in members) + 1
        for task in members:
            task.run = run
            task.skipped = 0

    def place_numbered(self, task: Task, worker: Worker, now: float) -> None:
        """Puts a task on a worker with the run number that it has."""
        task.phase = TaskPhase.STARTING
        task.worker = worker.id
        task.placed_at = now
        task.confirmed_at = math.inf
        task.start_deadline_ms = 0
        task.start_expired_at = math.inf
        task.stopped_at = math.inf
        task.cpu_percent = task.previous_cpu_percent = 100
        task.usage = None
        task.idle_since = math.inf
        worker.add(task)
        self.ready.pop(task.id, None)
        if not task.job.was_placed:
            task.job.first_placed_at = now
        self.mark_placed(task.job)

    def mark_placed(self, job: Job) -> None:
        """Notes that a task of a job was placed."""
        job.was_placed = True
        self.dirty[job.spec.id] = None

    def mark_started(self, job: Job) -> None:
        """Notes that a worker has begun a task of a job.

        Only then is the job shown as running: a start that was sent may never
        be carried out.
        """
        job.has_started = True
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.dirty[job.spec.id] = None

    def confirm_start(self, task: Task, run: int, now: float) -> None:
        """Takes in that a worker has started a run."""
        if task.run == run and task.phase is TaskPhase.STARTING:
            task.phase = TaskPhase.RUNNING
            task.confirmed_at = now
            self.mark_started(task.job)

    def reject_start(self, task: Task, run: int) -> None:
        """Takes in that a worker surely has not started a run."""
        if task.run == run and task.phase in (
            TaskPhase.STARTING,
            TaskPhase.STOPPING,
        ):
            self.requeue(task)

    def begin_stop(self, task: Task) -> None:
        """Marks a placed task as being stopped."""
        if task.phase in (TaskPhase.STARTING, TaskPhase.RUNNING):
            task.phase = TaskPhase.STOPPING

    def requeue(self, task: Task) -> None:
        """Frees what a task took; it waits again if its job goes on."""
        worker = self.workers.get(task.worker)
        if worker is not None:
            worker.remove(task)
        task.worker = ''
        self.dirty[task.job.spec.id] = None
        if task.job.state.is_final:
            task.phase = TaskPhase.GIVEN_UP
            return
        task.phase = TaskPhase.WAITING
        if self.is_released(task):
            self.ready[task.id] = task

    def end_run(self, task: Task, kind: EndKind, now: float) -> list[Task]:
        """Takes in how a placed task's run ended.

        Returns:
          Tasks that must be stopped because of it.
        """
        worker = task.worker
        task.last_ended_at = now
        if task.spec.fills and worker in self.workers:
            share = measure_intensity(task) * task.cpu_percent / 100
            left = EndedTask(task.spec.image, share, now)
            self.workers[worker].record_ended_task(left)
        self.requeue(task)
        if task.job.state.is_final:
            return []
        if kind is EndKind.DONE and not task.spec.lasting:
            return self.complete(task, now)
        if kind is EndKind.FAILED:
            task.failed_on.add(worker)
            return self.record_failure(task, task.run, now)
        return []

    def record_failure(self, task: Task, run: int, now: float) -> list[Task]:
        """Counts a run that failed, once, however often it is listed.

        Runs are told apart by their numbers: workers list an end until it is
        acknowledged, and a new owner may hear of them in any order. Lasting
        tasks may fail for ever.

        Returns:
          Tasks that must be stopped because the job has failed.
        """
        if task.spec.lasting:
            return []
        task.failed_runs.add(run)
        self.dirty[task.job.spec.id] = None
        if not self.is_given_up(task):
            return []
        return self.finish_job(task.job, JobState.FAILED, now)

    def is_given_up(self, task: Task) -> bool:
        """Tells whether a task has failed as often as it may."""
        failures = task.failures
        if task.spec.gang:
            failures = sum(t.failures for t in self.list_step(task))
        return failures >= task.job.spec.queue.max_attempts

    def list_step(self, task: Task) -> list[Task]:
        """Lists the tasks of a task's step and occurrence."""
        job, occurrence, step = task.id.job, task.id.occurrence, task.id.step
        return [
            task.job.tasks[TaskId(job, occurrence, step, index)]
            for index in range(task.spec.count)
        ]

    def complete(self, task: Task, now: float) -> list[Task]:
        """Marks a task as done; returns tasks that must be stopped."""
        done = [task]
        if task.spec.gang:
            # The members end together, and one end stands for all of them.
            done = self.list_step(task)
        stopped = []
        for member in done:
            if member.phase in (TaskPhase.STARTING, TaskPhase.RUNNING):
                self.begin_stop(member)
                stopped.append(member)
            if member.phase is TaskPhase.WAITING:
                self._mark_done(member, now)
        return stopped

    def _mark_done(self, task: Task, now: float) -> None:
        job = task.job
        task.phase = TaskPhase.DONE
        task.checkpoint = ''
        self.ready.pop(task.id, None)
        place = (task.id.occurrence, task.id.step)
        job.remaining[place] -= 1
        self.dirty[job.spec.id] = None
        if job.remaining[place]:
            return
        self._release_after(job, *place)
        if job.occurrences >= max(1, job.spec.occurrences) and not any(
            job.remaining.values()
        ):
            job.state = JobState.COMPLETED
            job.ended_at = now

    def _release_after(self, job: Job, occurrence: int, done: int) -> None:
        for number, step in enumerate(job.spec.steps):
            if done in step.after and all(
                job.remaining[occurrence, before] == 0 for before in step.after
            ):
                self._release(job, occurrence, number)

    def restore_done(self, task: Task, now: float) -> None:
        """Takes over from a row that a task is done."""
        task.job.has_started = True
        self._mark_done(task, now)

    def restore_placed(self, task: Task, worker: Worker) -> None:
        """Takes over from a row that a task may run on a worker."""
        task.phase = TaskPhase.RUNNING
        task.worker = worker.id
        worker.add(task)
        self.ready.pop(task.id, None)
        task.job.was_placed = True

    # Workers.

    def register_worker(self, entry: WorkerEntry) -> Worker:
        """Records a registration.

        See `end_worker_tasks` for a new incarnation.
        """
        worker = self.workers.get(entry.id)
        if worker is None:
            worker = Worker(entry)
            self.workers[entry.id] = worker
        worker.entry = entry
        worker.is_registered = True
        return worker

    def end_worker_tasks(self, worker: Worker, now: float) -> list[Task]:
        """Ends everything on a worker: its leases ran out or it restarted.

        Returns:
          The tasks that were there.
        """
        tasks = list(worker.tasks.values())
        for task in tasks:
            self.end_run(task, EndKind.LAPSED, now)
        return tasks
