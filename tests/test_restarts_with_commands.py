"""Calls to a worker that outlive its restart under the same id."""

from __future__ import annotations

import asyncio

import pytest

from lentilmount.scheduling.model import TaskPhase
from tests.restart_fixtures import DELAY_SECONDS, RestartScene, play


def test_a_start_in_flight_during_a_restart_runs_on_one_worker() -> None:
    """A start reached the next incarnation; its task ran elsewhere as well."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.start_seconds = DELAY_SECONDS
        scene.commands.start(scene.task)
        await asyncio.sleep(DELAY_SECONDS / 2)
        scene.client.restart()
        await scene.observe(3.0)
        assert scene.client.late_starts

    play(scenario)


@pytest.mark.parametrize('seconds', [0.3, 2.0, 5.5, 5.9, 6.1])
def test_a_start_is_not_repeated_to_the_next_incarnation(
    seconds: float,
) -> None:
    """A start without an answer was sent again to a worker that was back."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.silent = True
        scene.commands.start(scene.task)
        await scene.observe(seconds)
        scene.client.silent = False
        scene.client.restart()
        await scene.observe(3.0)
        assert not scene.client.executed

    play(scenario)


def test_ends_of_the_next_incarnation_are_not_acknowledged_unseen() -> None:
    """The number of an old end acknowledged a new one, whose task ran again."""

    async def scenario(scene: RestartScene) -> None:
        session, client = scene.session, scene.client
        session.acknowledge(session.incarnation, 3)
        client.silent_polls = True
        await asyncio.sleep(DELAY_SECONDS)
        client.restart()
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(client.running))
        client.finish(scene.task)
        client.silent_polls = False
        await scene.observe(3.0)
        assert scene.task.phase is TaskPhase.DONE

    play(scenario)
