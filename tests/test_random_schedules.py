"""Random schedules, longer than those of the state machine tests.

Tasks crash workers whose capacity shrinks and grows, beside owners that are
replaced. `python -m tests.test_random_schedules FIRST_SEED COUNT` plays more.
"""

from __future__ import annotations

import functools
import random
import sys
from collections.abc import Callable

import pytest

from stand_ins.limits import FULL_CORES
from stand_ins.model_network import CallFault, Fault, TableFault, WriteFault
from stand_ins.model_worker import POLL_PATH, START_PATH, STOP_PATH
from tests.test_session_state_machine import ESTIMATES, ZONES, SessionMachine

SEEDS = range(1, 13)
MORE_WORKERS = (0, 1, 2, 3)
"""Numbers of workers beside the two that each site has."""

PAUSES = (0.0, 0.03, 0.1, 0.3, 0.6, 1.0, 2.0)
ACTIONS = (20, 45)
"""Smallest and largest number of actions of a schedule."""

CRASHING_SHARES = (0.0, 0.4)
"""Share of the jobs whose task crashes each worker that starts it."""

OWNER_SHARE = 0.2
"""Share of the jobs that the owner accepts."""

BATCHES = (1, 1, 4, 8)
"""Numbers of jobs submitted at once."""

CORES = (4.5, 6.5, FULL_CORES)
"""Cores of all workers at first; a task takes 2."""

CALL_FAULTS = (
    CallFault(Fault.LOST),
    CallFault(Fault.UNANSWERED),
    CallFault(Fault.RESET),
    CallFault(Fault.RESET, 0.3),
    CallFault(Fault.SLOW, 0.35),
    CallFault(Fault.SLOW, 0.7),
    CallFault(Fault.LATE, 0.5),
    CallFault(Fault.LATE, 2.0),
    CallFault(Fault.LATE, 8.0),
)
WRITE_FAULTS = (
    TableFault(),
    TableFault(WriteFault.UNAVAILABLE),
    TableFault(WriteFault.UNANSWERED),
    TableFault(WriteFault.CONFLICTING),
    TableFault(WriteFault.SLOW, 0.7),
)


class Schedule:
    """One random schedule on a site.

    Args:
      seed: Seed from which it is drawn.
      machine: The site, before its begin.
    """

    def __init__(self, seed: int, machine: SessionMachine):
        self._random = random.Random(seed)
        self._machine = machine
        self._crashing_share = self._random.choice(CRASHING_SHARES)
        self._cores = self._random.choice(CORES)
        self._actions: dict[Callable[[], None], int] = {
            self._submit: 5,
            self._cancel: 1,
            self._disturb: 2,
            self._disturb_writes: 1,
            self._cut: 1,
            self._crash: 1,
            self._replace_owner: 2,
            self._cut_off_owner: 1,
            self._take_store_down: 1,
            self._register: 1,
            self._resize: 2,
            self._choose_ids: 1,
            self._cordon: 2,
            self._wait: 1,
        }

    def play(self) -> list[str]:
        """Plays the schedule; returns the violations."""
        machine = self._machine
        try:
            machine.begin()
            for number in range(self._random.choice(MORE_WORKERS)):
                zone = ZONES[number % len(ZONES)]
                machine.act(
                    functools.partial(machine.site.add_worker, zone), 0.0
                )
            for position in range(len(machine.site.workers)):
                machine.resize(position, self._cores, 0.0, 0.0)
            kinds, weights = zip(*self._actions.items(), strict=True)
            count = self._random.randint(*ACTIONS)
            for action in self._random.choices(kinds, weights, k=count):
                action()
            machine.run_coroutine(machine.site.finish())
            return machine.site.violations
        finally:
            machine.close()

    def _pause(self) -> float:
        return self._random.choice(PAUSES)

    def _position(self) -> int:
        return self._random.randrange(len(self._machine.site.workers))

    def _flip(self) -> bool:
        return self._random.random() < 0.5

    def _submit(self) -> None:
        is_crashing = self._random.random() < self._crashing_share
        names = [n for n in ESTIMATES if n.startswith('always') == is_crashing]
        payload = self._random.choice(names)
        for _ in range(self._random.choice(BATCHES)):
            has_two_steps = self._random.random() < 0.2
            if self._random.random() < OWNER_SHARE:
                self._machine.submit_to_owner(payload, has_two_steps, 0.0)
            else:
                self._machine.submit(payload, has_two_steps, 0.0)
        self._machine.wait(self._pause())

    def _cancel(self) -> None:
        self._machine.cancel(self._random.randint(0, 9), self._pause())

    def _disturb(self) -> None:
        path = self._random.choice([START_PATH, STOP_PATH, POLL_PATH])
        faults = self._random.choices(CALL_FAULTS, k=self._random.randint(1, 4))
        self._machine.disturb(self._position(), path, faults)

    def _disturb_writes(self) -> None:
        count = self._random.randint(1, 6)
        faults = self._random.choices(WRITE_FAULTS, k=count)
        self._machine.disturb_writes(faults, self._pause())

    def _cut(self) -> None:
        calls, answers = self._flip(), self._flip()
        self._machine.cut(self._position(), calls, answers, self._pause())

    def _crash(self) -> None:
        self._machine.crash(
            self._position(),
            self._random.choice([0.2, 0.5, 1.0, 3.0, 8.0]),
            self._random.choice([0.2, 2.0]),
            self._flip(),
            self._pause(),
        )

    def _replace_owner(self) -> None:
        down_seconds = self._random.choice([0.0, 0.5, 3.0])
        self._machine.replace_owner(down_seconds, self._pause())

    def _cut_off_owner(self) -> None:
        cut_seconds = self._random.choice([1.0, 3.0, 8.0])
        self._machine.cut_off_owner(cut_seconds, self._pause())

    def _take_store_down(self) -> None:
        down_seconds = self._random.choice([1.0, 3.0, 8.0])
        self._machine.take_store_down(down_seconds, self._pause())

    def _register(self) -> None:
        position, is_registered = self._position(), self._flip()
        self._machine.register(position, is_registered, self._pause())

    def _resize(self) -> None:
        cores = self._random.choice([0.5, 2.5, 4.5, self._cores])
        registration_seconds = self._random.random()
        self._machine.resize(
            self._position(), cores, registration_seconds, self._pause()
        )

    def _choose_ids(self) -> None:
        self._machine.choose_ids(self._flip())

    def _cordon(self) -> None:
        zone, is_cordoned = self._random.choice(ZONES), self._flip()
        self._machine.cordon(zone, is_cordoned, self._pause())

    def _wait(self) -> None:
        self._machine.wait(self._random.choice([0.5, 2.0, 6.0, 10.0]))


def play(seed: int) -> list[str]:
    """Plays the schedule of a seed; returns the violations."""
    return Schedule(seed, SessionMachine()).play()


@pytest.mark.parametrize('seed', SEEDS)
def test_random_schedules(seed: int) -> None:
    """A task beside takeovers crashed one worker after the other, unbounded."""
    assert play(seed) == []


def play_range(
    play_seed: Callable[[int], list[str]], first: int, count: int
) -> None:
    """Plays the schedules of some seeds and prints their violations."""
    found = 0
    for seed in range(first, first + count):
        violations = play_seed(seed)
        found += bool(violations)
        for violation in violations:
            print(seed, violation, flush=True)
    print(f'{count} schedules from {first}, {found} with violations.')


if __name__ == '__main__':
    play_range(play, *map(int, sys.argv[1:]))
