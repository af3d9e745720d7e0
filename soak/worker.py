"""One worker process: `python -m soak.worker ID FILE` serves a model worker.

It prints its address and its registration, and appends to FILE what it
receives and runs.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
from typing import Any

import attrs
import orjson
from tornado.web import Application, RequestHandler

from soak.events import Event, EventKind, EventLog, get_time
from soak.work import Work, WorkKind, read_work
from stand_ins.entry_hosts import SERVICE, serve
from stand_ins.model_worker import (
    CLOCK_RATE,
    POLL_PATH,
    START_PATH,
    Execution,
    ModelWorker,
)

EXPECTED_INSTANCE = 'X-Expected-Instance'
RECEIVED_HEADER = 'X-Soak-Received'
"""Header with the time at which a link received the call."""

REJECTION_HEADER = 'X-Soak-Rejection'
"""Header with the status with which a start is rejected, if it is."""

_NO_ROOM = 409

_STOPPED_BY_WORK = 70
"""Exit status of a worker that a task has crashed."""


@attrs.define(eq=False)
class ServedWorker:
    """A model worker in real time that records what happens.

    Attributes:
      model: The model of the worker.
      log: Its events.
      is_doomed: Whether it crashes once it has answered the current call.
    """

    model: ModelWorker
    log: EventLog
    is_doomed: bool = False
    _works: dict[str, Work] = attrs.Factory(dict)

    def open(self) -> None:
        """Starts the only incarnation of this process."""
        self.model.choose_work = self._choose_work
        self.model.measure_progress = self._measure_progress
        self.model.on_change = self._note_change
        self.model.boot()

    @property
    def born(self) -> int:
        """Start of the incarnation, as it reports it."""
        return int(1000 * self.model.booted_at)

    def note(self, kind: EventKind, **fields: Any) -> None:
        """Records an event of this worker."""
        self.log.write(
            Event(get_time(), kind, self.model.id, self.born, **fields)
        )

    def _note_change(self, execution: Execution) -> None:
        model = self.model
        kind = EventKind.STARTED
        until = 0.0
        if execution.is_acknowledged:
            kind = EventKind.ACKNOWLEDGED
        elif execution.kind:
            kind = EventKind.ENDED
        if execution.kind == 'lapsed':
            until = model.booted_at + model.lease_until_ms / 1000 / CLOCK_RATE
        self.note(
            kind,
            task=execution.task,
            run=execution.run,
            detail=execution.kind,
            until=until,
            is_late=execution.is_late,
        )

    def _measure_progress(self, execution: Execution, seconds: float) -> int:
        work = self._works[execution.task]
        return work.measure_progress(execution.run, seconds)

    def _choose_work(
        self, task: str, run: int, payload: str
    ) -> tuple[float, str]:
        work = self._works[task] = read_work(payload, task)
        if work.kind is WorkKind.CRASH_UNANSWERED:
            self.crash()
        self.is_doomed = work.kind is WorkKind.CRASH_ANSWERED
        return work.seconds, work.choose_end(run)

    def crash(self) -> None:
        """Ends the process at once."""
        self.note(EventKind.CRASHED)
        os._exit(_STOPPED_BY_WORK)


class _CallHandler(RequestHandler):
    """Carries out one call of a daemon."""

    def initialize(self, worker: ServedWorker) -> None:
        self.worker = worker

    async def post(self) -> None:
        model = self.worker.model
        if self.request.headers.get(EXPECTED_INSTANCE, model.id) != model.id:
            self._respond(421, {'clockMs': model.clock_ms})
            return
        body = orjson.loads(self.request.body)
        path = self.request.path
        received = float(self.request.headers.get(RECEIVED_HEADER, 'inf'))
        if path != POLL_PATH:
            self._note(EventKind.RECEIVED, body, path)
        rejection = int(self.request.headers.get(REJECTION_HEADER, '0'))
        if rejection not in (0, _NO_ROOM):
            self._note(EventKind.REFUSED, body, f'{path} {rejection}')
            self.set_status(rejection)
            return
        model.has_capacity = rejection != _NO_ROOM
        status, document = model.receive(path, body, received < model.booted_at)
        if path != POLL_PATH and status != 200:
            detail = f'{path} {status} {document["reason"]}'
            self._note(EventKind.REFUSED, body, detail)
        if path == POLL_PATH and status == 200:
            report = await model.report(body.get('waitMs', 0))
            assert report is not None
            document = report
        self._respond(status, document)
        if path == START_PATH and self.worker.is_doomed:
            await self.flush()
            self.worker.crash()

    def _note(self, kind: EventKind, body: dict[str, Any], detail: str) -> None:
        self.worker.note(
            kind, task=body['task'], run=body['run'], detail=detail
        )

    def _respond(self, status: int, document: dict[str, Any]) -> None:
        self.set_status(status)
        self.finish(orjson.dumps(document))


def make_service(worker: ServedWorker) -> Application:
    """Builds the HTTP application of a worker."""
    return Application(
        [('.*', _CallHandler, {'worker': worker})],
        log_function=lambda handler: None,
    )


async def _serve(worker_id: str, path: str) -> None:
    log = EventLog(pathlib.Path(path))
    model = ModelWorker(worker_id, '', [])
    worker = ServedWorker(model, log)
    worker.open()
    _, model.address = serve(make_service(worker))
    registration = orjson.loads(model.describe(SERVICE))
    print(orjson.dumps(registration).decode(), flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_serve(*sys.argv[1:]))
