"""CPU shares of best-effort tasks that a new owner takes over.

Load pattern: thousands of best-effort tasks run when an owner is replaced, and
only some of them are throttled.
"""

from __future__ import annotations

from typing import cast

import attrs
import pytest

from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.task_control import (
    INHERITED_CPU_PERCENT,
    TaskController,
)
from lentilmount.control.worker_commands import CommandSender
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import BUSY_USAGE, QUIET_USAGE, Task
from lentilmount.scheduling.reconciliation import ReconcileResult
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    run_task,
)


@attrs.define
class _Commands:
    """Records the commands that would be sent."""

    throttled: list[tuple[Task, int]] = attrs.Factory(list)

    def throttle(self, task: Task, cpu_percent: int) -> None:
        self.throttled.append((task, cpu_percent))


@pytest.mark.parametrize(
    ('usage_share', 'is_set_anew'),
    [
        (BUSY_USAGE, False),
        (QUIET_USAGE, False),
        (0.5, True),
        (0.0, True),
        (None, True),
    ],
)
def test_only_shares_that_may_be_reduced_are_set_anew(
    usage_share: float | None, is_set_anew: bool
) -> None:
    """Each takeover slowed all best-effort tasks to 60 percent.

    It also sent a command for each of them, and more to undo it.
    """
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('a', make_step(fills=True, image='batch')))
    task = find_task(cluster, 'a')
    run_task(cluster, task, worker, 0.0)
    if usage_share is not None:
        task.usage = usage_share * 1000 * task.spec.demand.cores
    commands = _Commands()
    controller = TaskController(
        cluster,
        InterferenceModel(),
        WorkerHealth(),
        cast(CommandSender, commands),
        ControlMetrics(),
    )
    controller._resume(task)
    expected = [(task, INHERITED_CPU_PERCENT)] if is_set_anew else []
    assert commands.throttled == expected
    controller.handle_poll_result(worker, ReconcileResult(), 1.0)
    assert task.cpu_percent == 100
