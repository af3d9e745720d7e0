"""Workers of the users' platform, as HTTP servers in this process.

They implement the parts of the published protocol that owners rely on: the
highest fencing token, leases on the worker's clock, and the lists of running
tasks and ended runs. Tasks only sleep.
"""

from __future__ import annotations

import asyncio
import functools
import time
from collections.abc import Callable
from typing import Any

import attrs
import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from stand_ins.limits import HEARTBEAT_SECONDS
from stand_ins.rowstore import RowStore

STEP_SECONDS = 0.02
MAX_LEASE_MS = 6000
POLL_PATH = '/hold'
START_PATH = '/run-start'
STOP_PATH = '/run-stop'


@attrs.define(eq=False)
class FleetRun:
    """One run of a task on a worker.

    Attributes:
      task: Name of the task.
      run: Number of the run.
      ends_at: Monotonic time in seconds at which the work is done.
      fails: Whether the run ends as failed.
      is_long_running: Whether the run never ends by itself.
      percent: CPU share in percent.
    """

    task: str
    run: int
    ends_at: float
    fails: bool
    is_long_running: bool
    percent: int = 100


@attrs.define(eq=False)
class FleetWorker:
    """One worker, with the faults that a test injects.

    Attributes:
      id: Its id.
      service: The service (pool of workers) it belongs to.
      run_seconds: Duration of each task.
      token: The highest fencing token received.
      incarnation: Number of the incarnation; each restart increments it.
      started: Every start that was carried out: task, run, token.
      failing_payloads: Payloads whose tasks fail.
      long_running_payloads: Payloads whose tasks never end.
      crashing_payloads: Payloads whose tasks crash it once they have started.
      down_seconds: Time after a crash until the next incarnation answers.
      answers_crashing: Whether the start that crashes it is answered.
      crashes: Number of crashes.
      register: Writes its registration.
      silent: Whether it answers no call.
      unanswered: Paths of the calls that it does not answer.
      failing: Paths of the calls that it answers with status 500.
      applies_unanswered: Whether it carries out unanswered calls at once.
      late_seconds: Delay after which it carries out an unanswered call; 0 if
        it never does.
      calls: Paths of all calls except polls, in order.
      running: Current run of each task, by the task's name.
      ended: Run results that no poll has acknowledged: sequence number,
        task, run, end kind, checkpoint.
      highest: Highest run that ended or was stopped, by the task's name.
      lease_until_ms: End of the lease on the worker's clock.
      sequence: Sequence number of the newest run result.
    """

    id: str
    service: str
    run_seconds: float = 0.1
    token: int = 0
    incarnation: int = 1
    started: list[tuple[str, int, int]] = attrs.Factory(list)
    failing_payloads: set[str] = attrs.Factory(set)
    long_running_payloads: set[str] = attrs.Factory(set)
    crashing_payloads: set[str] = attrs.Factory(set)
    down_seconds: float = 0.3
    answers_crashing: bool = True
    crashes: int = 0
    register: Callable[[], None] = lambda: None
    silent: bool = False
    unanswered: set[str] = attrs.Factory(set)
    failing: set[str] = attrs.Factory(set)
    applies_unanswered: bool = False
    late_seconds: float = 0.0
    calls: list[str] = attrs.Factory(list)
    running: dict[str, FleetRun] = attrs.Factory(dict)
    ended: list[list[Any]] = attrs.Factory(list)
    highest: dict[str, int] = attrs.Factory(dict)
    lease_until_ms: int = 0
    sequence: int = 0
    _down_until: float = 0.0

    @property
    def is_down(self) -> bool:
        """Whether it has crashed and is not back yet."""
        return time.monotonic() < self._down_until

    @property
    def clock_ms(self) -> int:
        """The worker's monotonic clock, in milliseconds."""
        return int(time.monotonic() * 1000)

    def step(self) -> None:
        """Ends finished runs, and all runs once the lease has expired."""
        now = time.monotonic()
        expired = self.clock_ms > self.lease_until_ms
        for name, run in list(self.running.items()):
            if expired:
                self._end(name, 'lapsed')
            elif now >= run.ends_at and not run.is_long_running:
                self._end(name, 'failed' if run.fails else 'done')

    def _end(self, name: str, end_kind: str) -> None:
        run = self.running.pop(name)
        self.sequence += 1
        self.highest[name] = max(self.highest.get(name, 0), run.run)
        self.ended.append([self.sequence, name, run.run, end_kind, ''])

    def renew(self, until_ms: int) -> None:
        """Extends the lease, at most to `MAX_LEASE_MS` from now."""
        limit = self.clock_ms + MAX_LEASE_MS
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, limit))

    def start(self, body: dict[str, Any]) -> str:
        """Starts a run; returns the reason of a rejection, else ''."""
        name, run = body['task'], body['run']
        current = self.running.get(name)
        if current is not None and current.run == run:
            return ''
        if current is not None or run <= self.highest.get(name, 0):
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
            payload in self.failing_payloads,
            payload in self.long_running_payloads,
        )
        if payload in self.crashing_payloads:
            self._crash()
        return ''

    def stop(self, name: str, run: int) -> None:
        """Stops a run; one that has not started yet is refused later."""
        self.highest[name] = max(self.highest.get(name, 0), run)
        current = self.running.get(name)
        if current is not None and current.run <= run:
            self._end(name, 'stopped')

    def report(self, seen: int) -> dict[str, Any]:
        """Returns the answer to a poll.

        Args:
          seen: Sequence number of the newest run result that the owner has;
            results up to it are dropped.
        """
        self.ended = [end for end in self.ended if end[0] > seen]
        running = [[r.task, r.run, '', 100, 100] for r in self.running.values()]
        return {
            'running': running,
            'ended': self.ended,
            'born': self.incarnation,
        }

    def restart(self) -> None:
        """Starts a new incarnation under the same id, with no state left."""
        self.incarnation += 1
        self.running.clear()
        self.ended.clear()
        self.highest.clear()
        self.lease_until_ms = self.sequence = self.token = 0

    def _crash(self) -> None:
        """Loses all state, and answers nothing for a while."""
        self.crashes += 1
        self.restart()
        self._down_until = time.monotonic() + self.down_seconds
        loop = asyncio.get_running_loop()
        loop.call_later(self.down_seconds, self.register)

    def describe(self, address: str) -> bytes:
        """Returns the registration that is written to the store."""
        return orjson.dumps(
            {
                'service': self.service,
                'address': address,
                'zone': 'north',
                'state': 'ready',
                'born': self.incarnation,
                'capacity': {'cpu': 8000, 'memMb': 16000, 'gpu': 0},
                'labels': ['a', 'r1'],
                'sequence': self.sequence,
            }
        )


class _Handler(RequestHandler):
    """Answers one call, or fails as the worker's faults say."""

    def initialize(self, worker: FleetWorker) -> None:
        self.worker = worker

    async def post(self) -> None:
        worker = self.worker
        if worker.silent or worker.is_down:
            await asyncio.sleep(60)
        body = orjson.loads(self.request.body)
        if body['fencingToken'] < worker.token:
            self._respond(409, {'reason': 'fence'})
            return
        worker.token = body['fencingToken']
        worker.step()
        path = self.request.path
        if path != POLL_PATH:
            worker.calls.append(path)
        if path in worker.failing:
            self._respond(500, {})
            return
        if path in worker.unanswered:
            await self._leave_unanswered(body)
            return
        crashes = worker.crashes
        status, document = await self._carry_out(body)
        is_answered = path == START_PATH and worker.answers_crashing
        if worker.crashes > crashes and not is_answered:
            await asyncio.sleep(60)
        self._respond(status, document)

    async def _leave_unanswered(self, body: dict[str, Any]) -> None:
        """Sends no answer; carries out the call at once, late or never."""
        if self.worker.applies_unanswered:
            await self._carry_out(body)
        elif self.worker.late_seconds:
            await asyncio.sleep(self.worker.late_seconds)
            self.worker.step()
            await self._carry_out(body)
        await asyncio.sleep(60)

    async def _carry_out(
        self, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
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
        worker.report(body['lastSeen'])
        end = time.monotonic() + body.get('waitMs', 0) / 1000
        while not worker.ended and time.monotonic() < end:
            await asyncio.sleep(STEP_SECONDS)
            worker.step()
        return 200, worker.report(body['lastSeen'])

    def _respond(self, status: int, document: dict[str, Any]) -> None:
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
        self._timer: asyncio.TimerHandle | None = None

    def open(self) -> None:
        """Starts to listen and registers every worker."""
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
            worker.register = functools.partial(self.register, worker)
        self._beat()

    def _beat(self) -> None:
        """Registers all workers that are up again and again."""
        for worker in self.workers:
            if not worker.is_down:
                worker.register()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(HEARTBEAT_SECONDS, self._beat)

    def register(self, worker: FleetWorker) -> None:
        """Writes a worker's registration."""
        entry = worker.describe(self._addresses[worker.id])
        self._store.write(('servers', '', worker.id), entry)

    def close(self) -> None:
        """Stops listening."""
        if self._timer is not None:
            self._timer.cancel()
        for server in self._servers:
            server.stop()

    def list_starts(self) -> list[tuple[str, int, int]]:
        """Returns the starts of all workers: task, run, token."""
        return [start for worker in self.workers for start in worker.started]
