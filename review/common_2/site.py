"""A small deployment on loopback: daemons as processes, stand-ins beside them.

The table service, the workers and the clients run in the process of the script.
The daemons are started with the command of the deploy file. Whatever is sent,
answered and run is written to a record.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import math
import os
import pathlib
import signal
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from typing import Any

import attrs
import orjson
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

from stand_ins.entry_hosts import HOST, PREFIX, SERVICE, write_settings
from stand_ins.model_worker import (
    POLL_PATH,
    START_PATH,
    Execution,
    ModelWorker,
)
from stand_ins.rowstore import (
    Change,
    RowStore,
    read_address,
    make_row_service,
)

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXPECTED_INSTANCE = 'X-Expected-Instance'

HEARTBEAT_SECONDS = 1.1
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
CALL_SECONDS = 3.0
START_SECONDS = 20.0

ROW_BYTES = 65536
CALL_BYTES = 1_000_000

SETTINGS: dict[str, Any] = {
    'zone': 'north',
    'zones': {'north': 'region'},
    'limits': {
        'cpuShare': 0.537,
        'cores': 2,
        'memoryMb': 300,
        'maxFds': 4100,
        'linkMbps': 1000.0,
        'diskMb': 0,
    },
    'bounds': {
        'contactMs': 3000,
        'ackMs': 4000,
        'drainMs': 2000,
        'graceS': 6,
        'configApplyMs': 2000,
        'outerMs': 5000,
        'maxHoldMs': 6000,
        'stopTimeoutMs': 900,
        'gangTimeoutMs': 3000,
        'cancel_ms': 3000,
        'visible_ms': 3000,
        'early_ms': 250,
        'finish_s': 14,
        'status_s': 120,
        'evacuateMs': 5000,
    },
}
"""Settings of a host that differ from those of the project's stand-in: the
figures of the small deployments."""


class Record:
    """Events in the order in which they happened, one line of JSON each."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('w', encoding='utf-8')
        self._start = time.monotonic()

    def write(self, kind: str, **fields: Any) -> None:
        """Writes an event with its time in seconds since the start."""
        at = round(time.monotonic() - self._start, 3)
        line = orjson.dumps({'at': at, 'event': kind, **fields}).decode()
        self._file.write(line + '\n')

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


def serve(app: Application, port: int = 0) -> tuple[HTTPServer, str]:
    """Serves an application on a loopback port; returns the address, too."""
    sockets = bind_sockets(port, '127.0.0.1')
    server = HTTPServer(app)
    server.add_sockets(sockets)
    return server, f'127.0.0.1:{sockets[0].getsockname()[1]}'


class LimitedStore(RowStore):
    """A table service that enforces the sizes that the platform states.

    It loses no change that comes as the wait of a feed runs out.

    Attributes:
      late_seconds: Time after which a write is carried out that gets no answer,
        by the key of a row in it.
      carried_out_at: Time of the event loop at which one was carried out last.
    """

    def __init__(self, record: Record):
        super().__init__(transaction_seconds=0.006)
        self.record = record
        self.refused = 0
        self.late_seconds: dict[str, float] = {}
        self.carried_out_at = -math.inf

    async def follow(
        self, table: str, after: int, wait: float
    ) -> list[Change] | None:
        """See `RowStore`."""
        found = await super().follow(table, after, wait)
        return self._list_changes(table, after) if found == [] else found

    def take_late_seconds(self, body: dict[str, Any]) -> float | None:
        """Returns when a write without an answer is carried out, or None."""
        for row in body['writes']:
            seconds = self.late_seconds.pop(row['key'], None)
            if seconds is not None:
                return seconds
        return None

    def carry_out(self, body: dict[str, Any]) -> None:
        """Carries out a transaction if its conditions still hold."""
        refused = self.transact(
            {read_address(row): row['ver'] for row in body['precondition']},
            {
                read_address(row): base64.b64decode(row['value'])
                for row in body['writes']
            },
        )
        self.carried_out_at = asyncio.get_running_loop().time()
        self.record.write('store carries out late', refused=bool(refused))

    def find_excess(self, body: dict[str, Any], size: int) -> str:
        """Returns which limit a transaction exceeds, or ''."""
        if size > CALL_BYTES:
            return f'a call of {size} bytes'
        for row in body['writes']:
            value = len(base64.b64decode(row['value']))
            if value > ROW_BYTES:
                return f'{row["table"]}/{row["key"]} has {value} bytes'
        return ''


def make_store_service(store: LimitedStore) -> Application:
    """Returns the application of a table service that enforces its sizes."""
    app = make_row_service(store)
    (rule,) = (
        r
        for r in app.wildcard_router.rules
        if r.matcher.regex.match('/rows-tx')
    )
    handler: Any = rule.target

    class LimitedTransactHandler(handler):  # type: ignore[misc]
        """Refuses a transaction that is too large with 400."""

        async def post(self) -> None:
            body = orjson.loads(self.request.body)
            excess = self.store.find_excess(body, len(self.request.body))
            if excess:
                self.store.refused += 1
                self.store.record.write('store refuses', why=excess)
                self.respond({'error': excess}, 400)
                return
            wait = self.store.queue_transaction(time.monotonic())
            if wait is None:
                self.respond({'error': 'busy'}, 429)
                return
            late_seconds = self.store.take_late_seconds(body)
            if late_seconds is not None:
                self.store.record.write('store does not answer')
                loop = asyncio.get_running_loop()
                loop.call_later(late_seconds, self.store.carry_out, body)
                await asyncio.sleep(late_seconds)
                self._auto_finish = False
                self.request.connection.detach().close()
                return
            await asyncio.sleep(wait)
            super().post()

    rule.target = LimitedTransactHandler
    return app


@attrs.define(eq=False)
class Worker:
    """A worker with its server and its registration.

    Attributes:
      model: What it does.
      site: The deployment.
      cores: Its cores.
      memory_mb: Its memory.
      labels: Its kind and its rack.
      needs_ticket: Whether a start must carry a valid ticket.
      tickets: Monotonic expiry times of tickets, by incarnation and step.
      port: Its port; 0 before the first start.
      server: Its server while it is up.
    """

    model: ModelWorker
    site: Site
    cores: float = 16.0
    memory_mb: int = 64000
    labels: tuple[str, ...] = ('a', 'r1')
    needs_ticket: bool = False
    tickets: dict[tuple[int, str], float] = attrs.Factory(dict)
    port: int = 0
    server: HTTPServer | None = None
    _beat: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts an incarnation, which registers itself."""
        self.model.boot()
        self.site.record.write('worker up', worker=self.model.id)
        app = Application(
            [('.*', _WorkerHandler, {'worker': self})],
            log_function=lambda handler: None,
        )
        try:
            self.server, self.model.address = serve(app, self.port)
        except OSError:
            # Another process may have taken the port while it was down.
            self.server, self.model.address = serve(app)
        self.port = int(self.model.address.rpartition(':')[2])
        self._beat = asyncio.create_task(self._register())

    def describe(self) -> bytes:
        """Returns its registration."""
        document = orjson.loads(self.model.describe(SERVICE))
        document |= {
            'version': '1',
            'slots': 8,
            'coldRemainingMs': 0,
            'sequence': int(1000 * time.monotonic()),
            'born': self.born,
            'labels': list(self.labels),
            'capacity': {
                'cpu': int(1000 * self.cores),
                'memMb': self.memory_mb,
                'gpu': 0,
            },
        }
        return orjson.dumps(document)

    @property
    def born(self) -> int:
        """Unix time of its start in milliseconds."""
        return int(1000 * (self.model.booted_at + self.site.unix_offset))

    async def _register(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            address = ('servers', '', self.model.id)
            self.site.store.write(address, self.describe())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def accepts_ticket(self, body: dict[str, Any]) -> bool:
        """Returns whether a start needs no ticket, or has a valid one."""
        if not self.needs_ticket:
            return True
        step = body['task'].rpartition('.')[0]
        expiry = self.tickets.get((self.model.incarnation, step), -math.inf)
        is_valid = time.monotonic() <= expiry
        return is_valid and body.get('ticket') == f'{self.model.id}-{step}'

    def crash(self) -> None:
        """Ends the incarnation; its port refuses connections from then on."""
        self.site.record.write('worker crashes', worker=self.model.id)
        if self._beat is not None:
            self._beat.cancel()
        if self.server is not None:
            self.server.stop()
            connections = list(self.server._connections)
            for connection in connections:
                connection.stream.close()
            self.server = None
        self.model.crash()


class _WorkerHandler(RequestHandler):
    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    async def post(self) -> None:
        worker, model = self.worker, self.worker.model
        record = worker.site.record
        if self.request.headers.get(EXPECTED_INSTANCE) != model.id:
            self._respond(421, {})
            return
        body = orjson.loads(self.request.body)
        path = self.request.path
        if path == '/pace':
            self._respond(200, {'clockMs': model.clock_ms})
            return
        incarnation = model.incarnation
        if path == START_PATH and not worker.accepts_ticket(body):
            status = 409
            document = {'clockMs': model.clock_ms, 'reason': 'ticket'}
        else:
            status, document = model.receive(path, body, False)
        if path != POLL_PATH:
            record.write(
                'order',
                path=path,
                worker=model.id,
                task=body['task'],
                run=body['run'],
                token=body['fencingToken'],
                status=status,
                reason=document.get('reason', ''),
            )
        if path == POLL_PATH and status == 200:
            report = await model.report(body.get('waitMs', 0))
            if report is None or model.incarnation != incarnation:
                return
            document = report
        self._respond(status, document)

    def _respond(self, status: int, document: dict[str, Any]) -> None:
        document = {**document, 'born': self.worker.born}
        self.set_status(status)
        self.finish(orjson.dumps(document))


@attrs.define(eq=False)
class Daemon:
    """A daemon of the system, as a process of its own."""

    name: str
    command: list[str]
    folder: pathlib.Path
    variables: dict[str, str]
    process: asyncio.subprocess.Process | None = None
    frontend: str = ''

    async def start(self) -> None:
        """Starts the process and waits until it listens."""
        path = self.folder / f'{self.name}.log'
        with path.open('ab') as log:
            begin = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'HOME': os.environ.get('HOME', '/'),
                    'LANG': os.environ.get('LANG', 'C.UTF-8'),
                    'PYTHONPATH': f'{ROOT}/target/deps',
                    **self.variables,
                },
                start_new_session=True,
            )
        end = time.monotonic() + START_SECONDS
        while not self.frontend:
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRunError(f'{self.name} does not start')
            await asyncio.sleep(0.05)
            for line in path.read_bytes()[begin:].splitlines():
                if b'"Started."' in line:
                    self.frontend = str(orjson.loads(line)['frontend'])

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def read_log(self) -> list[dict[str, Any]]:
        """Returns the lines of its log that are JSON."""
        lines = []
        for line in (
            (self.folder / f'{self.name}.log').read_bytes().split(b'\n')
        ):
            with contextlib.suppress(ValueError):
                lines.append(orjson.loads(line))
        return lines


class CannotRunError(Exception):
    """The case could not be run."""


@attrs.frozen
class Answer:
    """An answer to a client; the status is 0 if there was none."""

    status: int
    body: bytes = b''


Work = Callable[[str, int, str], tuple[float, str]]


class Site:
    """The processes and stand-ins of a deployment."""

    def __init__(
        self,
        record: Record,
        folder: pathlib.Path,
        stack: contextlib.AsyncExitStack,
        choose_work: Work,
    ):
        self.record = record
        self.folder = folder
        self.stack = stack
        self.store = LimitedStore(record)
        self.workers: dict[str, Worker] = {}
        self.daemons: list[Daemon] = []
        self.runs: list[Execution] = []
        self.unix_offset = time.time() - asyncio.get_running_loop().time()
        self.on_run: Callable[[Execution], None] | None = None
        self._choose_work = choose_work
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=200
        )
        server, self.store_address = serve(make_store_service(self.store))
        stack.callback(server.stop)

    def configure(self, *routes: dict[str, Any]) -> None:
        """Writes the operators' first configuration.

        Args:
          *routes: Fields of each route that differ from the defaults.
        """
        document = {
            'version': 1,
            'routes': [
                {
                    'name': 'checks',
                    'hostname': HOST,
                    'pathPrefix': PREFIX,
                    'service': SERVICE,
                    'maxAttempts': 3,
                    'stretch': 2.0,
                    'targetLatencyMs': 250,
                    **route,
                }
                for route in routes or ({},)
            ],
            'services': [{'name': SERVICE, 'admissionCheck': False}],
            'limits': {},
        }
        self.store.write(('op', '', 'config'), orjson.dumps(document))

    def add_worker(self, name: str, **fields: Any) -> Worker:
        """Starts a worker."""
        model = ModelWorker(name, '', self.runs)
        model.choose_work = self._choose_work
        model.on_change = self._note_run
        worker = Worker(model, self, **fields)
        self.workers[name] = worker
        worker.start()
        self.stack.callback(worker.crash)
        return worker

    def _note_run(self, execution: Execution) -> None:
        kind = 'run begins'
        if execution.is_acknowledged:
            kind = 'end taken note of'
        elif execution.kind:
            kind = f'run ends {execution.kind}'
        self.record.write(
            kind,
            worker=execution.worker,
            task=execution.task,
            run=execution.run,
        )
        if self.on_run is not None and not execution.is_acknowledged:
            self.on_run(execution)

    async def add_daemon(self, name: str, **fields: Any) -> Daemon:
        """Starts a daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        (role,) = deploy['roles'].values()
        settings = {**SETTINGS, **fields}
        variables = write_settings(
            self.folder, self.store_address, name, **settings
        )
        daemon = Daemon(name, role['run'].split(' '), self.folder, variables)
        self.daemons.append(daemon)
        self.stack.push_async_callback(daemon.end)
        await daemon.start()
        return daemon

    async def call(
        self,
        daemon: Daemon,
        method: str,
        job: str,
        body: Any = None,
        prefix: str = PREFIX,
    ) -> Answer:
        """Sends a client's request to a daemon."""
        data = None if body is None else orjson.dumps(body)
        request = HTTPRequest(
            f'http://{daemon.frontend}{prefix}{job}',
            method=method,
            headers={
                'Host': HOST,
                'Content-Type': 'application/json',
                'X-Deadline-Ms': '3000',
            },
            body=data,
            request_timeout=CALL_SECONDS,
            connect_timeout=1.0,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (OSError, TimeoutError, HTTPClientError) as error:
            self.record.write(
                method, job=job, to=daemon.name, failed=str(error)
            )
            return Answer(0)
        status = 0 if response.code == 599 else response.code
        self.record.write(
            method,
            job=job,
            to=daemon.name,
            status=status,
            answer=(response.body or b'')[:80].decode(errors='replace'),
        )
        return Answer(status, response.body or b'')

    async def submit(
        self, job: str, body: Any, prefix: str = PREFIX, attempts: int = 5
    ) -> bool:
        """Submits a job until it is accepted; returns whether it is."""
        for number in range(attempts):
            daemon = self.daemons[number % len(self.daemons)]
            answer = await self.call(daemon, 'POST', job, body, prefix)
            if 200 <= answer.status < 300:
                return True
            await asyncio.sleep(0.5)
        return False

    async def show(self, job: str) -> str:
        """Returns a job's state as any daemon shows it, or the last status."""
        answer = Answer(0)
        for daemon in filter(lambda daemon: daemon.frontend, self.daemons):
            answer = await self.call(daemon, 'GET', job)
            if answer.status == 200:
                return str(orjson.loads(answer.body)['state'])
        return str(answer.status)

    async def wait_for(self, jobs: list[str], seconds: float) -> dict[str, str]:
        """Waits until all jobs have ended; returns their last states."""
        end = time.monotonic() + seconds
        states = dict.fromkeys(jobs, '')
        while time.monotonic() < end:
            for job in jobs:
                if states[job] not in ('completed', 'failed', 'cancelled'):
                    states[job] = await self.show(job)
            if all(s in ('completed', 'failed') for s in states.values()):
                break
            await asyncio.sleep(0.5)
        return states


def is_trouble() -> bool:
    """Returns whether the disruption is part of the run."""
    return os.environ.get('TROUBLE', '1') != '0'


Play = Callable[[Site], Any]


def main(folder: pathlib.Path, choose_work: Work, play: Play) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if not, else 2."""
    try:
        return asyncio.run(_main(folder, choose_work, play))
    except Exception:
        # The interpreter would exit with 1, which means a broken rule.
        traceback.print_exc()
        return 2


async def _main(folder: pathlib.Path, choose_work: Work, play: Play) -> int:
    record = Record(folder / 'record.txt')
    try:
        async with contextlib.AsyncExitStack() as stack:
            temporary = stack.enter_context(tempfile.TemporaryDirectory())
            site = Site(record, pathlib.Path(temporary), stack, choose_work)
            try:
                broken = await play(site)
            finally:
                keep = os.environ.get('KEEP_LOGS')
                if keep:
                    for log in pathlib.Path(temporary).glob('*.log'):
                        target = pathlib.Path(keep) / log.name
                        target.write_bytes(log.read_bytes())
    except (CannotRunError, OSError) as error:
        record.write('cannot run', why=str(error))
        print(f'cannot run: {error}', file=sys.stderr)
        return 2
    finally:
        record.close()
    print('rule broken' if broken else 'rule held')
    return 1 if broken else 0
