"""Throttle commands that an unhealthy worker refuses."""

from __future__ import annotations

import asyncio

from tests.restart_fixtures import (
    CALL_SECONDS,
    TIMEOUT_SECONDS,
    RestartScene,
    play,
)

CPU_PERCENT = 40
LATER_CPU_PERCENT = 60


def test_a_throttle_command_that_was_refused_is_sent_again() -> None:
    """A refused command counted as in force: the task disturbed the others."""

    async def scenario(scene: RestartScene) -> None:
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(scene.client.running))
        scene.client.refused_throttles = 2
        scene.commands.throttle(scene.task, CPU_PERCENT)
        await asyncio.sleep(2 * TIMEOUT_SECONDS)
        assert scene.client.cpu_percents == {str(scene.task.id): CPU_PERCENT}

    play(scenario)


def test_a_throttle_command_that_is_outdated_is_not_sent_again() -> None:
    """A refused command must not replace the CPU share that came after it."""

    async def scenario(scene: RestartScene) -> None:
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(scene.client.running))
        scene.client.refused_throttles = 1
        scene.commands.throttle(scene.task, CPU_PERCENT)
        await asyncio.sleep(CALL_SECONDS / 2)
        scene.commands.throttle(scene.task, LATER_CPU_PERCENT)
        await asyncio.sleep(2 * TIMEOUT_SECONDS)
        percents = scene.client.cpu_percents
        assert percents == {str(scene.task.id): LATER_CPU_PERCENT}

    play(scenario)
