"""HTTP API for clients, and the readiness check of the load balancer."""

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
from lentilmount.logs import bind
from lentilmount.platform.documents import Route

log = logbook.Logger('frontend')

JOB_ID = re.compile('[0-9a-f]{16}')

NO_CONFIGURATION_RETRY_SECONDS = 1.0


@attrs.define
class Traffic:
    """State of the connections to clients.

    Attributes:
      in_flight: Number of requests received and not yet answered.
      is_closing: Whether the daemon is shutting down.
    """

    in_flight: int = 0
    is_closing: bool = False


class JobHandler(RequestHandler):
    """Handles clients' requests about jobs and queues."""

    def initialize(
        self,
        submissions: Submissions,
        routes: RouteTable,
        traffic: Traffic,
        metrics: ControlMetrics,
        zone: str,
    ) -> None:
        """Receives the handler's arguments; see `make_frontend`."""
        self._submissions = submissions
        self._routes = routes
        self._traffic = traffic
        self._metrics = metrics
        self._zone = zone
        self._queue = ''

    def prepare(self) -> None:
        """Counts the request as in flight."""
        bind(zone=self._zone)
        self._traffic.in_flight += 1

    def on_finish(self) -> None:
        """Updates the metrics after the request."""
        self._traffic.in_flight -= 1
        self._metrics.count_request(
            self.request.method or '',
            self.get_status(),
            self.request.request_time(),
        )

    async def get(self) -> None:
        """Returns a job's state, or the number of jobs pending in a queue."""
        await self._answer(self._read)

    async def post(self) -> None:
        """Accepts a job."""
        await self._answer(self._submit)

    async def delete(self) -> None:
        """Cancels a job."""
        await self._answer(self._cancel)

    async def _answer(
        self, handle: Callable[[Route, str], Awaitable[dict[str, Any]]]
    ) -> None:
        if self._traffic.is_closing:
            self.set_header('Connection', 'close')
        try:
            route, rest = self._find_route()
            self._queue = route.policy.name
            if self._submissions.is_cut_off(route):
                # So that the client's next connection goes to a daemon that can
                # reach the store.
                self.set_header('Connection', 'close')
            document = await handle(route, rest)
        except LentilmountError as error:
            self._send_problem(error)
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

    def _send_problem(self, error: LentilmountError) -> None:
        log.info(
            'Refused: {}.',
            error.detail,
            extra={
                'path': self.request.path,
                'method': self.request.method,
                'kind': error.kind.value,
                'queue': self._queue,
                'retry_seconds': error.retry_after,
                **error.extra,
            },
        )
        self.set_status(error.answer.http)
        self.set_header('Content-Type', PROBLEM_TYPE)
        self.set_header(RAN_HEADER, error.ran.value)
        if error.retry_after is not None:
            self.set_header('Retry-After', str(max(1, int(error.retry_after))))
        self.finish(orjson.dumps(make_problem(error)))


class ReadinessHandler(RequestHandler):
    """Answers the readiness checks of the load balancer."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Receives the function that returns whether the daemon is ready."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answers 200 if the daemon is ready, else 503."""
        self.set_status(200 if self._is_ready() else 503)


def _skip_access_log(_: RequestHandler) -> None:
    """Suppresses tornado's access log; the handlers log the requests."""


def make_frontend(
    submissions: Submissions,
    routes: RouteTable,
    traffic: Traffic,
    metrics: ControlMetrics,
    zone: str = '',
) -> Application:
    """Returns the application that serves clients.

    Args:
      submissions: Reads and writes the rows of jobs.
      routes: The configuration in force.
      traffic: State of the connections.
      metrics: Metrics of the daemon.
      zone: Availability zone of the daemon, for the log lines of requests.
    """
    arguments = {
        'submissions': submissions,
        'routes': routes,
        'traffic': traffic,
        'metrics': metrics,
        'zone': zone,
    }
    return Application(
        [('.*', JobHandler, arguments)], log_function=_skip_access_log
    )


def make_readiness(is_ready: Callable[[], bool]) -> Application:
    """Returns the application that serves the load balancer."""
    return Application(
        [('.*', ReadinessHandler, {'is_ready': is_ready})],
        log_function=_skip_access_log,
    )
