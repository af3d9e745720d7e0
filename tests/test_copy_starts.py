"""Starts of copies by the dispatcher: written first, and only at calm times."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import Any, cast

import attrs
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.advice import Advice
from lentilmount.control.copier import Copier
from lentilmount.control.dispatcher import Dispatcher
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.placement_log import Start
from lentilmount.control.state_writer import StateWriter
from lentilmount.coordination.leases import Lease
from lentilmount.coordination.table import Key
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.takeover import UnrecordedStarts
from stand_ins.virtual_time import run_virtual
from tests.copy_fixtures import CopyScene, make_scene


@attrs.define
class RecordingWriter:
    """Records what is to be written and then started.

    Attributes:
      starts: Id, run and worker of each start, when its write was requested.
    """

    starts: list[Start] = attrs.Factory(list)

    def add_start(self, task: Task) -> None:
        """Records a start."""
        self.starts.append((str(task.id), task.run, task.worker))

    def send_unrecorded(self) -> None:
        """Sends no start."""


@attrs.define
class Conditions:
    """What the dispatcher finds beside a slow task.

    Attributes:
      is_outage: Whether no daemon reaches the store.
      are_all_recorded: Whether the rows hold all starts of the owner before.
      lease_seconds: Time for which the lease on the service is valid.
    """

    is_outage: bool = False
    are_all_recorded: bool = True
    lease_seconds: float = 60.0


def dispatch(scene: CopyScene, conditions: Conditions) -> list[Start]:
    """Runs passes over a scene; returns the starts that are written."""
    clock = ManualClock()
    clock.now = 3.0
    metrics, writer = ControlMetrics(), RecordingWriter()
    wake = asyncio.Event()
    stops: list[Any] = []
    dispatcher = Dispatcher(
        scene.cluster,
        Placer(scene.cluster, InterferenceModel()),
        cast(StateWriter, writer),
        Advice(scene.cluster, None, clock.monotonic, wake.set),
        UnrecordedStarts(
            scene.cluster,
            conditions.are_all_recorded,
            math.inf,
            frozenset(),
        ),
        metrics,
        clock.monotonic,
        Lease(Key('service', 'lease'), 'host', 1, 1, 3.0, 3.0, {}),
        lambda: conditions.is_outage,
        wake,
        lambda task, reason: stops.append((task, reason)),
        copier=Copier(
            scene.cluster,
            scene.stragglers,
            WorkerHealth(),
            metrics,
            stops.append,
            lambda task, reason: stops.append((task, reason)),
        ),
    )
    dispatcher.lease.valid_until += conditions.lease_seconds

    async def work() -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.25):
                await dispatcher.run()

    run_virtual(work(), clock)
    return writer.starts


def test_a_copy_is_written_before_it_is_started() -> None:
    """The next owner started a task elsewhere of which no row told a copy."""
    scene = make_scene()
    task = scene.run_step(scene.add_workers(2)[0])
    starts = dispatch(scene, Conditions())
    assert starts == [(str(task.id), 2, 'w1')]
    assert 'a' in scene.cluster.dirty


@pytest.mark.parametrize(
    'conditions',
    [
        Conditions(is_outage=True),
        Conditions(are_all_recorded=False),
        Conditions(lease_seconds=-1.0),
    ],
)
def test_nothing_is_copied_while_starts_cannot_be_recorded(
    conditions: Conditions,
) -> None:
    """A copy that no row told of ran on after a takeover."""
    scene = make_scene()
    task = scene.run_step(scene.add_workers(2)[0])
    assert dispatch(scene, conditions) == []
    assert task.older is None
