"""State machine test of tasks and leases under random faults.

Two daemons run the real manager, owner, ledger and links against the fakes of
a cell. After each step the checker verifies all guarantees against what
actually ran; at the end all faults are removed and every job must end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lentilmount.batch.worker_commands import SessionOptions
from lentilmount.clock import ManualClock
from stand_ins.cell import Cell, CellDaemon, CellOptions
from stand_ins.virtual_time import VirtualLoop

DAEMONS = strategies.integers(0, 1)
WORKERS = strategies.integers(0, 2)
SWITCH = strategies.booleans()
SHARE = strategies.sampled_from([0.0, 0.3, 1.0])


class BatchMachine(RuleBasedStateMachine):
    """A cell whose daemons, workers and connections fail at random."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.runner = asyncio.Runner(
            loop_factory=lambda: VirtualLoop(self.clock)
        )
        options = CellOptions(
            sessions=SessionOptions(offline_renewal_seconds=30.0),
            clock_rates=(1.0, 1.004, 0.996),
            tick_seconds=1.0,
        )

        async def make() -> Cell:
            return await Cell(self.clock, options).__aenter__()

        self.cell: Cell = self.run_coroutine(make())

    def run_coroutine(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine on the cell's loop."""
        return self.runner.run(work)

    def get_daemon(self, number: int) -> CellDaemon:
        """Returns one of the two newest daemons."""
        return self.cell.daemons[-2:][number]

    @initialize()
    def begin(self) -> None:
        """Waits for a daemon to acquire the slice."""
        self.run_coroutine(asyncio.sleep(2.0))

    @rule(seconds=strategies.sampled_from([1.0, 10.0, 60.0]))
    def submit(self, seconds: float) -> None:
        """Submits a job."""
        name = f'job-{len(self.cell.accepted)}'
        self.run_coroutine(self.cell.submit(name, seconds))

    @rule(number=strategies.integers(0, 9))
    def cancel(self, number: int) -> None:
        """Cancels a job that was not cancelled before."""
        tasks = [
            task
            for task in self.cell.accepted
            if task not in self.cell.cancelled
        ]
        if tasks:
            self.run_coroutine(self.cell.cancel(tasks[number % len(tasks)]))

    @rule(seconds=strategies.sampled_from([0.3, 2.5, 6.0, 20.0, 50.0]))
    def wait(self, seconds: float) -> None:
        """Lets time pass."""
        self.run_coroutine(asyncio.sleep(seconds))

    @rule(number=DAEMONS, resume=SWITCH)
    def pause_daemon(self, number: int, resume: bool) -> None:
        """Pauses or resumes a daemon."""
        daemon = self.get_daemon(number)
        daemon.wake() if resume else daemon.pause()

    @rule(number=DAEMONS)
    def replace_daemon(self, number: int) -> None:
        """Kills a daemon and starts a new one."""

        async def replace() -> None:
            daemon = self.get_daemon(number)
            daemon.wake()
            await daemon.kill()
            self.cell.daemons.remove(daemon)
            self.cell.add_daemon()

        self.run_coroutine(replace())

    @rule(number=DAEMONS, down=SWITCH, late=SWITCH, lose=SHARE)
    def break_table(
        self, number: int, down: bool, late: bool, lose: float
    ) -> None:
        """Sets the faults of a daemon's connection to the table."""
        faults = self.get_daemon(number).table.faults
        faults.down, faults.late = down, 3.0 if late else 0.0
        faults.lose = min(lose, 0.5)

    @rule(number=DAEMONS, worker=WORKERS, down=SWITCH, lose=SHARE, repeat=SHARE)
    def break_worker_connection(
        self, number: int, worker: int, down: bool, lose: float, repeat: float
    ) -> None:
        """Sets the faults of a daemon's connection to a worker."""
        connections = list(self.get_daemon(number).workers.faults.values())
        connections[worker].down = down
        connections[worker].lose, connections[worker].repeat = lose, repeat

    @rule(worker=WORKERS, paused=SWITCH)
    def pause_worker(self, worker: int, paused: bool) -> None:
        """Pauses or resumes a worker."""
        self.cell.workers[worker].paused = paused

    @rule(worker=WORKERS)
    def restart_worker(self, worker: int) -> None:
        """Restarts a worker."""
        self.cell.workers[worker].restart()

    @rule(down=SWITCH)
    def break_objects(self, down: bool) -> None:
        """Makes the object store unavailable or available."""
        self.cell.objects.down = down

    @invariant()
    def check_guarantees(self) -> None:
        """Checks all guarantees."""
        assert self.cell.find_violations() == []

    def teardown(self) -> None:
        """Removes all faults and checks that every job ends."""
        try:
            self.run_coroutine(self._remove_faults_and_finish())
            self.check_guarantees()
        finally:
            self.run_coroutine(self.cell.__aexit__())
            self.runner.close()

    async def _remove_faults_and_finish(self) -> None:
        self.cell.objects.down = False
        for worker in self.cell.workers:
            worker.paused = False
        for daemon in self.cell.daemons:
            daemon.wake()
            daemon.table.faults.down = False
            daemon.table.faults.lose = 0.0
            for connection in daemon.workers.faults.values():
                connection.down, connection.lose, connection.repeat = (
                    False,
                    0.0,
                    0.0,
                )
        assert await self.cell.finish(), 'a job did not end'


BatchMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)
TestBatchMachine = BatchMachine.TestCase
