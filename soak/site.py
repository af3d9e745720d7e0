"""Plays a plan on the processes of a small site."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import pathlib
import random
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs

from lentilmount.upstream.http import HttpClient
from soak.clients import Clients
from soak.events import Event, EventKind, EventLog, get_time
from soak.links import Link
from soak.plan import (
    PROCESS_FAULTS,
    ZONES,
    Fault,
    FaultKind,
    Plan,
    make_link_name,
)
from soak.processes import (
    Host,
    WorkerPosition,
    end_process,
    pause,
    read_line,
    start_process,
)
from soak.registrations import Registrations, replace_addresses

RECOVERY_SECONDS = 30.0
"""Time after the last fault in which all jobs have to end."""

SETTLE_SECONDS = 3.0
"""Time before the first job, and after the last one has ended."""

MAX_CALLS = 64


@attrs.define(eq=False)
class Site:
    """The processes of a site and the links between them.

    Attributes:
      plan: What is played.
      code: The checkout whose daemons run.
      folder: Folder of logs and records.
      stack: Closes all of it.
      log: Events of the soak.
      links: Links by name.
      positions: Positions of workers by name.
      hosts: Hosts by name.
      registrations: Writes the rows of workers and operators.
      tasks: Work in the background.
    """

    plan: Plan
    code: pathlib.Path
    folder: pathlib.Path
    stack: contextlib.AsyncExitStack
    log: EventLog
    links: dict[str, Link] = attrs.Factory(dict)
    positions: dict[str, WorkerPosition] = attrs.Factory(dict)
    hosts: dict[str, Host] = attrs.Factory(dict)
    registrations: Registrations = attrs.field(init=False)
    tasks: set[asyncio.Task[None]] = attrs.Factory(set)
    _cordoned_until: dict[str, float] = attrs.Factory(dict)

    async def open(self) -> None:
        """Starts all processes."""
        self.stack.push_async_callback(self._end_tasks)
        link_log = EventLog(self.folder / 'links.jsonl')
        self.stack.callback(link_log.close)
        store = await self._start_store()
        client = HttpClient(f'http://{store}')
        self.stack.callback(client.close)
        registrations = self.registrations = Registrations(client)
        self.stack.callback(registrations.close)
        for number in range(self.plan.size.daemons):
            link = await self._open_link(f'store-{number}', store, link_log)
            host = Host(f'host-{number}', link, self.code, self.folder)
            self.hosts[host.name] = host
            self.stack.push_async_callback(host.close)
        for number in range(self.plan.size.workers):
            name = f'worker-{number}'
            position = WorkerPosition(
                name,
                await self._open_worker_links(name, link_log),
                registrations,
                self.log,
                self.folder,
                random.Random(f'{self.plan.seed}/{number}'),
                ZONES[number % len(ZONES)],
            )
            self.positions[name] = position
            self.stack.push_async_callback(position.close)
            self.start_task(position.run())
        for host in self.hosts.values():
            addresses = {
                name: self.links[make_link_name(host.name, name)].address
                for name in self.positions
            }
            host.link.change_answer = functools.partial(
                replace_addresses, addresses
            )
        await asyncio.gather(*(host.start() for host in self.hosts.values()))

    async def _start_store(self) -> str:
        with (self.folder / 'store.log').open('ab') as errors:
            process = await start_process(
                'soak.store', stdout=asyncio.subprocess.PIPE, stderr=errors
            )
        self.stack.push_async_callback(end_process, process)
        return str((await read_line(process))['address'])

    async def _open_worker_links(
        self, position: str, log: EventLog
    ) -> tuple[Link, ...]:
        """Opens the link from each host to a position of workers."""
        names = [make_link_name(host, position) for host in self.hosts]
        return tuple([await self._open_link(n, '', log) for n in names])

    async def _open_link(self, name: str, target: str, log: EventLog) -> Link:
        link = Link(name, log, target)
        await link.open()
        self.links[name] = link
        self.stack.push_async_callback(link.close)
        return link

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts work that ends with the site."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        return task

    async def _end_tasks(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def list_frontends(self) -> list[str]:
        """Returns the address of each daemon; '' for one that is down."""
        return [host.frontend for host in self.hosts.values()]

    async def play(self) -> None:
        """Plays the plan and waits for the ends of its jobs."""
        client = HttpClient('', clients=MAX_CALLS)
        self.stack.callback(client.close)
        clients = Clients(client, self.list_frontends, self.log)
        start = get_time()
        jobs, faults = self.plan.jobs, self.plan.faults
        calls: list[tuple[float, Callable[[], Awaitable[None]]]] = [
            *((j.at, functools.partial(clients.play, j)) for j in jobs),
            *((f.at, functools.partial(self._apply, f)) for f in faults),
        ]
        work = [
            self.start_task(_call_at(start + at, call)) for at, call in calls
        ]
        await asyncio.wait(work)
        for task in work:
            task.result()
        await clients.wait_for_ends(RECOVERY_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)
        self.log.write(Event(get_time(), EventKind.FINISHED))

    async def _apply(self, fault: Fault) -> None:
        self.log.write(
            Event(
                get_time(),
                EventKind.FAULT,
                fault.target,
                detail=f'{fault.kind.value} {fault.path}'.strip(),
            )
        )
        if fault.kind is FaultKind.CORDON:
            await self._cordon(fault.target, fault.seconds)
        elif fault.kind not in PROCESS_FAULTS:
            for link in self._list_links(fault.target):
                link.set_fault(fault)
        elif fault.target in self.positions:
            await self._disturb_worker(self.positions[fault.target], fault)
        else:
            await self._disturb_host(self.hosts[fault.target], fault)

    async def _cordon(self, zone: str, seconds: float) -> None:
        """Keeps new work from a zone for some seconds, and longer if asked."""
        end = get_time() + seconds
        is_longer = self._cordoned_until.get(zone, 0.0) >= get_time()
        self._cordoned_until[zone] = max(
            end, self._cordoned_until.get(zone, 0.0)
        )
        if is_longer:
            return
        await self.registrations.set_cordoned(zone, True)
        self.log.write(Event(get_time(), EventKind.CORDONED, zone))
        while self._cordoned_until[zone] > get_time():
            await asyncio.sleep(self._cordoned_until[zone] - get_time())
        # Before the row goes, as starts may follow at once.
        self.log.write(Event(get_time(), EventKind.UNCORDONED, zone))
        await self.registrations.set_cordoned(zone, False)

    def _list_links(self, target: str) -> tuple[Link, ...]:
        """Returns the links to a position, or the one of that name."""
        position = self.positions.get(target)
        return position.links if position else (self.links[target],)

    async def _disturb_worker(
        self, position: WorkerPosition, fault: Fault
    ) -> None:
        if fault.kind is FaultKind.PAUSE:
            await pause(position.process, fault.seconds)
        elif fault.kind is FaultKind.RESIZE:
            await position.shrink(fault.cores, fault.seconds)
        else:
            position.kill(fault.seconds, fault.has_new_id)

    async def _disturb_host(self, host: Host, fault: Fault) -> None:
        if fault.kind is FaultKind.PAUSE:
            await pause(host.process, fault.seconds)
            return
        is_killed = fault.kind is FaultKind.KILL
        number = signal.SIGKILL if is_killed else signal.SIGTERM
        await host.restart(number, fault.seconds)


async def _call_at(at: float, call: Callable[[], Awaitable[None]]) -> None:
    await asyncio.sleep(at - get_time())
    await call()


async def play(plan: Plan, code: pathlib.Path, folder: pathlib.Path) -> int:
    """Plays a plan; returns the number of calls that passed the links.

    Args:
      plan: What is played.
      code: The checkout whose daemons run.
      folder: Folder of logs and records.
    """
    async with contextlib.AsyncExitStack() as stack:
        log = EventLog(folder / 'soak.jsonl')
        stack.callback(log.close)
        site = Site(plan, code, folder, stack, log)
        await site.open()
        await asyncio.sleep(SETTLE_SECONDS)
        await site.play()
        return sum(link.calls for link in site.links.values())
