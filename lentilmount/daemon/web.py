"""What every HTTP handler of the daemon shares: access and errors."""

from __future__ import annotations

import json
import uuid
from typing import Any

import logbook
from tornado.web import HTTPError, RequestHandler, stream_request_body

from lentilmount.access import Gate, Grant
from lentilmount.codec import encode
from lentilmount.daemon.bodies import BODY_LIMITS, BodyLimits
from lentilmount.errors import (
    PROBLEM_TYPE,
    RAN_HEADER,
    ErrorKind,
    InvalidError,
    LentilmountError,
    NotFoundError,
    make_problem,
)
from lentilmount.logs import bind

log = logbook.Logger('http')

REQUEST_ID_HEADER = 'Lentilmount-Request'
MAX_REQUEST_ID = 100

_KINDS_BY_STATUS = {
    400: ErrorKind.INVALID,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.METHOD,
    413: ErrorKind.TOO_LARGE,
}


@stream_request_body
class Handler(RequestHandler):
    """A handler whose every failure is a problem document.

    The body is taken in here, piece by piece, because the library would
    answer one that is too large without a problem document.

    Attributes:
      is_open: Whether everybody is served, also without a token.
      request_id: The caller's id of the request, or a new one.
    """

    is_open = False

    def initialize(self, gate: Gate) -> None:
        """Keeps the gate."""
        self.gate = gate
        self._limits: BodyLimits = self.settings.get(BODY_LIMITS, BodyLimits())
        self._grant: Grant | None = None
        self._pieces: list[bytes] = []
        self._expected = 0
        self._held = 0

    def prepare(self) -> None:
        """Gives the request its id, and admits it before its body comes.

        A caller without a token must not make the daemon hold its body.
        """
        self.request_id = self._read_request_id()
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        bind(request=self.request_id)
        length = self.request.headers.get('Content-Length', '')
        self._expected = int(length) if length.isdecimal() else 0
        # The rest of a refused body is read and dropped, within the time for
        # slow senders: closing at once would reset the connection and could
        # lose the answer on its way.
        connection: Any = self.request.connection
        connection.set_max_body_size(max(self._limits.largest, self._expected))
        if not self.is_open:
            self.admit()
        # A body of unknown length may become as large as any.
        is_chunked = 'Transfer-Encoding' in self.request.headers
        held = self._limits.largest if is_chunked else self._expected
        self._limits.hold(held)
        self._held = held

    def _read_request_id(self) -> str:
        given = self.request.headers.get(REQUEST_ID_HEADER, '')
        made = uuid.uuid4().hex
        if len(given) > MAX_REQUEST_ID or not given.isprintable():
            self.request_id = made
            raise InvalidError(
                f'{REQUEST_ID_HEADER} must be at most {MAX_REQUEST_ID} '
                f'printable characters'
            )
        return given or made

    def data_received(self, chunk: bytes) -> None:
        """Takes a piece of the body; called by tornado."""
        self._pieces.append(chunk)
        if not self._expected or sum(map(len, self._pieces)) == self._expected:
            self.request.body = b''.join(self._pieces)
            self._pieces = [self.request.body]

    def on_finish(self) -> None:
        """Gives back what the body held; called by tornado."""
        self._release()

    def on_connection_close(self) -> None:
        """Gives back what the body held; called by tornado."""
        self._release()

    def _release(self) -> None:
        self._limits.release(self._held)
        self._held = 0

    def admit(self) -> Grant:
        """Returns what the request's token allows."""
        if self._grant is None:
            header = self.request.headers.get('Authorization', '')
            self._grant = self.gate.admit(header)
        return self._grant

    def reply(self, value: Any, status: int = 200) -> None:
        """Answers with JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(encode(value))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers with a problem document; called by tornado."""
        error = kwargs.get('exc_info', (None, None, None))[1]
        if not isinstance(error, LentilmountError):
            error = _wrap(status_code, error)
        self.set_status(error.answer.http)
        self.set_header('Content-Type', PROBLEM_TYPE)
        self.set_header(RAN_HEADER, error.ran.value)
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        if error.retry_after is not None:
            self.set_header(
                'Retry-After', str(max(1, round(error.retry_after)))
            )
        problem = make_problem(error)
        problem['request'] = self.request_id
        self.finish(json.dumps(problem))

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs what nobody expected."""
        if isinstance(value, LentilmountError | HTTPError):
            return
        log.error('A request failed.', exc_info=(typ, value, tb))


def _wrap(status: int, error: BaseException | None) -> LentilmountError:
    kind = _KINDS_BY_STATUS.get(status, ErrorKind.INTERNAL)
    detail = str(error) if isinstance(error, HTTPError) else 'internal error'
    return LentilmountError(detail, kind=kind)


class NoRouteHandler(Handler):
    """Answers where there is no route."""

    is_open = True

    def prepare(self) -> None:
        """Refuses every request."""
        super().prepare()
        raise NotFoundError(f'there is no route {self.request.path}')
