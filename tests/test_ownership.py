"""Which host owns a service, where hosts differ in size."""

from __future__ import annotations

import pathlib

from tests.helpers import run
from tests.platform_scene import Daemon, Scene, open_scene

FIRST = '0123456789abcdef'
SECOND = 'fedcba9876543210'

SMALL = {'cpuShare': 0.5, 'cores': 1, 'linkMbps': 5}
LARGE = {'cpuShare': 0.7, 'cores': 3, 'linkMbps': 100}


async def wait_for_line(scene: Scene, daemon: Daemon, message: str) -> None:
    async def is_told() -> bool:
        return bool(daemon.select(message=message))

    await scene.wait_for(is_told)


def test_a_small_host_hands_a_service_over_to_a_larger_one(
    tmp_path: pathlib.Path,
) -> None:
    """Quick jobs wait for seconds on a deployment whose hosts differ in size.

    The first daemon that asked for the lease sits on a host with a tenth of
    the link of others. All orders and looks go through that link, which is
    full: starts, cancellations and acknowledgements come seconds late, while
    a host that could carry them stands by.
    The larger host has to own the service once it is there, and what runs has
    to stay in place.
    """

    async def play() -> None:
        async with open_scene(tmp_path) as scene:
            for worker in scene.fleet.workers:
                worker.lasts.add('long')
            small = await scene.start('host-1', limits=SMALL)
            await scene.submit(small, FIRST, 'long', longRunning=True)
            await scene.wait_for_state(small, FIRST, 'running')
            large = await scene.start('host-2', limits=LARGE)
            await wait_for_line(scene, large, 'Taken: desk.')
            assert not small.select(part='owner', level='warning')
            await scene.submit(small, SECOND)
            await scene.wait_for_state(small, SECOND, 'completed')
            starts = [task for task, _, _ in scene.fleet.list_starts()]
            assert sorted(starts) == [f'{FIRST}.0.0.0', f'{SECOND}.0.0.0']

    run(play())
