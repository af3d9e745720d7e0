"""Which tasks are on which worker, now and a while ago."""

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
"""Longer than measurements lag."""

_Mix = dict[str, float]
"""Jobs by class; a throttled one counts as its share."""


@attrs.define
class _Held:
    """A task on a worker.

    Attributes:
      task: The task as last seen.
      since: Monotonic time when it was first seen to run, or None.
      throttle: Share of its commitment that it is allowed.
      throttled_at: Monotonic time when this last changed.
    """

    task: Task
    since: float | None = None
    throttle: float = 1.0
    throttled_at: float = -math.inf


class Occupancy:
    """The tasks on each worker, their throttles, and how this changed."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}
        # Dictionaries without values keep the order, and so each run alike.
        self._by_worker: collections.defaultdict[str, dict[str, None]] = (
            collections.defaultdict(dict)
        )
        self._history: collections.defaultdict[
            str, collections.deque[tuple[float, _Mix]]
        ] = collections.defaultdict(collections.deque)

    def update(self, task: Task, now: float) -> Task | None:
        """Takes over a task's new state.

        Returns:
          The task as it was held so far, or None.
        """
        old = self._held.get(task.id)
        if old is not None and (
            task.phase not in COMMITTED_PHASES
            or task.attempt != old.task.attempt
        ):
            self._drop(old.task)
        if task.phase in COMMITTED_PHASES:
            self._keep(task, now)
        for worker in {task.worker, old.task.worker if old else ''}:
            if worker:
                self._record(worker, now)
        return old.task if old else None

    def _drop(self, task: Task) -> None:
        del self._held[task.id]
        self._by_worker[task.worker].pop(task.id, None)

    def _keep(self, task: Task, now: float) -> None:
        held = self._held.setdefault(task.id, _Held(task))
        held.task = task
        if held.since is None and task.phase is Phase.RUNNING:
            held.since = now
        self._by_worker[task.worker][task.id] = None

    def get(self, task: str) -> Task | None:
        """Returns a task that is on a worker, or None."""
        held = self._held.get(task)
        return held.task if held else None

    def get_running_seconds(self, task: str, now: float) -> float:
        """Returns for how long a task has run, as far as is known."""
        held = self._held.get(task)
        if held is None or held.since is None:
            return 0.0
        return now - held.since

    def list_tasks(self, worker: str) -> list[Task]:
        """Returns the tasks on a worker."""
        return [self._held[name].task for name in self._by_worker[worker]]

    def list_evictable_jobs(self, worker: str) -> Iterator[Task]:
        """Yields the jobs on a worker that may be throttled or evicted."""
        for task in self.list_tasks(worker):
            if is_evictable(task):
                yield task

    def get_throttle(self, task: Task) -> float:
        """Returns the share of its commitment that a job is allowed."""
        held = self._held.get(task.id)
        return held.throttle if held else 1.0

    def get_throttled_at(self, task: Task) -> float:
        """Returns the monotonic time when a job's throttle last changed."""
        held = self._held.get(task.id)
        return held.throttled_at if held else -math.inf

    def get_share(self, task: Task) -> float:
        """Returns the share of its full speed that a job is allowed."""
        return task.share * self.get_throttle(task)

    def set_throttle(self, task: Task, share: float, now: float) -> None:
        """Takes note of a throttle."""
        held = self._held[task.id]
        held.throttle = share
        held.throttled_at = now
        self._record(task.worker, now)

    def list_throttled(self) -> list[tuple[Task, float]]:
        """Returns the jobs that do not have all their processors."""
        return [
            (held.task, held.throttle)
            for held in self._held.values()
            if held.throttle < 1
        ]

    def get_mix(self, worker: str) -> Mapping[str, float]:
        """Returns the jobs on a worker by class."""
        history = self._history[worker]
        return history[-1][1] if history else {}

    def get_mean_mix(
        self, worker: str, begin: float, end: float
    ) -> Mapping[str, float] | None:
        """Returns the jobs on a worker over a past time, or None if unknown.

        A measurement that lags is explained by what ran when it was made and
        not by what runs when it arrives.
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
            part = (until - max(at, begin)) / (end - begin)
            for name, count in mix.items():
                mean[name] += count * part
            until = max(at, begin)
            if at <= begin:
                break
        return mean

    def _record(self, worker: str, now: float) -> None:
        mix: _Mix = {}
        for name in self._by_worker[worker]:
            task = self._held[name].task
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
    """Tells whether a task is a batch job that may be disturbed."""
    return (
        not task.is_service
        and task.urgency.value == 'batch'
        and task.phase in (Phase.STARTING, Phase.RUNNING)
    )
