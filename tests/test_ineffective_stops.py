"""Search for schedules in which workers accept stops without effect.

It is that of `test_session_state_machine.py`, with this fault added.
"""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import Phase, settings, strategies
from hypothesis.stateful import rule

from lentilmount.clock import ManualClock
from lentilmount.control.task_control import TaskController
from stand_ins.model_site import ModelSite
from stand_ins.virtual_time import run_virtual
from tests.test_runs_of_finished_jobs import JOB, begin_task
from tests.test_session_state_machine import (
    PAUSES,
    POSITIONS,
    SessionMachine,
)

MAX_EXAMPLES = 50
OBSERVED_SECONDS = 10.0
COUNTS = strategies.sampled_from([1, 2, 4])


class IneffectiveStopMachine(SessionMachine):
    """An owner and workers that fail at random and may ignore stops."""

    @rule(position=POSITIONS, count=COUNTS, seconds=PAUSES)
    def ignore_stops(self, position: int, count: int, seconds: float) -> None:
        """Lets a worker accept its next stops without effect."""
        worker = self.site.workers[position]
        worker.ineffective_stops = count
        self.act(lambda: None, seconds)

    @rule(position=POSITIONS, count=COUNTS, seconds=PAUSES)
    def cancel_and_ignore(
        self, position: int, count: int, seconds: float
    ) -> None:
        """Cancels the newest job that goes on, and ignores its stop."""
        for worker in self.site.workers:
            worker.ineffective_stops = count
        jobs = [j for j in self.site.jobs if j not in self.site.cancelled]
        if jobs:
            job_id = jobs[-1 - position % len(jobs)]
            self.act(lambda: self.site.cancel(job_id), seconds)


IneffectiveStopMachine.TestCase.settings = settings(
    max_examples=MAX_EXAMPLES,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    # To shrink a schedule takes minutes.
    phases=(Phase.explicit, Phase.generate),
)
TestIneffectiveStopMachine = IneffectiveStopMachine.TestCase


def play_ineffective_stop() -> list[str]:
    """Returns what the site finds wrong after a stop without effect."""
    clock = ManualClock()
    site = ModelSite(clock)

    async def scenario() -> None:
        site.add_worker()
        site.start_owner()
        watch = asyncio.create_task(site.watch())
        await asyncio.sleep(1.0)
        worker = await begin_task(site)
        worker.ineffective_stops = 1
        site.cancel(JOB.id)
        await asyncio.sleep(OBSERVED_SECONDS)
        watch.cancel()
        await site.kill_owner()

    run_virtual(scenario(), clock)
    return site.violations


@pytest.mark.parametrize('is_sent_again', [True, False])
def test_the_search_finds_a_stop_that_is_not_sent_again(
    monkeypatch: pytest.MonkeyPatch, is_sent_again: bool
) -> None:
    """A check that cannot fail would not guard against tasks that run on."""
    if not is_sent_again:
        monkeypatch.setattr(
            TaskController, '_handle_overdue_stop', lambda *arguments: None
        )
    violations = play_ineffective_stop()
    found = ['runs on after its cancellation' in x for x in violations]
    assert found == ([] if is_sent_again else [True])
