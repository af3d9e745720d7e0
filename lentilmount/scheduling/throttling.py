"""Slowing down what fills beside what serves.

Load pattern: a serving task nears its target because its load swings up or a
neighbour turns busy. Only the neighbours that interfere are slowed, as far as
needed, and get their time back when the load falls.
"""

from __future__ import annotations

import math

import attrs

from lentilmount.scheduling.interference import (
    LEAST_INTERFERENCE,
    TARGET_UTILISATION,
    InterferenceModel,
    count_paced,
    measure_utilisation,
)
from lentilmount.scheduling.model import Task, Worker, measure_intensity

PACE_ABOVE = TARGET_UTILISATION - 0.03
PACE_TO = TARGET_UTILISATION - 0.1
RAISE_BELOW = TARGET_UTILISATION - 0.12
"""Utilisations from which neighbours are slowed down, to which, and up to
which they get more again; the gap keeps the two from alternating."""

PACE_AHEAD_SECONDS = 0.7
"""How far ahead slowing down is judged: a look and the order take as long."""

RAISE_STEP = 50
"""Percent that a slowed task gets back at once."""

SUSPEND_AFTER_SECONDS = 1.5
"""Time over target after which everything that fills beside stops working,
whatever the model says. Half of the shortest allowed time (4 s) less the age
of a figure (0.5 s) and one look (0.5 s)."""


@attrs.define
class Throttler:
    """Decides the pace of filling tasks."""

    _interference_model: InterferenceModel

    def plan(self, worker: Worker, now: float) -> dict[Task, int]:
        """Decides which filling tasks get how many percent from now on."""
        wanted = {
            task: task.cpu_percent
            for task in worker.tasks.values()
            if task.spec.fills
        }
        if not wanted:
            return {}
        served = [
            task
            for task in worker.tasks.values()
            if task.is_serving and task.usage is not None
        ]
        if any(
            self._interference_model.get_seconds_over(task, now)
            >= SUSPEND_AFTER_SECONDS
            for task in served
        ):
            return {fill: 0 for fill in wanted if fill.cpu_percent}
        calm = True
        for task in served:
            excess = self._measure_now(task, wanted)
            if excess > PACE_ABOVE:
                calm = False
                self._slow_down(task, excess - PACE_TO, wanted)
        if calm:
            self._speed_up(served, wanted)
        return {t: p for t, p in wanted.items() if p != t.cpu_percent}

    def _measure_now(self, task: Task, wanted: dict[Task, int]) -> float:
        """Returns the utilisation to expect if nothing is changed.

        The figure is of the past half second; what was slowed down meanwhile
        shows in the prediction only, so the lower of the two counts now.
        """
        ratio = (task.usage or 0.0) / task.spec.target_ms
        beside = count_paced(wanted)
        predicted = self._interference_model.predict(
            task, beside, PACE_AHEAD_SECONDS
        )
        now = min(
            measure_utilisation(ratio),
            self._interference_model.predict(task, beside),
        )
        return max(now, predicted)

    def _slow_down(
        self, served: Task, excess: float, wanted: dict[Task, int]
    ) -> None:
        """Slows the worst neighbours until the excess is gone."""
        worst = sorted(
            wanted, key=lambda t: -self._measure_interference_now(served, t)
        )
        for fill in worst:
            interference = self._measure_interference_now(served, fill)
            if excess <= 0 or interference < LEAST_INTERFERENCE:
                return
            cut = min(wanted[fill], math.ceil(100 * excess / interference))
            wanted[fill] -= cut
            excess -= interference * cut / 100

    def _measure_interference_now(self, served: Task, fill: Task) -> float:
        interference = self._interference_model.get_interference(
            served, fill.spec.image
        )
        return interference * measure_intensity(fill)

    def _speed_up(self, served: list[Task], wanted: dict[Task, int]) -> None:
        """Gives one slowed neighbour more, if every tail allows it."""
        slowed = [t for t, percent in wanted.items() if percent < 100]
        for fill in sorted(slowed, key=lambda t: t.job.accepted_at):
            more = min(100, wanted[fill] + RAISE_STEP)
            beside = count_paced({**wanted, fill: more})
            if all(
                self._interference_model.get_interference(task, fill.spec.image)
                < LEAST_INTERFERENCE
                or self._interference_model.predict(task, beside) < RAISE_BELOW
                for task in served
            ):
                wanted[fill] = more
                return
