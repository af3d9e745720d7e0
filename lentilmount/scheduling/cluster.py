"""In-memory state of the jobs, tasks and workers of one service.

All phase changes of tasks go through `ClusterState`. The reports of workers are
the source of truth about what runs: only a report, or a lease that has
certainly expired, releases the resources of a task.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from lentilmount.scheduling.copies import Copies, find_ended
from lentilmount.scheduling.crashes import (
    list_doubtful,
    list_suspects,
    record_start,
)
from lentilmount.scheduling.durations import StepDurations
from lentilmount.scheduling.history import (
    ChangeKind,
    ChangeReason,
    PlacementChange,
    PlacementHistory,
)
from lentilmount.scheduling.model import (
    EndedTask,
    Job,
    JobState,
    Task,
    TaskPhase,
    Worker,
    measure_intensity,
)
from lentilmount.scheduling.occurrences import Occurrences
from lentilmount.scheduling.ranges import Ranges
from lentilmount.scheduling.reports import (
    EndKind,
    StaleRun,
    WorkerEntry,
)
from lentilmount.scheduling.specs import (
    JobSpec,
    TaskId,
    measure_critical_paths,
)
from lentilmount.scheduling.suspects import CrashSuspects
from lentilmount.version_times import AgeBounds

RUN_NUMBER_MARGIN = 8
"""How far the run number of an inherited task is raised above the known one.

The previous owner may have started runs that were never recorded, and a worker
rejects a run whose number is not above that of a run that ended there."""


HOLD_SECONDS = 30.0
"""Time after which a late start of an older run is assumed never to be executed
on a restarted worker, even if the worker has accepted no stop of it."""

MAX_AGE_SECONDS = 3600.0
"""Age by the clocks of hosts beyond which they cannot be right."""

UNKNOWN_AGE = AgeBounds()


def _is_unsent(task: Task) -> bool:
    """Returns whether a task is placed and its start was not sent yet."""
    is_sent = task.start_sent_at < math.inf
    return task.phase is TaskPhase.STARTING and not is_sent


class ClusterState:
    """State of the jobs, tasks and workers of one service.

    Attributes:
      jobs: All jobs by id.
      workers: All workers that run or may run tasks, by id.
      ready: Tasks that may be placed now, by id.
      dirty: Ids of the jobs whose state row must be written; values are unused.
      unreadable_jobs: Ids of jobs whose rows cannot be decoded.
      jobs_as_of: Monotonic time up to which all rows of jobs are known.
      history: Changes of placements, to be logged.
      suspects: Tasks that may have crashed workers.
      copies: Second runs of tasks.
      durations: Learned durations of steps.
      occurrences: Opens the occurrences of jobs and the steps in them.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.ready: dict[TaskId, Task] = {}
        self.dirty: dict[str, None] = {}
        self.unreadable_jobs: set[str] = set()
        self.jobs_as_of = -math.inf
        self.history = PlacementHistory()
        self.suspects = CrashSuspects(self.jobs, self.workers, self.dirty)
        self.copies = Copies(self.workers)
        self.durations = StepDurations()
        self.occurrences = Occurrences(self.jobs, self.ready)

    # Jobs.

    def admit(
        self,
        spec: JobSpec,
        now: float,
        wall_time: float,
        age_bounds: AgeBounds = UNKNOWN_AGE,
    ) -> Job:
        """Adds a job and opens what is due, unless it is known already.

        Args:
          spec: The job.
          now: Monotonic time in seconds.
          wall_time: Unix time in seconds.
          age_bounds: Bounds of the time since the job was accepted. Its own
            time of acceptance is by the clock of another host, which may be
            off by any amount.
        """
        existing = self.jobs.get(spec.id)
        if existing is not None:
            return existing
        age = min(max(0.0, wall_time - spec.accepted), MAX_AGE_SECONDS)
        age = age_bounds.clamp(age)
        job = Job(spec, accepted_at=now - age, finished=Ranges())
        job.critical_paths = measure_critical_paths(spec)
        job.durations = self.durations.get_ratio(spec.queue.name)
        self.jobs[spec.id] = job
        self.occurrences.open_first(job, wall_time)
        return job

    def find_task(self, name: str) -> Task | None:
        """Returns the task with a formatted id, or None if it is not known.

        Its step is opened if it is due; see `Occurrences.find_task`.
        """
        task_id = TaskId.parse(name)
        if task_id is None:
            return None
        job = self.jobs.get(task_id.job)
        if job is None:
            return None
        return self.occurrences.find_task(job, task_id)

    def is_needless(self, name: str, listed_at: float) -> bool:
        """Returns whether the run of an unknown task must certainly be stopped.

        That is if its job is over, its step is done, or no row held the job
        when the run was there already: the row of a job is written before any
        of its tasks is started.

        Args:
          name: Formatted id of the task.
          listed_at: Monotonic time at which a report first listed the run.
        """
        task_id = TaskId.parse(name)
        if task_id is None or task_id.job in self.unreadable_jobs:
            return False
        job = self.jobs.get(task_id.job)
        if job is not None:
            is_done = job.is_step_done(task_id.occurrence, task_id.step)
            return job.state.is_final or is_done
        return listed_at < self.jobs_as_of

    def are_predecessors_done(self, task: Task) -> bool:
        """Returns whether all steps that a task depends on are done."""
        return all(
            task.job.is_step_done(task.id.occurrence, predecessor)
            for predecessor in task.spec.after
        )

    def cancel(self, job_id: str, now: float) -> list[Task]:
        """Cancels a job and returns its tasks that must be stopped."""
        job = self.jobs.get(job_id)
        if job is None or job.state.is_final:
            return []
        return self.finish_job(job, JobState.CANCELLED, now)

    def finish_job(self, job: Job, state: JobState, now: float) -> list[Task]:
        """Sets a job's final state and returns the tasks to be stopped."""
        job.state = state
        job.ended_at = now
        self.dirty[job.spec.id] = None
        stopping = []
        for task in job.tasks.values():
            if task.phase is TaskPhase.WAITING:
                task.phase = TaskPhase.GIVEN_UP
                self.ready.pop(task.id, None)
            elif task.phase in (TaskPhase.STARTING, TaskPhase.RUNNING):
                self.begin_stop(task)
                stopping.append(task)
            self._stop_older(task)
        return stopping

    def count_pending(self) -> dict[str, int]:
        """Returns the number of jobs by queue of which no task has started.

        Placed tasks do not count as started: a start command may never arrive,
        for example during a network partition between zones. The job would then
        be shown as neither pending nor running until the leases expire.
        """
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            name = job.spec.queue.name
            is_pending = not job.has_started and not job.state.is_final
            counts[name] = counts.get(name, 0) + is_pending
        return counts

    # Tasks.

    def place(self, tasks: Iterable[Task], worker: Worker, now: float) -> None:
        """Places tasks on a worker, all with the same run number."""
        members = list(tasks)
        self.assign_run_number(members)
        for task in members:
            self.place_with_run_number(task, worker, now)

    def start_copy(self, task: Task, worker: Worker, now: float) -> None:
        """Places the next run of a running task beside that run."""
        self.copies.split(task)
        task.is_copied = True
        self.place([task], worker, now)

    def assign_run_number(self, members: list[Task]) -> None:
        """Assigns the next run number to tasks that start together."""
        run = max(task.run + task.skipped for task in members) + 1
        for task in members:
            task.run = run
            task.skipped = 0

    def place_with_run_number(
        self, task: Task, worker: Worker, now: float
    ) -> None:
        """Places a task on a worker, keeping its assigned run number."""
        task.phase = TaskPhase.STARTING
        task.worker = worker.id
        task.placed_at = now
        task.confirmed_at = math.inf
        task.start_sent_at = math.inf
        task.start_follows_answer = False
        task.start_deadline_ms = 0
        task.start_expired_at = math.inf
        task.stopped_at = math.inf
        task.cpu_percent = task.previous_cpu_percent = 100
        task.forget_reports()
        task.progress = None if task.checkpoint else 0
        if task.is_watched:
            record_start(task, worker)
        worker.add(task)
        self.ready.pop(task.id, None)
        if not task.job.was_placed:
            task.job.first_placed_at = now
        self.mark_placed(task.job)

    def mark_placed(self, job: Job) -> None:
        """Records that a task of a job was placed."""
        job.was_placed = True
        self.dirty[job.spec.id] = None

    def mark_started(self, job: Job) -> None:
        """Records that a worker has started a task of a job.

        The job is shown as running only from then on, because a start command
        may never be carried out.
        """
        job.has_started = True
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
            self.dirty[job.spec.id] = None

    def confirm_start(self, task: Task, run: int, now: float) -> None:
        """Records that a worker has started a run."""
        if task.run == run and task.phase is TaskPhase.STARTING:
            task.phase = TaskPhase.RUNNING
            task.confirmed_at = now
            self.mark_started(task.job)
            if task.is_watched and task.worker in self.workers:
                self.workers[task.worker].change_count += 1

    def reject_start(
        self,
        task: Task,
        run: int,
        reason: ChangeReason | None = ChangeReason.REJECTED,
    ) -> None:
        """Records that a worker has certainly not started a run.

        Args:
          task: The task.
          run: The run.
          reason: See `requeue`.
        """
        if task.run == run and task.phase in (
            TaskPhase.STARTING,
            TaskPhase.STOPPING,
        ):
            self.requeue(task, reason)

    def begin_stop(self, task: Task) -> None:
        """Marks a placed task as being stopped."""
        if task.phase in (TaskPhase.STARTING, TaskPhase.RUNNING):
            task.phase = TaskPhase.STOPPING
            self._forget_stop(task)

    def _stop_older(self, task: Task) -> None:
        """Stops the older run of a task, which is over or to be stopped."""
        older = task.older
        if older is None:
            return
        if _is_unsent(older):
            self.requeue(older, ChangeReason.NEVER_SENT)
            return
        self.begin_stop(older)
        self.copies.request_stop(older)

    def accept_stop(self, task: Task, now: float) -> None:
        """Records that the worker of a task has accepted its stop."""
        task.stopped_at = min(task.stopped_at, now)
        task.stop_accepted_at = now
        task.is_stop_overdue = False

    def _forget_stop(self, task: Task) -> None:
        task.stop_accepted_at = math.inf
        task.is_stop_overdue = False

    def record_change(
        self,
        task: Task,
        kind: ChangeKind,
        reason: ChangeReason,
        run: int | None = None,
        worker: str | None = None,
    ) -> None:
        """Records a change of a placement, before it is made.

        Args:
          task: The task.
          kind: What happens.
          reason: Why.
          run: The run, if it is not that of the task's placement.
          worker: Id of the worker, if it is not that of the placement.
        """
        self.history.add(
            PlacementChange(
                task.id,
                task.run if run is None else run,
                task.worker if worker is None else worker,
                kind,
                reason,
                task.phase.value,
            )
        )

    def requeue(
        self, task: Task, reason: ChangeReason | None = ChangeReason.WITHDRAWN
    ) -> None:
        """Releases a task's resources; requeues it unless its work is over.

        That is if its job is over, or it is done elsewhere, or its gang is.

        Args:
          task: The task.
          reason: Why its placement is over; None if the placement is undone in
            the pass that made it, so that nothing has recorded it.
        """
        if reason is not None and task.phase.is_placed:
            self.record_change(task, ChangeKind.FREED, reason)
        worker = self.workers.get(task.worker)
        if worker is not None:
            worker.remove(task)
        task.worker = ''
        if task.newer is not None:
            self.copies.end_older(task)
            return
        start = task.watched_starts.get(task.run)
        if start is not None and math.isinf(start.lost_at):
            del task.watched_starts[task.run]
        self.dirty[task.job.spec.id] = None
        if task.job.state.is_final:
            task.phase = TaskPhase.GIVEN_UP
            return
        task.phase = TaskPhase.WAITING
        if task.older is not None and not task.is_done_elsewhere:
            self.copies.end_older(self.copies.exchange(task))
        elif task.is_done_elsewhere:
            self._mark_done(task, task.last_ended_at)
        elif self._is_gang_done(task):
            members = self.list_step_tasks(task)
            self._mark_done(task, max(m.last_ended_at for m in members))
        elif self.are_predecessors_done(task):
            self.ready[task.id] = task

    def _is_gang_done(self, task: Task) -> bool:
        """Returns whether a task belongs to a gang with a done member."""
        left = task.job.count_remaining(task.id.occurrence, task.id.step)
        is_any_done = left < task.spec.count
        return task.spec.gang and is_any_done

    def end_run(
        self,
        task: Task,
        kind: EndKind,
        now: float,
        reason: ChangeReason | None = None,
    ) -> list[Task]:
        """Records how the run of a placed task ended.

        Args:
          task: The task.
          kind: How it ended.
          now: Monotonic time.
          reason: How that is known; None if its worker has reported it.

        Returns:
          Tasks that must be stopped because of it.
        """
        if task.newer is not None:
            return self._end_older(task, task.newer, kind, now, reason)
        worker = task.worker
        run = task.run
        task.last_ended_at = now
        if kind is EndKind.DONE and not task.job.state.is_final:
            self.copies.record_done(task, now)
            task.is_done_elsewhere |= task.older is not None
        if kind is EndKind.DONE and not task.spec.lasting:
            self.durations.record(task, now)
        if task.spec.fills and worker in self.workers:
            share = measure_intensity(task) * task.cpu_percent / 100
            ended = EndedTask(task.spec.image, share, now)
            self.workers[worker].record_ended_task(ended)
        self.requeue(task, reason or ChangeReason(kind.value))
        if task.job.state.is_final:
            return []
        if kind is EndKind.DONE and not task.spec.lasting:
            return self.complete_task(task, now)
        if kind is EndKind.FAILED:
            task.failed_on.add(worker)
            return self.record_failure(task, run, now)
        return []

    def _end_older(
        self,
        older: Task,
        task: Task,
        kind: EndKind,
        now: float,
        reason: ChangeReason | None,
    ) -> list[Task]:
        """Records how the older run of a task ended; see `end_run`."""
        is_over = not task.phase.is_placed or task.job.state.is_final
        if kind is EndKind.DONE and not is_over and not task.is_done_elsewhere:
            self.copies.exchange(task)
            return self.end_run(task, kind, now, reason)
        worker, run = older.worker, older.run
        self.requeue(older, reason or ChangeReason(kind.value))
        if kind is not EndKind.FAILED or is_over:
            return []
        task.failed_on.add(worker)
        return self.record_failure(task, run, now)

    def record_failure(self, task: Task, run: int, now: float) -> list[Task]:
        """Counts a failed run once, however often it is reported.

        Runs are identified by their numbers, because workers report an end
        until it is acknowledged and a new owner may receive the reports in any
        order. Long-running tasks may fail any number of times. A run that was
        done by another member of its gang has not failed.

        Returns:
          Tasks that must be stopped because the job has failed.
        """
        is_done_run = task.phase is TaskPhase.DONE and task.run == run
        if task.spec.lasting or is_done_run:
            return []
        task.failed_runs.add(run)
        self.dirty[task.job.spec.id] = None
        if not self.has_exhausted_attempts(task):
            return []
        return self.finish_job(task.job, JobState.FAILED, now)

    def has_exhausted_attempts(self, task: Task) -> bool:
        """Returns whether a task, or its gang, has used up its attempts."""
        failures = task.failures
        if task.spec.gang:
            failures = sum(t.failures for t in self.list_step_tasks(task))
        return failures >= task.job.spec.queue.max_attempts

    def list_step_tasks(self, task: Task) -> list[Task]:
        """Lists all tasks in the same step and occurrence as a task."""
        job, occurrence, step = task.id.job, task.id.occurrence, task.id.step
        return [
            task.job.tasks[TaskId(job, occurrence, step, index)]
            for index in range(task.spec.count)
        ]

    def complete_task(self, task: Task, now: float) -> list[Task]:
        """Marks a task as done and returns tasks that must be stopped."""
        done = [task]
        if task.spec.gang:
            # The members end together, so one end completes all of them.
            done = self.list_step_tasks(task)
        stopping = []
        for member in done:
            if member.phase in (TaskPhase.STARTING, TaskPhase.RUNNING):
                self.begin_stop(member)
                stopping.append(member)
            if member.phase is TaskPhase.WAITING:
                self._mark_done(member, now)
            self._stop_older(member)
        return stopping

    def complete_elsewhere(self, task: Task, now: float) -> list[Task]:
        """Records that an earlier run of a placed task is done.

        The current run, and those of the other members of a gang, are stopped.
        The tasks are done once these have ended.

        Returns:
          Tasks that must be stopped because of it.
        """
        done = self.list_step_tasks(task) if task.spec.gang else [task]
        for member in done:
            member.is_done_elsewhere = True
            member.last_ended_at = now
        self.dirty[task.job.spec.id] = None
        return self.complete_task(task, now)

    def _mark_done(self, task: Task, now: float) -> None:
        job = task.job
        task.phase = TaskPhase.DONE
        task.last_ended_at = now
        task.checkpoint = ''
        self.ready.pop(task.id, None)
        self._stop_older(task)
        step_key = (task.id.occurrence, task.id.step)
        job.remaining[step_key] -= 1
        self.dirty[job.spec.id] = None
        if not job.remaining[step_key]:
            self._finish_step(job, *step_key, now)

    def _finish_step(
        self, job: Job, occurrence: int, done_step: int, now: float
    ) -> None:
        """Begins what a step that is done was the last predecessor of."""
        job.done_steps.append((occurrence, done_step))
        for number, step in enumerate(job.spec.steps):
            if done_step not in step.after:
                continue
            if job.is_step_done(occurrence, number):
                continue
            if all(job.is_step_done(occurrence, p) for p in step.after):
                self.occurrences.begin_step(job, occurrence, number)
        steps = range(len(job.spec.steps))
        if any(job.remaining[occurrence, number] for number in steps):
            return
        job.finished.add(occurrence)
        if job.finished.count == max(1, job.spec.occurrences):
            job.state = JobState.COMPLETED
            job.ended_at = now

    def restore_done(self, task: Task, now: float) -> None:
        """Restores from a state row that a task is done."""
        task.job.has_started = True
        self._mark_done(task, now)

    def restore_done_steps(
        self, job: Job, occurrence: int, numbers: Iterable[int], now: float
    ) -> None:
        """Restores from a state row that steps of an occurrence are done."""
        job.has_started = True
        self.occurrences.open_occurrence(job, occurrence)
        done = [n for n in numbers if job.remaining[occurrence, n]]
        for number in done:
            self.occurrences.skip_step(job, occurrence, number)
        for number in done:
            self._finish_step(job, occurrence, number, now)

    def complete_restored_gangs(self, job: Job, now: float) -> None:
        """Ends the members of gangs that were restored with a done member.

        The owner stops those that may still run.
        """
        for task in list(job.tasks.values()):
            if task.id.index == 0 and self._is_gang_done(task):
                self.complete_task(task, now)

    def restore_placed(self, task: Task, worker: Worker) -> None:
        """Restores from a state row that a task may run on a worker."""
        task.phase = TaskPhase.RUNNING
        task.worker = worker.id
        worker.add(task)
        self.ready.pop(task.id, None)
        task.job.was_placed = True

    # Workers.

    def register_worker(self, entry: WorkerEntry) -> Worker:
        """Adds a worker or updates its registration.

        The caller ends the tasks of a previous incarnation with
        `end_worker_tasks`.
        """
        worker = self.workers.get(entry.id)
        if worker is None:
            worker = Worker(entry)
            self.workers[entry.id] = worker
        worker.entry = entry
        worker.is_registered = True
        return worker

    def end_worker_tasks(
        self,
        worker: Worker,
        now: float,
        late_starts: frozenset[StaleRun] = frozenset(),
        asked_at: float = math.inf,
        reason: ChangeReason = ChangeReason.LEASE_EXPIRED,
    ) -> list[Task]:
        """Ends all runs on a worker whose leases expired or that restarted.

        Notes which of them may have crashed it; see `CrashSuspects`.

        Args:
          worker: The worker.
          now: Monotonic time.
          late_starts: Starts that a restarted worker may still execute; their
            tasks must be stopped there instead.
          asked_at: Monotonic time since which a restarted worker may have
            started the runs that it has confirmed. They are kept.
          reason: How it is known that the runs have ended.

        Returns:
          The tasks whose runs have ended.
        """
        ended = []
        worker.lost_at = now
        worker.finished_runs.clear()
        lost = [
            task
            for task in worker.tasks.values()
            if not asked_at <= task.confirmed_at < math.inf
            and task.newer is None
        ]
        doubtful = list_doubtful(worker, lost)
        self.suspects.add(worker, list_suspects(worker, lost), now)
        for task in doubtful:
            task.is_watched = True
        for late_start in late_starts:
            self._hold_waiting(late_start, worker, now)
        held = {late_start.task for late_start in late_starts}
        for task in list(worker.tasks.values()):
            if StaleRun(worker.id, str(task.id), task.run) in late_starts:
                self._stop_anew(task)
                continue
            if asked_at <= task.confirmed_at < math.inf:
                continue
            if str(task.id) in held:
                self.hold(
                    task, worker, now + HOLD_SECONDS, ChangeReason.UNANSWERED
                )
                continue
            other, run = task.older or task.newer, task.run
            self.end_run(task, EndKind.LAPSED, now, reason)
            ended.append(find_ended(task, other, run))
        return ended

    def _hold_waiting(
        self, late_start: StaleRun, worker: Worker, now: float
    ) -> None:
        """Keeps a waiting task on a worker that may still start a run of it."""
        task = self.find_task(late_start.task)
        if task is None:
            return
        if task.worker != worker.id:
            self.take_back_unsent(task)
        if task.phase is not TaskPhase.WAITING:
            return
        if task.run == late_start.run:
            deadline_ms = task.start_deadline_ms
            self.hold(task, worker, math.inf, ChangeReason.UNANSWERED)
            task.start_deadline_ms = deadline_ms
        elif task.run > late_start.run:
            self.hold(task, worker, now + HOLD_SECONDS, ChangeReason.UNANSWERED)

    def take_back_unsent(self, task: Task) -> None:
        """Requeues a placed task of which no copy of the start was sent.

        A gang is taken back as a whole, or not at all once the start of a
        member was sent, as its members wait for each other.
        """
        members = self.list_step_tasks(task) if task.spec.gang else [task]
        if all(_is_unsent(member) for member in members):
            for member in members:
                self.requeue(member, ChangeReason.NEVER_SENT)

    def hold(
        self,
        task: Task,
        worker: Worker,
        stopped_at: float,
        reason: ChangeReason,
    ) -> None:
        """Keeps a task on a worker where an older run of it is stopped.

        Args:
          task: The task. What is known of its newest run and of the deadline of
            that run's start does not apply to the older one.
          worker: The worker.
          stopped_at: Monotonic time by which the older run is certainly being
            stopped, unless a stop is accepted before.
          reason: Why the older run may be there.
        """
        self.record_change(task, ChangeKind.HELD, reason, worker=worker.id)
        task.phase = TaskPhase.STOPPING
        task.worker = worker.id
        task.stopped_at = stopped_at
        self._forget_stop(task)
        # What is known of its newest start is of another placement.
        task.start_sent_at = task.confirmed_at = math.inf
        task.start_follows_answer = False
        task.start_expired_at = math.inf
        task.start_deadline_ms = 0
        worker.add(task)
        if task.newer is not None:
            self.copies.request_stop(task)
            return
        self.ready.pop(task.id, None)
        self.dirty[task.job.spec.id] = None

    def _stop_anew(self, task: Task) -> None:
        """Marks a task as being stopped; earlier stops have no effect."""
        self.record_change(
            task, ChangeKind.STOPPED_ANEW, ChangeReason.UNANSWERED
        )
        self.begin_stop(task)
        task.stopped_at = math.inf
        self._forget_stop(task)
        task.start_expired_at = math.inf
        if task.newer is not None:
            self.copies.request_stop(task)
