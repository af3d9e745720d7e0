"""A platform and two daemons in a thread of this process, shared by tests."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import threading
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

import attrs

from lentilmount.context import Environment
from lentilmount.core import main
from lentilmount.daemon.lifecycle import Daemon
from lentilmount.resources import Room
from lentilmount.settings import (
    AccessSettings,
    PlatformSettings,
    Settings,
    TimeSettings,
)
from lentilmount.status import ExitStatus
from lentilmount.upstream.http import HttpClient, HttpResponse
from stand_ins.platform import Platform, PlatformOptions, make_zones
from stand_ins.processes import hash_token

T = TypeVar('T')

ZONES = ('alex-a', 'lodz')
ALL_VERBS = ('call', 'read', 'write', 'admin')
TOKENS = {
    'admin': ('*', ALL_VERBS),
    'desk': ('desk', ('call', 'read', 'write')),
    'rival': ('rival', ('call', 'read', 'write')),
    'reader': ('*', ('read',)),
}
TIMES = TimeSettings(
    heartbeat=0.1,
    silence=1.0,
    poll=0.1,
    host_list=0.1,
    sync=0.2,
    drain=0.05,
)


@attrs.frozen
class ToolResult:
    """Result of a run of the command-line tool.

    Attributes:
      status: Exit status.
      out: Standard output.
      err: Standard error output.
    """

    status: ExitStatus
    out: str
    err: str


def run_tool(
    *args: str,
    stdin: str = '',
    variables: dict[str, str] | None = None,
) -> ToolResult:
    """Runs the command-line tool in this process."""
    out, err = io.StringIO(), io.StringIO()
    env = Environment(io.StringIO(stdin), out, err, variables or {})
    status = main(list(args), env)
    return ToolResult(status, out.getvalue(), err.getvalue())


class Site:
    """A platform and two daemons; calls go to the first daemon by default.

    Attributes:
      loop: Event loop of the thread.
      daemons: The daemons.
      platform: The platform.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.daemons: list[Daemon] = []
        self._ready = threading.Event()
        self._stop = asyncio.Event()
        self._thread = threading.Thread(target=self._run)

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._serve())

    async def _serve(self) -> None:
        zones = make_zones(ZONES, 4, 2, Room(16.0, 65536, 0))
        async with contextlib.AsyncExitStack() as stack:
            self.platform = await stack.enter_async_context(
                Platform(PlatformOptions(zones))
            )
            for number, zone in enumerate(ZONES):
                daemon = Daemon(self.make_settings(f'entry-{number}', zone))
                self.daemons.append(await stack.enter_async_context(daemon))
            self._ready.set()
            await self._stop.wait()

    def make_settings(self, name: str, zone: str, **changes: Any) -> Settings:
        """Builds the settings of another daemon, with `changes` applied."""
        addresses = self.platform.get_addresses()
        settings = Settings(
            name=name,
            zone=zone,
            zones=ZONES,
            platform=PlatformSettings(
                addresses['table'], addresses['objects'], addresses['hosts']
            ),
            peers=tuple(d.addresses['peers'] for d in self.daemons),
            access=tuple(
                AccessSettings(who, hash_token(who), team, verbs)
                for who, (team, verbs) in TOKENS.items()
            ),
            times=TIMES,
        )
        return attrs.evolve(settings, **changes)

    def __enter__(self) -> Site:
        """Starts the thread and waits until all daemons listen."""
        self._thread.start()
        assert self._ready.wait(20)
        return self

    def __exit__(self, *_: object) -> None:
        """Stops the daemons, the platform and the thread."""
        self.loop.call_soon_threadsafe(self._stop.set)
        self._thread.join(20)

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the daemons' loop and returns its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(30)

    def base(self, listener: str = 'operators', daemon: int = 0) -> str:
        """Returns the base URL of a daemon's listener."""
        return f'http://{self.daemons[daemon].addresses[listener]}'

    def send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        token: str = 'admin',
        listener: str = 'operators',
        **headers: str,
    ) -> HttpResponse:
        """Sends a request; underscores in header names stand for hyphens."""

        async def call() -> HttpResponse:
            caller = HttpClient(self.base(listener), 20.0)
            try:
                return await caller.call(
                    method,
                    path,
                    body if body is not None or method != 'POST' else b'',
                    {
                        'Authorization': f'Bearer {token}',
                        **{k.replace('_', '-'): v for k, v in headers.items()},
                    },
                )
            finally:
                caller.close()

        return self.run(call())

    def call(self, method: str, path: str, value: Any = None, **kw: Any) -> Any:
        """Sends JSON and returns the JSON of the answer; see `send`."""
        body = None if value is None else json.dumps(value).encode()
        answer = self.send(method, path, body, **kw)
        return json.loads(answer.body)

    def hold_jobs(self, hold: bool) -> None:
        """Holds or resumes the progress of the workers' jobs."""
        for worker in self.platform.workers:
            worker.faults.hold = hold

    def tool(
        self, *args: str, token: str = 'admin', stdin: str = ''
    ) -> ToolResult:
        """Runs the command-line tool against the first daemon."""
        return run_tool(
            *('--server', self.base(), '--token', token), *args, stdin=stdin
        )


@contextlib.contextmanager
def open_site() -> Iterator[Site]:
    """Opens a site with two teams, a service and a configuration."""
    with Site() as site:
        site.tool('apply', '-f', '-', stdin=json.dumps(INITIAL_RESOURCES))
        yield site


def make_job(name: str, team: str = 'desk', **spec: Any) -> dict[str, Any]:
    """Builds the document of a small job."""
    demand = {'cores': 1, 'memory_mb': 64}
    return {
        'kind': 'Job',
        'metadata': {'team': team, 'name': name},
        'spec': {
            'demand': demand,
            'payload': json.dumps({'seconds': 0.1}),
            **spec,
        },
    }


def make_service(name: str, team: str, **spec: Any) -> dict[str, Any]:
    """Builds the document of a small service."""
    return {
        'kind': 'Service',
        'metadata': {'team': team, 'name': name},
        'spec': {
            'demand': {'cores': 1, 'memory_mb': 64},
            'replicas': 2,
            **spec,
        },
    }


INITIAL_RESOURCES = [
    {'kind': 'Configuration', 'metadata': {'name': 'default'}},
    {'kind': 'Team', 'metadata': {'name': 'desk'}},
    {'kind': 'Team', 'metadata': {'name': 'rival'}},
    make_service('airtime', 'desk'),
]
