"""Schedules of restarts and late calls that the state machine test found."""

from __future__ import annotations

import asyncio

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.worker_leases import START_TIMEOUT_SECONDS
from lentilmount.platform.workers import CallStatus, CommandAnswer
from stand_ins.model_network import CallFault, Fault
from stand_ins.model_site import ModelSite
from stand_ins.model_worker import START_PATH
from stand_ins.virtual_time import run_virtual
from tests.restart_fixtures import (
    DELAY_SECONDS,
    TIMEOUT_SECONDS,
    RestartingWorker,
    RestartScene,
    play,
)
from tests.test_session_state_machine import make_spec

REFUSED_STOPS = 60
"""Number of stops, one for each report, that are refused for over a second."""

LATE_SECONDS = 12.0
DOWN_SECONDS = 8.0
"""Longer than a lease, so that the task has run elsewhere, and than it takes
until the registration of a silent worker is removed."""


def test_a_start_that_outlives_two_restarts_runs_on_one_worker() -> None:
    """The stop of a late start was forgotten in the worker's next restart."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.start_seconds = DELAY_SECONDS
        scene.commands.start(scene.task)
        for _ in range(2):
            await scene.observe(DELAY_SECONDS / 4)
            scene.client.restart()
        await scene.observe(3.0)
        assert scene.client.late_starts

    play(scenario)


def test_a_start_answered_after_an_unseen_restart_runs_on_one_worker() -> None:
    """The registration of a restart ended a run that had started after it."""

    async def scenario(scene: RestartScene) -> None:
        client = scene.client
        client.silent_polls = True
        await asyncio.sleep(DELAY_SECONDS)
        client.restart()
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(client.running))
        scene.session.handle_registration(client.incarnation)
        await scene.observe(3.0)

    play(scenario)


def test_a_start_that_outlives_the_session_of_its_worker_is_stopped() -> None:
    """A worker that was gone for long executed a start of before its crash."""
    clock = ManualClock()
    site = ModelSite(clock)

    async def scenario() -> None:
        for _ in range(2):
            site.add_worker()
        site.start_owner()
        await asyncio.sleep(1.5)
        watch = asyncio.create_task(site.watch())
        spec = make_spec(0, 'short', False)
        links = [site.get_link(worker) for worker in site.workers]
        for link in links:
            link.faults[START_PATH] = [CallFault(Fault.LATE, LATE_SECONDS)]
        site.submit(spec)
        await asyncio.sleep(0.1)
        name = site.find_worker(f'{spec.id}.0.0.0')
        for position, link in enumerate(links):
            link.faults.clear()
            if link.worker.id == name:
                site.crash(position, DOWN_SECONDS, 0.2, True)
        await site.finish()
        site.check()
        watch.cancel()
        await site.kill_owner()

    run_virtual(scenario(), clock)
    assert site.network.late_calls == 0
    assert site.violations == []


def test_a_waiting_task_is_kept_until_its_late_start_is_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The stop of an expired start was lost after a restart; it ran twice."""

    async def lose(*arguments: object) -> CommandAnswer:
        await asyncio.sleep(TIMEOUT_SECONDS)
        return CommandAnswer(CallStatus.UNKNOWN)

    async def scenario(scene: RestartScene) -> None:
        scene.client.start_seconds = START_TIMEOUT_SECONDS + DELAY_SECONDS
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.id in scene.cluster.ready)
        monkeypatch.setattr(RestartingWorker, 'stop', lose)
        scene.client.restart()
        await scene.wait_until(lambda: scene.session.incarnation == 1)
        await scene.observe(3.0)
        assert scene.client.late_starts

    play(scenario)


def test_a_waiting_task_is_kept_until_an_older_late_start_is_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Only late starts of the newest run were waited for; the task ran twice.

    It ran elsewhere after the start had expired, and was lost there.
    """

    async def lose(*arguments: object) -> CommandAnswer:
        await asyncio.sleep(TIMEOUT_SECONDS)
        return CommandAnswer(CallStatus.UNKNOWN)

    async def scenario(scene: RestartScene) -> None:
        loop = asyncio.get_running_loop()
        scene.client.start_seconds = START_TIMEOUT_SECONDS + DELAY_SECONDS
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.id in scene.cluster.ready)
        scene.cluster.place([scene.task], scene.other, loop.time())
        # By the other worker's clock, which tells nothing of this one.
        scene.task.start_deadline_ms = 1
        scene.cluster.end_worker_tasks(scene.other, loop.time())
        assert (scene.task.run, scene.task.worker) == (2, '')
        monkeypatch.setattr(RestartingWorker, 'stop', lose)
        scene.client.restart()
        await scene.wait_until(lambda: scene.session.incarnation == 1)
        await scene.observe(3.0)
        assert scene.client.late_starts

    play(scenario)


def test_a_lost_task_is_kept_until_an_older_late_start_is_stopped() -> None:
    """The run that a restart ended was newer than the start still to come."""

    async def scenario(scene: RestartScene) -> None:
        loop = asyncio.get_running_loop()
        scene.client.start_seconds = START_TIMEOUT_SECONDS + DELAY_SECONDS
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.id in scene.cluster.ready)
        scene.cluster.place([scene.task], scene.worker, loop.time())
        scene.cluster.confirm_start(scene.task, 2, loop.time())
        scene.client.running[str(scene.task.id)] = 2
        await asyncio.sleep(DELAY_SECONDS / 4)
        scene.client.refused_stops = 8
        scene.client.restart()
        await scene.wait_until(lambda: scene.session.incarnation == 1)
        await scene.observe(3.0)
        assert scene.client.late_starts

    play(scenario)


def test_a_task_is_kept_until_a_listed_older_run_has_ended() -> None:
    """A task was placed while an older run of it was being stopped.

    That run was thought to be lost with its worker, and the later one was.
    """

    async def scenario(scene: RestartScene) -> None:
        loop = asyncio.get_running_loop()
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(scene.client.running))
        scene.client.refused_stops = REFUSED_STOPS
        for lost in (scene.worker, scene.other):
            scene.cluster.end_worker_tasks(lost, loop.time())
            if lost is scene.worker:
                scene.cluster.place([scene.task], scene.other, loop.time())
        assert (scene.task.run, scene.task.worker) == (2, '')
        await asyncio.sleep(DELAY_SECONDS)
        assert scene.client.refused_stops
        await scene.observe(3.0)
        assert scene.task.worker == scene.other.id

    play(scenario)
