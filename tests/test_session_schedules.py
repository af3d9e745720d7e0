"""Schedules of restarts and late calls that the state machine test found."""

from __future__ import annotations

import asyncio

from tests.test_restarts_with_commands import (
    DELAY_SECONDS,
    RestartScene,
    play,
)


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
