"""The processes of a soak: how they are started, signalled and ended."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import pathlib
import random
import signal
import sys
from typing import Any

import attrs
import orjson

from soak.definition import CODE
from soak.events import Event, EventKind, EventLog, get_time
from soak.links import Link
from soak.registrations import Registrations
from stand_ins.entry_hosts import write_settings
from stand_ins.limits import FULL_CORES

_PARENT_DEATH_SIGNAL = 1
"""The option of prctl(2) that sets the signal for the death of the parent."""

_LIBC = ctypes.CDLL(None)

RESTART_SECONDS = (0.2, 1.0)
"""Time after which a worker that a task crashed comes back, in seconds."""

MAX_RESIZE_SECONDS = 1.0
"""Longest time until a worker registers its new capacity: a heartbeat."""

REGISTRATION_SECONDS = (0.05, 1.0)
"""Time from the start of a worker until it is registered, in seconds."""

START_SECONDS = 20.0
POLL_SECONDS = 0.05
GRACE_SECONDS = 4.5


def _end_with_parent() -> None:
    _LIBC.prctl(_PARENT_DEATH_SIGNAL, signal.SIGKILL)


async def start_process(
    module: str, *args: str, code: pathlib.Path = CODE, **options: Any
) -> asyncio.subprocess.Process:
    """Starts a module of a checkout; it ends with this process."""
    variables = options.pop('variables', {})
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        module,
        *args,
        cwd=code,
        env={**os.environ, 'PYTHONPATH': str(code), **variables},
        preexec_fn=_end_with_parent,
        # A suspended process of a group that loses its leader is ended.
        start_new_session=True,
        **options,
    )


async def end_process(process: asyncio.subprocess.Process | None) -> None:
    """Kills a process if it still runs."""
    if process is None:
        return
    send_signal(process, signal.SIGKILL)
    await process.wait()


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Sends a signal to a process, unless it has ended."""
    if process.returncode is None:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)


async def read_line(process: asyncio.subprocess.Process) -> dict[str, Any]:
    """Reads the line of JSON that a process prints when it listens.

    Raises:
      ChildProcessError: It ended before.
    """
    assert process.stdout is not None
    async with asyncio.timeout(START_SECONDS):
        line = await process.stdout.readline()
    if not line:
        raise ChildProcessError(f'process {process.pid} ended at its start')
    document: dict[str, Any] = orjson.loads(line)
    return document


@attrs.define(eq=False)
class WorkerPosition:
    """A place where one worker process after another runs.

    Attributes:
      name: Name of the position.
      links: The links through which daemons reach it.
      registrations: Where its workers are registered.
      log: Events of the soak.
      folder: Folder of the records.
      rng: Draws the times of restarts after crashes.
      zone: Availability zone of its workers.
      id: Id of the current worker.
      born: Start of its incarnation in milliseconds.
      process: Its process.
      registration: What it registers.
    """

    name: str
    links: tuple[Link, ...]
    registrations: Registrations
    log: EventLog
    folder: pathlib.Path
    rng: random.Random
    zone: str
    id: str = ''
    born: int = 0
    process: asyncio.subprocess.Process | None = None
    registration: dict[str, Any] = attrs.Factory(dict)
    _ids: int = 0
    _next_seconds: float | None = None
    _has_new_id: bool = True
    _is_closing: bool = False

    async def run(self) -> None:
        """Runs workers, one after the other, until the soak ends."""
        while not self._is_closing:
            await self._start()
            assert self.process is not None
            await self.process.wait()
            if self._is_closing:
                return
            self._note(EventKind.EXITED, str(self.process.returncode))
            self.registration = {}
            self._set_target('')
            self.registrations.expire(self.id)
            self._has_new_id = self._has_new_id and bool(self._next_seconds)
            seconds = self._next_seconds or self.rng.uniform(*RESTART_SECONDS)
            self._next_seconds = None
            await asyncio.sleep(seconds)

    async def _start(self) -> None:
        if self._has_new_id:
            self._ids += 1
            self.id = f'i-{self.name}-{self._ids}'
            self._has_new_id = False
        self.born = 0
        path = self.folder / f'{self.name}.jsonl'
        with (self.folder / f'{self.name}.log').open('ab') as errors:
            self.process = await start_process(
                'soak.worker',
                self.id,
                str(path),
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        try:
            registration = await read_line(self.process)
        except ChildProcessError:
            # A fault killed it while it was starting.
            return
        self.born = registration['born']
        self._set_target(registration['address'])
        # The link to the table service replaces it for each daemon.
        registration['address'] = self.name
        registration['zone'] = self.zone
        self._note(EventKind.REGISTERED, self.zone)
        self.registration = registration
        seconds = self.rng.uniform(*REGISTRATION_SECONDS)
        self.registrations.add(self.id, registration, seconds)

    def _note(self, kind: EventKind, detail: str = '') -> None:
        event = Event(get_time(), kind, self.id, self.born, detail=detail)
        self.log.write(event)

    def _set_target(self, address: str) -> None:
        for link in self.links:
            link.target = address

    async def shrink(self, cores: float, seconds: float) -> None:
        """Changes the cores of the worker for some seconds.

        It does not guard them, so that only its registrations tell of it.
        """
        if self.process is None or self.process.returncode is not None:
            return
        registration = self.registration
        if not registration:
            return
        self._resize(cores)
        await asyncio.sleep(seconds)
        if self.registration is registration:
            self._resize(FULL_CORES)

    def _resize(self, cores: float) -> None:
        self._note(EventKind.RESIZED, str(cores))
        capacity = {
            **self.registration['capacity'],
            'cpu': int(1000 * cores),
        }
        self.registrations.add(
            self.id,
            {**self.registration, 'capacity': capacity},
            self.rng.uniform(0.0, MAX_RESIZE_SECONDS),
        )

    def kill(self, seconds: float, has_new_id: bool) -> None:
        """Kills the worker; the next one comes after some seconds."""
        if self.process is None or self.process.returncode is not None:
            return
        self._next_seconds, self._has_new_id = seconds, has_new_id
        self._note(EventKind.KILLED)
        send_signal(self.process, signal.SIGKILL)

    async def close(self) -> None:
        """Ends the worker."""
        self._is_closing = True
        await end_process(self.process)


@attrs.define(eq=False)
class Host:
    """A host that runs a daemon.

    Attributes:
      name: Name of the host.
      link: The link to the table service.
      code: The checkout whose daemon it runs.
      folder: Folder of its settings and logs.
      process: The process of its daemon.
      frontend: Address for clients; '' while it is down.
    """

    name: str
    link: Link
    code: pathlib.Path
    folder: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    frontend: str = ''

    async def start(self) -> None:
        """Starts the daemon and waits until it listens."""
        variables = write_settings(self.folder, self.link.address, self.name)
        path = self.folder / f'{self.name}.log'
        with path.open('ab') as log:
            start = log.tell()
            self.process = await start_process(
                'lentilmount.control',
                code=self.code,
                stdout=log,
                stderr=log,
                variables=variables,
            )
        async with asyncio.timeout(START_SECONDS):
            while self.process.returncode is None and not self.frontend:
                self.frontend = _find_frontend(path.read_bytes()[start:])
                await asyncio.sleep(POLL_SECONDS)

    @property
    def is_running(self) -> bool:
        """Whether its daemon has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def restart(self, number: int, seconds: float) -> None:
        """Ends the daemon by a signal and starts it again some seconds later.

        Args:
          number: SIGTERM or SIGKILL; it is killed if it outlives its grace.
          seconds: Time for which it is down.
        """
        process = self.process
        if process is None or not self.is_running or not self.frontend:
            return
        self.frontend = ''
        send_signal(process, number)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await process.wait()
        except TimeoutError:
            await end_process(process)
        await asyncio.sleep(seconds)
        await self.start()

    async def close(self) -> None:
        """Ends the daemon."""
        await end_process(self.process)


def _find_frontend(lines: bytes) -> str:
    for line in lines.splitlines():
        if b'"Started."' in line:
            return str(orjson.loads(line)['frontend'])
    return ''


async def pause(
    process: asyncio.subprocess.Process | None, seconds: float
) -> None:
    """Suspends a process for some seconds."""
    if process is None or process.returncode is not None:
        return
    send_signal(process, signal.SIGSTOP)
    try:
        await asyncio.sleep(seconds)
    finally:
        send_signal(process, signal.SIGCONT)
