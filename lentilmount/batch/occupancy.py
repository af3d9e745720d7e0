"""Tracks the tasks on each worker, with a short history."""

from __future__ import annotations

import collections
import math
from collections.abc import Iterator, Mapping

import attrs

from lentilmount.batch.learning import get_class_name
from lentilmount.batch.records import Task
from lentilmount.batch.states import COMMITTED_PHASES
from lentilmount.resources import Phase

HISTORY_SECONDS = 180.0
"""Time that the history covers; longer than the lag of measurements."""

_Mix = dict[str, float]
"""Number of jobs by class; a throttled job counts as its share."""


@attrs.define
class _TaskState:
    """A task on a worker.

    Attributes:
      task: Last known state of the task.
      running_since: Monotonic time when it was first observed running, or None.
      throttle: Share of its committed cores that it may use.
      throttled_at: Monotonic time of the last change of the throttle.
    """

    task: Task
    running_since: float | None = None
    throttle: float = 1.0
    throttled_at: float = -math.inf


class Occupancy:
    """The tasks on each worker, their throttles, and the history of jobs."""

    def __init__(self) -> None:
        self._states: dict[str, _TaskState] = {}
        # Used as ordered sets, to make runs deterministic.
        self._by_worker: collections.defaultdict[str, dict[str, None]] = (
            collections.defaultdict(dict)
        )
        self._history: collections.defaultdict[
            str, collections.deque[tuple[float, _Mix]]
        ] = collections.defaultdict(collections.deque)

    def update(self, task: Task, now: float) -> Task | None:
        """Updates the state of a task.

        Returns:
          The previous state of the task on a worker, or None.
        """
        old = self._states.get(task.id)
        if old is not None and (
            task.phase not in COMMITTED_PHASES
            or task.attempt != old.task.attempt
        ):
            self._remove(old.task)
        if task.phase in COMMITTED_PHASES:
            self._add(task, now)
        for worker in {task.worker, old.task.worker if old else ''}:
            if worker:
                self._record_mix(worker, now)
        return old.task if old else None

    def _remove(self, task: Task) -> None:
        del self._states[task.id]
        self._by_worker[task.worker].pop(task.id, None)

    def _add(self, task: Task, now: float) -> None:
        state = self._states.setdefault(task.id, _TaskState(task))
        state.task = task
        if state.running_since is None and task.phase is Phase.RUNNING:
            state.running_since = now
        self._by_worker[task.worker][task.id] = None

    def get(self, task: str) -> Task | None:
        """Returns a task that is on a worker, or None."""
        state = self._states.get(task)
        return state.task if state else None

    def get_running_seconds(self, task: str, now: float) -> float:
        """Returns the seconds since a task was first observed running."""
        state = self._states.get(task)
        if state is None or state.running_since is None:
            return 0.0
        return now - state.running_since

    def list_tasks(self, worker: str) -> list[Task]:
        """Returns the tasks on a worker."""
        return [self._states[name].task for name in self._by_worker[worker]]

    def list_evictable_jobs(self, worker: str) -> Iterator[Task]:
        """Yields the jobs on a worker that may be throttled or evicted."""
        for task in self.list_tasks(worker):
            if is_evictable(task):
                yield task

    def get_throttle(self, task: Task) -> float:
        """Returns the share of its committed cores that a job may use."""
        state = self._states.get(task.id)
        return state.throttle if state else 1.0

    def get_throttled_at(self, task: Task) -> float:
        """Returns the monotonic time when a job's throttle last changed."""
        state = self._states.get(task.id)
        return state.throttled_at if state else -math.inf

    def get_share(self, task: Task) -> float:
        """Returns the share of its full demand of cores that a job may use."""
        return task.share * self.get_throttle(task)

    def set_throttle(self, task: Task, share: float, now: float) -> None:
        """Records a throttle."""
        state = self._states[task.id]
        state.throttle = share
        state.throttled_at = now
        self._record_mix(task.worker, now)

    def list_throttled(self) -> list[tuple[Task, float]]:
        """Returns the throttled jobs with their throttles."""
        return [
            (state.task, state.throttle)
            for state in self._states.values()
            if state.throttle < 1
        ]

    def get_mix(self, worker: str) -> Mapping[str, float]:
        """Returns the current number of jobs on a worker by class."""
        history = self._history[worker]
        return history[-1][1] if history else {}

    def get_mean_mix(
        self, worker: str, begin: float, end: float
    ) -> Mapping[str, float] | None:
        """Returns the mean number of jobs by class over a past interval.

        A delayed measurement is explained by the jobs that ran when it was
        taken and not by those that run when it arrives.

        Args:
          worker: Name of the worker.
          begin: Monotonic time of the interval's begin.
          end: Monotonic time of the interval's end.

        Returns:
          The mean, or None if the history does not cover the interval.
        """
        history = self._history[worker]
        if not history or history[0][0] > begin:
            return None
        mean: collections.defaultdict[str, float] = collections.defaultdict(
            float
        )
        until = end
        for at, mix in reversed(history):
            if at >= until:
                continue
            weight = (until - max(at, begin)) / (end - begin)
            for name, count in mix.items():
                mean[name] += count * weight
            until = max(at, begin)
            if at <= begin:
                break
        return mean

    def _record_mix(self, worker: str, now: float) -> None:
        mix: _Mix = {}
        for name in self._by_worker[worker]:
            task = self._states[name].task
            if task.is_service or task.phase is Phase.STARTING:
                continue
            job_class = get_class_name(task)
            share = mix.get(job_class, 0.0) + self.get_share(task)
            mix[job_class] = share
        history = self._history[worker]
        if history and history[-1][1] == mix:
            return
        history.append((now, mix))
        while len(history) > 1 and history[1][0] < now - HISTORY_SECONDS:
            history.popleft()


def is_evictable(task: Task) -> bool:
    """Returns whether a task is a batch job that may be evicted."""
    return (
        not task.is_service
        and task.urgency.value == 'batch'
        and task.phase in (Phase.STARTING, Phase.RUNNING)
    )
