"""Random schedules of tasks whose run times are far off their estimates.

`python -m tests.test_run_time_schedules FIRST_SEED COUNT` plays more of them.
"""

from __future__ import annotations

import enum
import math
import random
import sys

import attrs
import pytest

from lentilmount.scheduling.specs import JobSpec
from stand_ins.model_worker import Execution, choose_work
from tests.test_random_schedules import Schedule, play_range
from tests.test_session_state_machine import SessionMachine, make_spec

SEEDS = range(1, 13)
ESTIMATES = (0.0, 0.03, 30.0)
"""Declared run times in seconds; 0 for none."""

MAX_HANGING_ESTIMATE = 0.03
"""Longest estimate, in seconds, of tasks that hang and are found in a play."""

RUN_SECONDS = (0.4, 0.4, 0.4, 5.0, 8.0)
HANGING_SHARE = 0.4
STALLED_PROGRESS = 40

REPLACED = ('short', 'longer', 'failing')
"""Payloads of jobs that get tasks of any run time in their place."""


class Measure(enum.Enum):
    """What workers report as the progress of a run."""

    TRUE = 'true'
    FULL = 'full'
    NONE = 'none'


@attrs.frozen
class TaskTraits:
    """What a task does.

    Attributes:
      estimate: Declared run time in seconds.
      seconds: Run time in seconds.
      measure: What its progress shows.
      hangs: Whether its first run uses the processor without progress.
    """

    estimate: float
    seconds: float
    measure: Measure
    hangs: bool

    def is_hanging(self, run: int) -> bool:
        """Returns whether a run hangs."""
        return self.hangs and run == 1


@attrs.frozen
class FarOffWork:
    """Draws what tasks do from their names.

    Attributes:
      seed: Seed of the schedule.
    """

    seed: int

    def draw(self, task: str) -> TaskTraits:
        """Returns what a task does; all tasks of its job declare the same."""
        job = random.Random(f'{self.seed} {task.partition(".")[0]}')
        estimate = job.choice(ESTIMATES)
        measure = job.choice(list(Measure))
        rng = random.Random(f'{self.seed} {task}')
        may_hang = measure is Measure.TRUE and estimate <= MAX_HANGING_ESTIMATE
        return TaskTraits(
            estimate,
            rng.choice(RUN_SECONDS),
            measure,
            may_hang and rng.random() < HANGING_SHARE,
        )

    def choose_work(
        self, task: str, run: int, payload: str
    ) -> tuple[float, str]:
        """Returns the work of a run."""
        if payload != 'short':
            return choose_work(task, run, payload)
        traits = self.draw(task)
        if traits.is_hanging(run):
            return math.inf, ''
        return traits.seconds, 'done'

    def measure_progress(self, execution: Execution, seconds: float) -> int:
        """Returns the progress of a run in percent."""
        traits = self.draw(execution.task)
        if traits.measure is not Measure.TRUE:
            return 100 if traits.measure is Measure.FULL else 0
        if traits.is_hanging(execution.run):
            return STALLED_PROGRESS
        return min(99, int(100 * seconds / traits.seconds))

    def declare(self, spec: JobSpec) -> JobSpec:
        """Returns a job with the estimate of its tasks."""
        estimate = self.draw(spec.id).estimate
        steps = tuple(
            attrs.evolve(step, estimated_seconds=estimate)
            for step in spec.steps
        )
        return attrs.evolve(spec, steps=steps)


class RunTimeMachine(SessionMachine):
    """An owner whose jobs declare other run times than they have."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._work = FarOffWork(seed)
        self.site.choose_work = self._work.choose_work
        self.site.measure_progress = self._work.measure_progress

    def submit_job(self, payload: str, has_two_steps: bool) -> None:
        """Submits a job; see `SessionMachine`."""
        if payload not in REPLACED:
            super().submit_job(payload, has_two_steps)
            return
        spec = make_spec(len(self.site.jobs), 'short', has_two_steps)
        self.site.submit(self._work.declare(spec))


def play_schedule(seed: int) -> list[str]:
    """Plays a random schedule; returns the violations."""
    return Schedule(seed, RunTimeMachine(seed)).play()


@pytest.mark.parametrize('seed', SEEDS)
def test_all_tasks_end_whatever_their_jobs_declare(seed: int) -> None:
    """Runs were stopped by what their jobs declared, or never found to hang."""
    assert play_schedule(seed) == []


if __name__ == '__main__':
    play_range(play_schedule, *map(int, sys.argv[1:]))
