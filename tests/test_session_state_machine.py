"""State machine test of an owner whose workers restart and whose calls fail.

The real owner runs against model workers in virtual time. What these have
carried out shows whether a task ran twice or a cancelled one ran on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import Phase, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lentilmount.clock import ManualClock
from lentilmount.scheduling.specs import JobSpec, StepSpec
from stand_ins.limits import FULL_CORES
from stand_ins.model_network import (
    CallFault,
    Fault,
    TableFault,
    WriteFault,
)
from stand_ins.model_site import ModelSite
from stand_ins.model_worker import (
    POLL_PATH,
    START_PATH,
    STOP_PATH,
)
from stand_ins.virtual_time import VirtualLoop
from tests.scheduling_fixtures import make_job, make_step

ZONES = ('north', 'south')
WORKERS = len(ZONES)
MAX_LASTING = 4
MAX_PROCESSES = 3
MAX_EXAMPLES = 100
POSITIONS = strategies.integers(0, WORKERS - 1)
SWITCH = strategies.booleans()
DELAYS = strategies.sampled_from([0.5, 1.0, 2.0, 4.0, 8.0, 12.0])
FAULTS = strategies.one_of(
    strategies.sampled_from(
        [
            CallFault(Fault.LOST),
            CallFault(Fault.UNANSWERED),
            CallFault(Fault.RESET),
            CallFault(Fault.RESET, 0.3),
            CallFault(Fault.SLOW, 0.1),
            CallFault(Fault.SLOW, 0.35),
            CallFault(Fault.SLOW, 0.7),
        ]
    ),
    DELAYS.map(lambda seconds: CallFault(Fault.LATE, seconds)),
)
FAULT_LISTS = strategies.lists(FAULTS, min_size=1, max_size=4)
PATHS = strategies.sampled_from([START_PATH, STOP_PATH, POLL_PATH])
PAUSES = strategies.sampled_from([0.0, 0.03, 0.1, 0.3, 0.6, 1.0, 2.0])
DOWN_SECONDS = strategies.sampled_from([0.2, 0.5, 1.0, 3.0, 8.0])
REGISTRATION_SECONDS = strategies.sampled_from([0.2, 2.0])
WRITE_FAULTS = strategies.one_of(
    strategies.sampled_from(
        [
            TableFault(),
            TableFault(WriteFault.UNAVAILABLE),
            TableFault(WriteFault.UNANSWERED),
            TableFault(WriteFault.CONFLICTING),
        ]
    ),
    strategies.sampled_from([0.05, 0.2, 0.7, 1.5]).map(
        lambda seconds: TableFault(WriteFault.SLOW, seconds)
    ),
)
WRITE_FAULT_LISTS = strategies.lists(WRITE_FAULTS, min_size=1, max_size=6)
CAPACITIES = strategies.sampled_from([1.0, 2.5, 4.5, FULL_CORES])
REFUSE_SECONDS = strategies.sampled_from([0.05, 0.3, 1.0, 3.0])
ESTIMATES = {
    'short': 0.4,
    'longer': 3.0,
    'failing': 0.3,
    'lasting': 1.0,
    'crashing': 0.4,
    'crashing-at-once': 0.4,
    'always-crashing': 0.4,
    'always-crashing-at-once': 0.4,
}
PAYLOADS = strategies.sampled_from(list(ESTIMATES))
FIRST_LATE_JOB = 1_000_000
"""Number of the first job whose write is late; others count from 0."""


def make_spec(number: int, payload: str, has_two_steps: bool) -> JobSpec:
    """Returns a job of one step, or of two where the second waits."""
    steps: tuple[StepSpec, ...] = (
        make_step(
            estimated_seconds=ESTIMATES[payload], lasting=payload == 'lasting'
        ),
    )
    if has_two_steps and payload != 'lasting':
        steps += (make_step(estimated_seconds=ESTIMATES[payload], after=(0,)),)
    spec = make_job(f'{number:016x}', *steps)
    return JobSpec(spec.id, payload, spec.steps, spec.queue)


class SessionMachine(RuleBasedStateMachine):
    """An owner and workers that fail at random."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.runner = asyncio.Runner(
            loop_factory=lambda: VirtualLoop(self.clock)
        )
        self.site = ModelSite(self.clock)
        self.watch: asyncio.Task[None] | None = None
        self.late_jobs = 0

    def run_coroutine(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine on the site's loop."""
        return self.runner.run(work)

    async def _begin(self) -> None:
        for zone in ZONES:
            self.site.add_worker(zone)
        self.site.start_owner()
        self.watch = asyncio.create_task(self.site.watch())
        await asyncio.sleep(0.5)
        # Each worker has numbered an end that was acknowledged.
        for _ in range(WORKERS):
            self.submit_job('short', False)
        await asyncio.sleep(1.0)

    @initialize()
    def begin(self) -> None:
        """Waits for an owner that reaches its workers."""
        self.run_coroutine(self._begin())

    def act(self, action: Callable[[], object], seconds: float) -> None:
        """Does something and lets time pass."""

        async def work() -> None:
            action()
            await asyncio.sleep(seconds)

        self.run_coroutine(work())

    def submit_job(self, payload: str, has_two_steps: bool) -> None:
        """Submits a job, unless too many lasting ones run already."""
        lasting = sum(
            spec.payload == 'lasting' for spec in self.site.jobs.values()
        )
        if payload != 'lasting' or lasting < MAX_LASTING:
            number = len(self.site.jobs)
            self.site.submit(make_spec(number, payload, has_two_steps))

    @rule(payload=PAYLOADS, has_two_steps=SWITCH, seconds=PAUSES)
    def submit(self, payload: str, has_two_steps: bool, seconds: float) -> None:
        """Submits a job."""
        self.act(lambda: self.submit_job(payload, has_two_steps), seconds)

    @rule(
        payload=PAYLOADS,
        path=PATHS,
        faults=FAULT_LISTS,
        seconds=PAUSES,
        down_seconds=DOWN_SECONDS,
        registration_seconds=REGISTRATION_SECONDS,
        later_seconds=PAUSES,
        submits_again=SWITCH,
        write_faults=strategies.one_of(strategies.just([]), WRITE_FAULT_LISTS),
    )
    def submit_and_crash(
        self,
        payload: str,
        path: str,
        faults: list[CallFault],
        seconds: float,
        down_seconds: float,
        registration_seconds: float,
        later_seconds: float,
        submits_again: bool,
        write_faults: list[TableFault],
    ) -> None:
        """Crashes the worker that gets a job whose calls fail."""

        def begin() -> None:
            for worker in self.site.workers:
                self.site.get_link(worker).faults[path] = list(faults)
            self.site.write_faults[:] = write_faults
            self.submit_job(payload, False)

        def crash() -> None:
            name = f'{len(self.site.jobs) - 1:016x}.0.0.0'
            worker = self.site.find_worker(name)
            for position, other in enumerate(self.site.workers):
                if other.id == worker:
                    self.site.crash(
                        position, down_seconds, registration_seconds, True
                    )

        self.act(begin, seconds)
        self.act(crash, later_seconds)
        if submits_again:
            self.act(lambda: None, down_seconds)
            self.act(lambda: self.submit_job(payload, False), later_seconds)

    @rule(payload=PAYLOADS, has_two_steps=SWITCH, seconds=PAUSES)
    def submit_to_owner(
        self, payload: str, has_two_steps: bool, seconds: float
    ) -> None:
        """Lets the owner accept a job, as while the table is slow."""
        spec = make_spec(len(self.site.jobs), payload, has_two_steps)
        if payload != 'lasting':
            self.run_coroutine(self.site.submit_to_owner(spec))
            self.act(lambda: None, seconds)

    @rule(
        payload=PAYLOADS,
        late_seconds=DOWN_SECONDS,
        cancel_seconds=strategies.sampled_from([0.0, 0.3, 2.0, 8.0]),
        is_cancelled=SWITCH,
        seconds=PAUSES,
    )
    def submit_late(
        self,
        payload: str,
        late_seconds: float,
        cancel_seconds: float,
        is_cancelled: bool,
        seconds: float,
    ) -> None:
        """Submits a job whose write is late, and may cancel it meanwhile."""
        self.late_jobs += 1
        spec = make_spec(FIRST_LATE_JOB + self.late_jobs, payload, False)
        self.act(
            lambda: self.site.submit_late(spec, late_seconds), cancel_seconds
        )
        if is_cancelled:
            self.act(lambda: self.site.cancel(spec.id), seconds)

    @rule(number=strategies.integers(0, 9), seconds=PAUSES)
    def cancel(self, number: int, seconds: float) -> None:
        """Cancels a job that was not cancelled before."""
        jobs = [j for j in self.site.jobs if j not in self.site.cancelled]
        if jobs:
            job_id = jobs[-1 - number % len(jobs)]
            self.act(lambda: self.site.cancel(job_id), seconds)

    @rule(position=POSITIONS, path=PATHS, faults=FAULT_LISTS)
    def disturb(
        self, position: int, path: str, faults: list[CallFault]
    ) -> None:
        """Sets the faults of the next calls to a worker."""
        worker = self.site.workers[position]
        self.site.get_link(worker).faults[path] = list(faults)

    @rule(position=POSITIONS, duration=REFUSE_SECONDS, seconds=PAUSES)
    def refuse(self, position: int, duration: float, seconds: float) -> None:
        """Lets a worker refuse starts for a while."""
        link = self.site.get_link(self.site.workers[position])
        link.refuses_until = self.clock.now + duration
        self.act(lambda: None, seconds)

    @rule(position=POSITIONS, duration=REFUSE_SECONDS, seconds=PAUSES)
    def fill(self, position: int, duration: float, seconds: float) -> None:
        """Lets a worker lack capacity for a while."""
        worker = self.site.workers[position]
        self.act(lambda: self.site.reject_starts(worker, duration), seconds)

    @rule(
        position=POSITIONS,
        cores=CAPACITIES,
        registration_seconds=strategies.sampled_from([0.0, 0.3, 1.0]),
        seconds=PAUSES,
    )
    def resize(
        self,
        position: int,
        cores: float,
        registration_seconds: float,
        seconds: float,
    ) -> None:
        """Lets a worker shrink or grow."""
        worker = self.site.workers[position]
        self.act(
            lambda: self.site.resize(worker, cores, registration_seconds),
            seconds,
        )

    @rule(keeps_ids=SWITCH)
    def choose_ids(self, keeps_ids: bool) -> None:
        """Lets workers that a task crashes keep their ids, or not."""
        self.site.keeps_ids = keeps_ids

    @rule(faults=WRITE_FAULT_LISTS, seconds=PAUSES)
    def disturb_writes(self, faults: list[TableFault], seconds: float) -> None:
        """Sets the faults of the owner's next writes."""
        self.site.write_faults[:] = faults
        self.act(lambda: None, seconds)

    @rule(position=POSITIONS, calls=SWITCH, answers=SWITCH, seconds=PAUSES)
    def cut(
        self, position: int, calls: bool, answers: bool, seconds: float
    ) -> None:
        """Cuts a worker off, both ways or one, or heals it."""
        link = self.site.get_link(self.site.workers[position])

        self.act(lambda: link.cut(calls, answers, self.clock.now), seconds)

    @rule(
        position=POSITIONS,
        down_seconds=DOWN_SECONDS,
        registration_seconds=REGISTRATION_SECONDS,
        has_same_id=strategies.sampled_from([True, True, False]),
        seconds=PAUSES,
    )
    def crash(
        self,
        position: int,
        down_seconds: float,
        registration_seconds: float,
        has_same_id: bool,
        seconds: float,
    ) -> None:
        """Crashes a worker, which comes back later."""
        self.act(
            lambda: self.site.crash(
                position, down_seconds, registration_seconds, has_same_id
            ),
            seconds,
        )

    @rule(position=POSITIONS, is_registered=SWITCH, seconds=PAUSES)
    def register(
        self, position: int, is_registered: bool, seconds: float
    ) -> None:
        """Lets the registration of a worker vanish or come back."""
        worker = self.site.workers[position]
        self.act(
            lambda: self.site.set_registered(worker, is_registered), seconds
        )

    @rule(down_seconds=strategies.sampled_from([0.0, 0.5, 3.0]), seconds=PAUSES)
    def replace_owner(self, down_seconds: float, seconds: float) -> None:
        """Kills the owner and starts another one."""
        self.run_coroutine(self.site.kill_owner())
        self.act(lambda: None, down_seconds)
        self.act(self.site.start_owner, seconds)

    @rule(down_seconds=strategies.sampled_from([1.0, 3.0, 8.0]), seconds=PAUSES)
    def take_store_down(self, down_seconds: float, seconds: float) -> None:
        """Lets no process reach the table for a while."""
        self.act(lambda: self.site.take_store_down(down_seconds), seconds)

    @rule(cut_seconds=strategies.sampled_from([1.0, 3.0, 8.0]), seconds=PAUSES)
    def cut_off_owner(self, cut_seconds: float, seconds: float) -> None:
        """Cuts the owner off from the table and starts another process."""
        if len(self.site.processes) < MAX_PROCESSES:
            self.act(lambda: self.site.cut_off_owner(cut_seconds), seconds)

    @rule(
        zone=strategies.sampled_from(ZONES),
        is_cordoned=SWITCH,
        seconds=PAUSES,
    )
    def cordon(self, zone: str, is_cordoned: bool, seconds: float) -> None:
        """Cordons a zone, or undoes it."""
        change = self.site.cordon if is_cordoned else self.site.uncordon
        self.act(lambda: change(zone), seconds)

    @rule(
        seconds=strategies.sampled_from([0.05, 0.2, 0.5, 1.0, 2.0, 4.0, 10.0])
    )
    def wait(self, seconds: float) -> None:
        """Lets time pass."""
        self.act(lambda: None, seconds)

    @invariant()
    def check_runs(self) -> None:
        """Checks what the workers have run."""
        self.site.check()
        assert self.watch is None or not self.watch.done()
        assert self.site.violations == []

    def teardown(self) -> None:
        """Removes all faults and checks that every job ends."""
        try:
            if self.watch is not None:
                self.run_coroutine(self.site.finish())
                self.check_runs()
        finally:
            self.close()

    def close(self) -> None:
        """Ends all that runs."""
        if self.watch is not None:
            self.run_coroutine(self._end())
        self.runner.close()

    async def _end(self) -> None:
        assert self.watch is not None
        self.watch.cancel()
        await self.site.kill_owner()


SessionMachine.TestCase.settings = settings(
    max_examples=MAX_EXAMPLES,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
    # To shrink a schedule takes minutes.
    phases=(Phase.explicit, Phase.generate),
)
TestSessionMachine = SessionMachine.TestCase
