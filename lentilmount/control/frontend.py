"""What clients and the balancer are answered."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import logbook
import orjson
from tornado.web import Application, RequestHandler

from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.routes import RouteTable
from lentilmount.control.submissions import Submissions
from lentilmount.errors import (
    PROBLEM_TYPE,
    RAN_HEADER,
    ErrorKind,
    LentilmountError,
    NotFoundError,
    make_problem,
)
from lentilmount.platform.documents import Route

log = logbook.Logger('frontend')

JOB_ID = re.compile('[0-9a-f]{16}')

NO_CONFIGURATION_RETRY_SECONDS = 1.0


@attrs.define
class Traffic:
    """What is open towards clients.

    Attributes:
      in_flight: Requests that were read and not yet answered.
      is_closing: Whether the daemon is about to end.
    """

    in_flight: int = 0
    is_closing: bool = False


class JobHandler(RequestHandler):
    """Answers requests on jobs and queues."""

    def initialize(
        self,
        submissions: Submissions,
        routes: RouteTable,
        traffic: Traffic,
        metrics: ControlMetrics,
    ) -> None:
        """Takes what it works with; see `make_frontend`."""
        self._submissions = submissions
        self._routes = routes
        self._traffic = traffic
        self._metrics = metrics

    def prepare(self) -> None:
        """Notes that a request is in flight."""
        self._traffic.in_flight += 1

    def on_finish(self) -> None:
        """Counts the request."""
        self._traffic.in_flight -= 1
        self._metrics.count_request(
            self.request.method or '',
            self.get_status(),
            self.request.request_time(),
        )

    async def get(self) -> None:
        """Tells a job's state, or a queue's count of waiting jobs."""
        await self._answer(self._read)

    async def post(self) -> None:
        """Accepts a job."""
        await self._answer(self._submit)

    async def delete(self) -> None:
        """Cancels a job."""
        await self._answer(self._cancel)

    async def _answer(
        self, act: Callable[[Route, str], Awaitable[dict[str, Any]]]
    ) -> None:
        if self._traffic.is_closing:
            self.set_header('Connection', 'close')
        try:
            route, rest = self._find_route()
            if self._submissions.is_cut_off(route):
                # The next connection goes to a daemon that can serve it.
                self.set_header('Connection', 'close')
            document = await act(route, rest)
        except LentilmountError as error:
            self._tell(error)
            return
        self.set_header('Content-Type', 'application/json')
        self.finish(orjson.dumps(document))

    def _find_route(self) -> tuple[Route, str]:
        if self._routes.current is None:
            raise LentilmountError(
                'no configuration is in force yet',
                kind=ErrorKind.NOT_READY,
                retry_after=NO_CONFIGURATION_RETRY_SECONDS,
            )
        if self._routes.is_outdated:
            raise LentilmountError(
                'the configuration may be older than what is in force',
                kind=ErrorKind.NOT_READY,
                retry_after=NO_CONFIGURATION_RETRY_SECONDS,
            )
        host = self.request.host.partition(':')[0]
        found = self._routes.find(host, self.request.path)
        if found is None:
            raise NotFoundError('no queue has this host and path')
        return found

    def _check_id(self, rest: str) -> str:
        if not JOB_ID.fullmatch(rest):
            raise NotFoundError('a job id is 16 hexadecimal digits')
        return rest

    async def _read(self, route: Route, rest: str) -> dict[str, Any]:
        if not rest:
            return {'pending': await self._submissions.count_pending(route)}
        job_id = self._check_id(rest)
        state = await self._submissions.find_state(route, job_id)
        return {'state': state.value}

    async def _submit(self, route: Route, rest: str) -> dict[str, Any]:
        job_id = self._check_id(rest)
        await self._submissions.submit(route, job_id, self.request.body)
        return {}

    async def _cancel(self, route: Route, rest: str) -> dict[str, Any]:
        await self._submissions.cancel(route, self._check_id(rest))
        return {}

    def _tell(self, error: LentilmountError) -> None:
        log.info(
            'Refused: {}.',
            error.detail,
            extra={
                'path': self.request.path,
                'method': self.request.method,
                'kind': error.kind.value,
            },
        )
        self.set_status(error.answer.http)
        self.set_header('Content-Type', PROBLEM_TYPE)
        self.set_header(RAN_HEADER, error.ran.value)
        if error.retry_after is not None:
            self.set_header('Retry-After', str(max(1, int(error.retry_after))))
        self.finish(orjson.dumps(make_problem(error)))


class ReadinessHandler(RequestHandler):
    """Tells the balancer whether to send new connections."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Takes what tells whether the daemon is ready."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answers 200 if ready, else 503."""
        self.set_status(200 if self._is_ready() else 503)


def _be_quiet(_: RequestHandler) -> None:
    """Leaves out tornado's line a request; our own lines tell more."""


def make_frontend(
    submissions: Submissions,
    routes: RouteTable,
    traffic: Traffic,
    metrics: ControlMetrics,
) -> Application:
    """Builds what clients talk to."""
    arguments = {
        'submissions': submissions,
        'routes': routes,
        'traffic': traffic,
        'metrics': metrics,
    }
    return Application([('.*', JobHandler, arguments)], log_function=_be_quiet)


def make_readiness(is_ready: Callable[[], bool]) -> Application:
    """Builds what the balancer asks."""
    return Application(
        [('.*', ReadinessHandler, {'is_ready': is_ready})],
        log_function=_be_quiet,
    )
