"""Throttling of best-effort tasks on workers that run serving tasks.

Load pattern: a serving task comes close to its latency target because its load
increases or a neighbour enters a busy phase. Only the neighbours that interfere
are throttled, as far as necessary, and regain their CPU share when the load
falls.
"""

from __future__ import annotations

import math

import attrs

from lentilmount.scheduling.interference import (
    MIN_INTERFERENCE,
    TARGET_UTILISATION,
    InterferenceModel,
    count_by_cpu_share,
    measure_utilisation,
)
from lentilmount.scheduling.model import (
    QUIET_USAGE,
    Task,
    Worker,
    measure_intensity,
)

THROTTLE_ABOVE = TARGET_UTILISATION - 0.03
THROTTLE_TARGET = TARGET_UTILISATION - 0.1
RELAX_BELOW = TARGET_UTILISATION - 0.12
"""Utilisation above which neighbours are throttled, the utilisation to reach,
and the one below which they regain CPU share. The gap prevents oscillation."""

THROTTLE_HORIZON_SECONDS = 0.7
"""Prediction horizon for throttling in seconds: a poll and the command take as
long."""

RELAX_STEP_PERCENT = 50
"""CPU share in percent that a throttled task regains at once."""

SUSPEND_AFTER_SECONDS = 1.5
"""Time over target after which all best-effort tasks on the worker are
suspended, whatever the model predicts. It is half of the shortest allowed time
(4 s) minus the age of a measurement (0.5 s) and one poll interval (0.5 s)."""

UNTHROTTLED_USAGE = 0.95 * QUIET_USAGE
"""Least share of its cores that an unthrottled best-effort task uses."""


def runs_unthrottled(task: Task) -> bool:
    """Returns whether the usage of a best-effort task shows no throttling.

    Load pattern: an owner takes over thousands of best-effort tasks whose CPU
    shares it does not know. Setting each of them anew took as many commands,
    and slowed all of them down for seconds, though few were throttled.
    """
    if task.usage is None:
        return False
    return task.usage >= UNTHROTTLED_USAGE * 1000 * task.spec.demand.cores


@attrs.define
class Throttler:
    """Decides the CPU share of best-effort tasks."""

    _interference_model: InterferenceModel

    def plan(self, worker: Worker, now: float) -> dict[Task, int]:
        """Returns the changed CPU shares in percent by best-effort task."""
        planned = {
            task: task.cpu_percent
            for task in worker.tasks.values()
            if task.spec.fills
        }
        if not planned:
            return {}
        serving_tasks = [
            task
            for task in worker.tasks.values()
            if task.is_serving and task.usage is not None
        ]
        if any(
            self._interference_model.get_seconds_over_target(task, now)
            >= SUSPEND_AFTER_SECONDS
            for task in serving_tasks
        ):
            return {
                neighbour: 0 for neighbour in planned if neighbour.cpu_percent
            }
        may_relax = True
        for task in serving_tasks:
            utilisation = self._predict_utilisation(task, planned)
            if utilisation > THROTTLE_ABOVE:
                may_relax = False
                self._throttle_neighbours(
                    task, utilisation - THROTTLE_TARGET, planned
                )
        if may_relax:
            self._relax_one(serving_tasks, planned)
        return {t: p for t, p in planned.items() if p != t.cpu_percent}

    def _predict_utilisation(
        self, task: Task, planned: dict[Task, int]
    ) -> float:
        """Returns the expected utilisation of a task without further changes.

        The measurement covers the past half second. Throttling since then shows
        only in the prediction, so the lower of the two counts as the current
        value.
        """
        ratio = (task.usage or 0.0) / task.spec.target_ms
        neighbours = count_by_cpu_share(planned)
        predicted = self._interference_model.predict(
            task, neighbours, THROTTLE_HORIZON_SECONDS
        )
        current = min(
            measure_utilisation(ratio),
            self._interference_model.predict(task, neighbours),
        )
        return max(current, predicted)

    def _throttle_neighbours(
        self, serving_task: Task, excess: float, planned: dict[Task, int]
    ) -> None:
        """Throttles the most interfering neighbours to remove the excess."""
        worst = sorted(
            planned,
            key=lambda t: -self._get_current_interference(serving_task, t),
        )
        for neighbour in worst:
            interference = self._get_current_interference(
                serving_task, neighbour
            )
            if excess <= 0 or interference < MIN_INTERFERENCE:
                return
            cut = min(
                planned[neighbour], math.ceil(100 * excess / interference)
            )
            planned[neighbour] -= cut
            excess -= interference * cut / 100

    def _get_current_interference(
        self, serving_task: Task, neighbour: Task
    ) -> float:
        interference = self._interference_model.get_interference(
            serving_task, neighbour.spec.image
        )
        return interference * measure_intensity(neighbour)

    def _relax_one(
        self, serving_tasks: list[Task], planned: dict[Task, int]
    ) -> None:
        """Raises one throttled neighbour if every serving task allows it."""
        throttled = [t for t, percent in planned.items() if percent < 100]
        for neighbour in sorted(throttled, key=lambda t: t.job.accepted_at):
            raised = min(100, planned[neighbour] + RELAX_STEP_PERCENT)
            neighbours = count_by_cpu_share({**planned, neighbour: raised})
            if all(
                self._interference_model.get_interference(
                    task, neighbour.spec.image
                )
                < MIN_INTERFERENCE
                or self._interference_model.predict(task, neighbours)
                < RELAX_BELOW
                for task in serving_tasks
            ):
                planned[neighbour] = raised
                return
