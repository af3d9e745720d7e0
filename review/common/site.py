"""A small deployment on loopback: table service, workers, daemons, a client.

Store, workers and clients run in this process; each daemon is a process of its
own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import zlib
from collections.abc import Iterable
from typing import Any

import orjson
import yaml
from tornado.httpclient import AsyncHTTPClient
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.web import Application, RequestHandler

from stand_ins.entry_hosts import serve
from stand_ins.model_worker import (
    POLL_PATH,
    Execution,
    ModelWorker,
)
from stand_ins.rowstore import (
    Change,
    RowStore,
    StoreListener,
    _FeedHandler,
    _GetHandler,
    _TransactHandler,
)

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = 'raport'
HOST = 'raport.example'
ROW_BYTES = 65536
TRANSACTION_SECONDS = 0.006
HEARTBEAT_SECONDS = 1.5
_PARENT_DEATH_SIGNAL = 1
BOUNDS = {
    'contactMs': 3000,
    'graceS': 6,
    'maxHoldMs': 6000,
    'status_s': 120,
    'configApplyMs': 2000,
    'finish_s': 14,
    'stopTimeoutMs': 900,
}
ZONES = ('mazowsze', 'lodz', 'kujawy', 'wielkopolska')


class Record:
    """Writes what was sent, answered and run to a file, one line each."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    def write(self, kind: str, **fields: Any) -> None:
        seconds = time.monotonic() - self._began_at
        details = ' '.join(f'{k}={json.dumps(v)}' for k, v in fields.items())
        self._file.write(f'{seconds:9.3f} {kind} {details}\n')
        self._file.flush()

    def note(self, text: str) -> None:
        """Writes a line to the record and to the standard output."""
        self.write('note', text=text)
        print(text, flush=True)


class _LimitedTransactHandler(_TransactHandler):
    """Refuses rows that are longer than the platform allows."""

    record: Record
    refused = 0

    async def post(self) -> None:  # type: ignore[override]
        body = orjson.loads(self.request.body)
        for row in body['writes']:
            # base64 of at most ROW_BYTES
            padding = row['value'].count('=')
            size = len(row['value']) // 4 * 3 - padding
            if size > ROW_BYTES:
                _LimitedTransactHandler.refused += 1
                if _LimitedTransactHandler.refused <= 20:
                    self.record.write(
                        'store-refused',
                        status=400,
                        table=row['table'],
                        key=row['key'],
                        bytes=size,
                    )
                self.respond({'error': 'the row is too long'}, 400)
                return
        await asyncio.sleep(TRANSACTION_SECONDS)
        super().post()


class _Rows(RowStore):
    """Rows whose feed misses no change that comes as a wait runs out.

    `RowStore.follow` returns nothing then, and the handler answers with the
    version of that change: the daemon would skip it.
    """

    async def follow(
        self, table: str, after: int, wait: float
    ) -> list[Change] | None:
        found = await super().follow(table, after, wait)
        return found or (
            None if found is None else self._list_changes(table, after)
        )


class Store:
    """The platform's table service, with its limit on the size of rows."""

    def __init__(self, record: Record):
        self.rows = _Rows(max_changes=200_000)
        _LimitedTransactHandler.record = record
        arguments = {'store': self.rows, 'listener': StoreListener()}
        app = Application(
            [
                ('/rows-tx', _LimitedTransactHandler, arguments),
                ('/rows-get', _GetHandler, arguments),
                ('/rows-feed', _FeedHandler, arguments),
            ],
            log_function=lambda handler: None,
        )
        _, self.address = serve(app)

    def put(self, table: str, key: str, document: dict[str, Any]) -> None:
        self.rows.write((table, '', key), orjson.dumps(document))

    def drop(self, table: str, key: str) -> None:
        self.rows.write((table, '', key), None)


class _WorkerHandler(RequestHandler):
    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    async def post(self) -> None:
        model = self.worker.model
        if not model.is_up:
            await asyncio.sleep(60)
            return
        expected = self.request.headers.get('X-Expected-Instance', model.id)
        if expected != model.id:
            self._respond(421, {'clockMs': model.clock_ms})
            return
        body = orjson.loads(self.request.body)
        status, document = model.receive(self.request.path, body, False)
        if self.request.path == POLL_PATH and status == 200:
            report = await model.report(body.get('waitMs', 0))
            if report is None:
                return
            document = report
        self._respond(status, document)

    def _respond(self, status: int, document: dict[str, Any]) -> None:
        self.set_status(status)
        self.finish(orjson.dumps(document))


class Worker:
    """A worker that follows the users' protocol."""

    def __init__(
        self,
        number: int,
        store: Store,
        record: Record,
        work: Any,
        cores: int,
        rack_size: int,
    ):
        self.rack = f'r{number // rack_size}'
        self.cores = cores
        self.kind = 'a'
        self.store = store
        self.record = record
        self.zone = ZONES[number % len(ZONES)]
        worker_id = f'i-{zlib.crc32(str(number).encode()):08x}'
        self.model = ModelWorker(worker_id, '', [], zone=self.zone)
        self.model.choose_work = work
        self.model.on_change = self._note
        self.model.boot()
        app = Application(
            [('.*', _WorkerHandler, {'worker': self})],
            log_function=lambda handler: None,
        )
        self._server, self.model.address = serve(app)

    def lose(self) -> None:
        """The worker crashes for good: nobody answers at its address."""
        self.record.write('lost', worker=self.model.id)
        self.model.crash()
        self._server.stop()

    def _note(self, execution: Execution) -> None:
        kind = 'started'
        if execution.is_acknowledged:
            kind = 'noted'
        elif execution.kind:
            kind = execution.kind
        self.record.write(
            kind,
            worker=self.model.id,
            task=execution.task,
            run=execution.run,
        )

    async def beat(self) -> None:
        """Registers the worker at each heartbeat."""
        sequence = 0
        while self.model.is_up:
            sequence += 1
            document = orjson.loads(self.model.describe(SERVICE))
            document.update(
                capacity={'cpu': 1000 * self.cores, 'memMb': 4000 * self.cores},
                labels=[self.kind, self.rack],
                version='1.0',
                slots=8,
                coldRemainingMs=0,
                sequence=sequence,
            )
            self.store.put('servers', self.model.id, document)
            await asyncio.sleep(HEARTBEAT_SECONDS)
        # The platform removes the entry after three silent heartbeats.
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)
        self.store.drop('servers', self.model.id)


def _end_with_parent() -> None:
    ctypes.CDLL(None).prctl(_PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Daemon:
    """One daemon process, started with the command of the deploy file."""

    def __init__(self, name: str, zone: str, store: str, folder: pathlib.Path):
        self.name = name
        self._log = folder / f'{name}.log'
        self._settings = folder / f'{name}.json'
        document = {
            'nodeName': name,
            'zone': zone,
            'ip': '127.0.0.1',
            'listenAddrs': {
                'frontend': '127.0.0.1:0',
                'readiness': '127.0.0.1:0',
            },
            'internalPorts': [0, 0],
            'heartbeatMs': int(1000 * HEARTBEAT_SECONDS),
            'platform': {
                'address': store,
                'form': 'table',
                'writesPerS': 600,
                'readsPerS': 2000,
                'transactionMs': 6.0,
                'partitionWritesS': 200,
                'rowBytes': ROW_BYTES,
                'across': False,
                'historyS': 20,
            },
            'limits': {'cpuShare': 0.537, 'cores': 2, 'linkMbps': 1000.0},
            'bounds': BOUNDS,
            'orders': 'call',
        }
        self._settings.write_text(yaml.safe_dump(document), 'utf-8')
        self.process: asyncio.subprocess.Process | None = None
        self.frontend = ''

    async def start(self) -> None:
        environment = {
            **os.environ,
            'PYTHONPATH': f'{ROOT}/target/deps:{ROOT}',
            'LENTILMOUNT_BOOT': str(self._settings),
            'LENTILMOUNT_METRICS_PORT': '0',
        }
        with self._log.open('ab') as log:
            offset = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'lentilmount.control',
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline and not self.frontend:
            for line in self._log.read_bytes()[offset:].splitlines():
                if b'"Started."' in line:
                    self.frontend = orjson.loads(line)['frontend']
            await asyncio.sleep(0.05)
        if not self.frontend:
            raise RuntimeError(f'{self.name} does not start')

    def read_warnings(self, count: int) -> list[str]:
        """Returns the last warnings of the daemon."""
        found = []
        for line in self._log.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                entry = orjson.loads(line)
                if entry['level'] in ('warning', 'error'):
                    found.append(f'{entry["time"]} {entry["message"]}')
        return found[-count:]

    async def close(self) -> None:
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class Client:
    """Submits jobs and asks for them, at the daemons in turn."""

    def __init__(self, daemons: list[Daemon], record: Record):
        self._daemons = daemons
        self._record = record
        self._http = SimpleAsyncHTTPClient(force_instance=True, max_clients=200)
        self._calls = 0

    async def call(
        self, method: str, path: str, body: Any = None, quiet: bool = False
    ) -> tuple[int, dict[str, Any]]:
        """Makes one call; the status is 0 if there is no answer in 3 s."""
        self._calls += 1
        daemon = self._daemons[self._calls % len(self._daemons)]
        data = None if body is None else orjson.dumps(body)
        if not quiet:
            self._record.write('sent', method=method, path=path, to=daemon.name)
        try:
            answer = await self._http.fetch(
                f'http://{daemon.frontend}{path}',
                method=method,
                body=data,
                headers={
                    'Host': HOST,
                    'Content-Type': 'application/json',
                    'X-Deadline-Ms': '3000',
                },
                request_timeout=3.0,
                raise_error=False,
            )
        except Exception:  # noqa: BLE001
            self._record.write('no-answer', method=method, path=path)
            return 0, {}
        status = 0 if answer.code == 599 else answer.code
        text = (answer.body or b'').decode('utf-8', 'replace')
        if not quiet:
            self._record.write(
                'answered',
                method=method,
                path=path,
                status=status,
                body=text[:120],
            )
        try:
            document = orjson.loads(text) if text else {}
        except ValueError:
            document = {}
        return status, document

    async def submit(self, path: str, job: dict[str, Any]) -> bool:
        """Submits a job, again without an answer; returns if it is accepted."""
        for _ in range(5):
            status, _ = await self.call('POST', path, job)
            if 200 <= status < 300:
                return True
            if status in (404, 400):
                return False
            await asyncio.sleep(0.5)
        return False


class Site:
    """The whole deployment; see the module."""

    def __init__(
        self,
        folder: pathlib.Path,
        daemons: int,
        workers: int,
        cores: int = 16,
        rack_size: int = 6,
    ):
        self.record = Record(folder / 'record.txt')
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self._daemons = daemons
        self._workers = workers
        self._cores = cores
        self._rack_size = rack_size
        self.daemons: list[Daemon] = []
        self.workers: list[Worker] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._stack = contextlib.AsyncExitStack()

    def spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.append(task)
        return task

    async def open(self, routes: list[dict[str, Any]], work: Any) -> None:
        """Starts everything and waits until the daemons serve."""
        temporary = self._stack.enter_context(tempfile.TemporaryDirectory())
        folder = pathlib.Path(temporary)
        self.store = Store(self.record)
        self.store.put(
            'op',
            'config',
            {
                'version': 3,
                'routes': [
                    {'hostname': HOST, 'service': SERVICE, **r} for r in routes
                ],
                'services': [{'name': SERVICE, 'admissionCheck': False}],
                'limits': {'maxBodyBytes': 262144},
            },
        )
        for number in range(self._workers):
            worker = Worker(
                number,
                self.store,
                self.record,
                work,
                self._cores,
                self._rack_size,
            )
            self.workers.append(worker)
            self.spawn(worker.beat())
        for number in range(self._daemons):
            zone = ZONES[number % len(ZONES)]
            daemon = Daemon(
                f'edge-{number + 1}', zone, self.store.address, folder
            )
            self.daemons.append(daemon)
            self._stack.push_async_callback(daemon.close)
        await asyncio.gather(*(d.start() for d in self.daemons))
        self.client = Client(self.daemons, self.record)
        # The pages let traffic start 12 s after the machines.
        await asyncio.sleep(6)

    def count_running(self, job_id: str = '') -> int:
        """Returns the number of tasks of a job that run, or of all jobs."""
        return sum(
            task.startswith(job_id)
            for worker in self.workers
            for task, _ in worker.model.running
        )

    async def watch_idle(self, seconds: float, job_id: str = '') -> float:
        """Returns the longest time without a run of a job, or of any job."""
        end = time.monotonic() + seconds
        idle_since = time.monotonic()
        longest = 0.0
        while (now := time.monotonic()) < end:
            if self.count_running(job_id):
                idle_since = now
            longest = max(longest, now - idle_since)
            await asyncio.sleep(0.05)
        return longest

    async def ask_all(self, paths: Iterable[str]) -> list[tuple[str, Any]]:
        """Asks for jobs; returns those that are not completed."""
        unfinished = []
        for path in paths:
            for _ in range(3):
                status, document = await self.client.call('GET', path)
                if status == 200:
                    break
            state = document.get('state', status)
            if state != 'completed':
                unfinished.append((path, state))
        return unfinished

    def judge_lost(self, has_unfinished: bool, is_stalled: bool) -> int:
        """Returns the exit status of a case about the rule LOST."""
        if has_unfinished and is_stalled:
            self.record.note('LOST is broken')
            return 1
        if has_unfinished:
            self.record.note('jobs are not completed, but some work went on')
            return 2
        self.record.note('LOST holds')
        return 0

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await self._stack.aclose()


async def run_case(play: Any, folder: pathlib.Path) -> int:
    """Runs a case; returns 1 if a rule was broken, 0 if not, 2 on failure."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(115):
            return await play(folder)
    except Exception as error:  # noqa: BLE001
        print(f'cannot run: {error!r}', file=sys.stderr)
        return 2


AsyncHTTPClient.configure(None)
