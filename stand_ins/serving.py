"""HTTP handlers of a stand-in worker: sync API, requests, run record."""

from __future__ import annotations

import json
from typing import Any

import attrs
from tornado.web import Application

from lentilmount.codec import decode, encode
from lentilmount.routing.forward import MISDIRECTED
from lentilmount.upstream.workers import SYNC_PATH, SyncRequest
from stand_ins.faults import FAULTS_PATH, FaultsHandler, FaultyHandler
from stand_ins.worker import Worker


class SyncHandler(FaultyHandler):
    """Serves the sync call of the worker API."""

    def post(self) -> None:
        """Carries out the commands and answers with the worker's state."""
        worker: Worker = self.parts['worker']
        answer = worker.sync(decode(self.request.body, SyncRequest))
        if self.lose_answer():
            return
        self.finish(encode(answer))


class ServeHandler(FaultyHandler):
    """Serves callers' requests, as an upstream."""

    async def respond(self, *_: str) -> None:
        """Answers with the request's body and id."""
        worker: Worker = self.parts['worker']
        name = self.request.headers.get('Lentilmount-Service', '')
        request = self.request.headers.get('Lentilmount-Request', '')
        attempt = worker.find_service(name)
        if worker.leaving:
            self.set_header('Lentilmount-Leaving', 'true')
        if attempt is None:
            self.set_header('Lentilmount-Request', request)
            self.set_header('Lentilmount-Ran', 'no')
            self.reply({'error': f'{name} does not run here'}, MISDIRECTED)
            return
        await worker.serve(attempt, request)
        self.set_header('Lentilmount-Request', request)
        self.reply(
            {
                'request': request,
                'worker': worker.options.name,
                'echo': self.request.body.decode('latin-1'),
            }
        )

    get = post = put = delete = respond


class WorkerRecordHandler(FaultyHandler):
    """Reports to checkers what ran on the worker."""

    def get(self) -> None:
        """Answers with the runs and the number of runs of each request."""
        worker: Worker = self.parts['worker']
        self.finish(
            {
                'name': worker.options.name,
                'boot': worker.boot,
                'runs': [attrs.asdict(run) for run in worker.list_runs()],
                'served': dict(worker.served),
            }
        )

    def post(self) -> None:
        """Restarts the worker, or marks it as leaving."""
        worker: Worker = self.parts['worker']
        change = json.loads(self.request.body)
        worker.leaving = change.get('leaving', worker.leaving)
        if change.get('restart'):
            worker.restart()
        self.finish({'boot': worker.boot})


def make_worker_app(worker: Worker) -> Application:
    """Builds the HTTP application of a worker."""
    parts: dict[str, Any] = {'worker': worker, 'faults': worker.faults}
    return Application(
        [
            (FAULTS_PATH, FaultsHandler, {'faults': worker.faults}),
            ('/_record', WorkerRecordHandler, parts),
            (SYNC_PATH, SyncHandler, parts),
            ('/(.*)', ServeHandler, parts),
        ]
    )
