"""Workers of the users' platform, as HTTP servers in this process.

They keep the published protocol as far as owners rely on it: the highest
token, leases on their own clock, lists of what runs and what ended. Work is
sleeping.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any

import attrs
import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from stand_ins.rowstore import RowStore

STEP_SECONDS = 0.02
LONGEST_LEASE_MS = 6000
LOOK_PATH = '/hold'
START_PATH = '/run-start'
STOP_PATH = '/run-stop'


@attrs.define(eq=False)
class FleetRun:
    """A run on a worker."""

    task: str
    run: int
    ends_at: float
    fails: bool
    lasting: bool
    percent: int = 100


@attrs.define(eq=False)
class FleetWorker:
    """One worker.

    Attributes:
      id: Its id.
      service: The pool it belongs to.
      run_seconds: How long each task takes.
      token: The highest token it has seen.
      started: Every start that was carried out: task, run, token.
      fails: Payloads whose tasks fail.
      lasts: Payloads whose tasks never end.
      silent: Whether it answers nothing.
      unanswered: Paths of the calls that it does not answer.
      failing: Paths of the calls that it answers with an error of its own.
      hears: Whether it carries out at once what it does not answer.
      late_seconds: After which it carries out what it did not answer; 0 if it
        never does.
      asked: Paths of all calls but looks, in order.
    """

    id: str
    service: str
    run_seconds: float = 0.1
    token: int = 0
    born: int = 1
    started: list[tuple[str, int, int]] = attrs.Factory(list)
    fails: set[str] = attrs.Factory(set)
    lasts: set[str] = attrs.Factory(set)
    silent: bool = False
    unanswered: set[str] = attrs.Factory(set)
    failing: set[str] = attrs.Factory(set)
    hears: bool = False
    late_seconds: float = 0.0
    asked: list[str] = attrs.Factory(list)
    running: dict[str, FleetRun] = attrs.Factory(dict)
    ended: list[list[Any]] = attrs.Factory(list)
    highest: dict[str, int] = attrs.Factory(dict)
    lease_until_ms: int = 0
    sequence: int = 0

    @property
    def clock_ms(self) -> int:
        """Its steady clock."""
        return int(time.monotonic() * 1000)

    def step(self) -> None:
        """Ends what is over."""
        now = time.monotonic()
        lapsed = self.clock_ms > self.lease_until_ms
        for name, run in list(self.running.items()):
            if lapsed:
                self._end(name, 'lapsed')
            elif now >= run.ends_at and not run.lasting:
                self._end(name, 'failed' if run.fails else 'done')

    def _end(self, name: str, how: str) -> None:
        run = self.running.pop(name)
        self.sequence += 1
        self.highest[name] = max(self.highest.get(name, 0), run.run)
        self.ended.append([self.sequence, name, run.run, how, ''])

    def renew(self, until_ms: int) -> None:
        """Takes a longer lease, up to the longest."""
        most = self.clock_ms + LONGEST_LEASE_MS
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, most))

    def start(self, body: dict[str, Any]) -> str:
        """Starts a run; returns why not, or ''."""
        name, run = body['task'], body['run']
        known = self.running.get(name)
        if known is not None and known.run == run:
            return ''
        if known is not None or run <= self.highest.get(name, 0):
            return 'old'
        if body['deadlineMs'] <= self.clock_ms:
            return 'late'
        self.renew(body['deadlineMs'])
        self.started.append((name, run, body['fencingToken']))
        payload = body['spec']
        self.running[name] = FleetRun(
            name,
            run,
            time.monotonic() + self.run_seconds,
            payload in self.fails,
            payload in self.lasts,
        )
        return ''

    def stop(self, name: str, run: int) -> None:
        """Stops a run, also one that is not there yet."""
        self.highest[name] = max(self.highest.get(name, 0), run)
        known = self.running.get(name)
        if known is not None and known.run <= run:
            self._end(name, 'stopped')

    def look(self, seen: int) -> dict[str, Any]:
        """Returns its lists, without the ends that may be forgotten."""
        self.ended = [end for end in self.ended if end[0] > seen]
        running = [[r.task, r.run, '', 100, 100] for r in self.running.values()]
        return {'running': running, 'ended': self.ended, 'born': self.born}

    def restart(self) -> None:
        """Begins a new life under the same id; nothing is left of before."""
        self.born += 1
        self.running.clear()
        self.ended.clear()
        self.highest.clear()
        self.lease_until_ms = self.sequence = self.token = 0

    def describe(self, address: str) -> bytes:
        """Returns its registration."""
        return orjson.dumps(
            {
                'service': self.service,
                'address': address,
                'zone': 'north',
                'state': 'ready',
                'born': self.born,
                'capacity': {'cpu': 8000, 'memMb': 16000, 'gpu': 0},
                'labels': ['a', 'r1'],
                'sequence': self.sequence,
            }
        )


class _Handler(RequestHandler):
    """Answers one call."""

    def initialize(self, worker: FleetWorker) -> None:
        self.worker = worker

    async def post(self) -> None:
        worker = self.worker
        if worker.silent:
            await asyncio.sleep(60)
        body = orjson.loads(self.request.body)
        if body['fencingToken'] < worker.token:
            self._tell(409, {'reason': 'fence'})
            return
        worker.token = body['fencingToken']
        worker.step()
        path = self.request.path
        if path != LOOK_PATH:
            worker.asked.append(path)
        if path in worker.failing:
            self._tell(500, {})
            return
        if path in worker.unanswered:
            await self._leave_unanswered(body)
            return
        status, document = await self._act(body)
        self._tell(status, document)

    async def _leave_unanswered(self, body: dict[str, Any]) -> None:
        """Answers nothing; carries the call out late, if at all."""
        if self.worker.hears:
            await self._act(body)
        elif self.worker.late_seconds:
            await asyncio.sleep(self.worker.late_seconds)
            self.worker.step()
            await self._act(body)
        await asyncio.sleep(60)

    async def _act(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        worker = self.worker
        if self.request.path == START_PATH:
            reason = worker.start(body)
            return (409, {'reason': reason}) if reason else (200, {})
        if self.request.path == STOP_PATH:
            worker.stop(body['task'], body['run'])
            return 200, {}
        if self.request.path == '/pace':
            return 200, {}
        if 'deadlineMs' in body:
            worker.renew(body['deadlineMs'])
        worker.look(body['lastSeen'])
        end = time.monotonic() + body.get('waitMs', 0) / 1000
        while not worker.ended and time.monotonic() < end:
            await asyncio.sleep(STEP_SECONDS)
            worker.step()
        return 200, worker.look(body['lastSeen'])

    def _tell(self, status: int, document: dict[str, Any]) -> None:
        self.set_status(status)
        document['clockMs'] = self.worker.clock_ms
        self.finish(orjson.dumps(document))


class Fleet:
    """Workers that listen on loopback and register in a store."""

    def __init__(self, store: RowStore, service: str, count: int):
        self.workers = [
            FleetWorker(f'i-{number}', service) for number in range(count)
        ]
        self._store = store
        self._servers: list[HTTPServer] = []
        self._addresses: dict[str, str] = {}

    def open(self) -> None:
        """Listens and registers."""
        for worker in self.workers:
            application = Application(
                [('.*', _Handler, {'worker': worker})],
                log_function=lambda handler: None,
            )
            sockets = bind_sockets(0, '127.0.0.1')
            server = HTTPServer(application)
            server.add_sockets(sockets)
            self._servers.append(server)
            port = sockets[0].getsockname()[1]
            self._addresses[worker.id] = f'127.0.0.1:{port}'
            self.register(worker)

    def register(self, worker: FleetWorker) -> None:
        """Writes a worker's registration."""
        entry = worker.describe(self._addresses[worker.id])
        self._store.write(('servers', '', worker.id), entry)

    def close(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.stop()

    def list_starts(self) -> list[tuple[str, int, int]]:
        """Lists the starts of all workers."""
        return [start for worker in self.workers for start in worker.started]
