"""Base of the daemon's HTTP handlers: access, bodies and errors."""

from __future__ import annotations

import json
import uuid
from typing import Any

import logbook
from tornado.web import HTTPError, RequestHandler, stream_request_body

from lentilmount.access import Authenticator, Grant
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
    """A handler that answers every failure with a problem document.

    It receives the body itself, chunk by chunk, because tornado would reject
    a body that is too large without a problem document.

    Attributes:
      is_open: Whether requests without a token are served.
      request_id: Id given by the caller, or a generated one.
    """

    is_open = False

    def initialize(self, authenticator: Authenticator) -> None:
        """Sets the authenticator, which checks tokens."""
        self.authenticator = authenticator
        self._limits: BodyLimits = self.settings.get(BODY_LIMITS, BodyLimits())
        self._grant: Grant | None = None
        self._chunks: list[bytes] = []
        self._content_length = 0
        self._reserved_bytes = 0

    def prepare(self) -> None:
        """Sets the request id, and checks access before the body is read.

        A caller without a token must not make the daemon buffer its body.
        """
        self.request_id = self._read_request_id()
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        bind(request=self.request_id)
        length = self.request.headers.get('Content-Length', '')
        self._content_length = int(length) if length.isdecimal() else 0
        # The rest of a refused body is read and discarded, within the timeout
        # for bodies. Closing the connection at once would reset it, and the
        # answer could be lost.
        connection: Any = self.request.connection
        connection.set_max_body_size(
            max(self._limits.max_body_bytes, self._content_length)
        )
        if not self.is_open:
            self.admit()
        # A body of unknown length may reach the maximum size.
        is_chunked = 'Transfer-Encoding' in self.request.headers
        reserved_bytes = (
            self._limits.max_body_bytes if is_chunked else self._content_length
        )
        self._limits.reserve(reserved_bytes)
        self._reserved_bytes = reserved_bytes

    def _read_request_id(self) -> str:
        given = self.request.headers.get(REQUEST_ID_HEADER, '')
        generated = uuid.uuid4().hex
        if len(given) > MAX_REQUEST_ID or not given.isprintable():
            self.request_id = generated
            raise InvalidError(
                f'{REQUEST_ID_HEADER} must be at most {MAX_REQUEST_ID} '
                f'printable characters'
            )
        return given or generated

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk of the body; called by tornado."""
        self._chunks.append(chunk)
        if (
            not self._content_length
            or sum(map(len, self._chunks)) == self._content_length
        ):
            self.request.body = b''.join(self._chunks)
            self._chunks = [self.request.body]

    def on_finish(self) -> None:
        """Releases the memory reserved for the body; called by tornado."""
        self._release()

    def on_connection_close(self) -> None:
        """Releases the memory reserved for the body; called by tornado."""
        self._release()

    def _release(self) -> None:
        self._limits.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def admit(self) -> Grant:
        """Checks the request's token and returns what it allows."""
        if self._grant is None:
            header = self.request.headers.get('Authorization', '')
            self._grant = self.authenticator.authenticate(header)
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
        """Logs unexpected exceptions; called by tornado."""
        if isinstance(value, LentilmountError | HTTPError):
            return
        log.error('A request failed.', exc_info=(typ, value, tb))


def _wrap(status: int, error: BaseException | None) -> LentilmountError:
    kind = _KINDS_BY_STATUS.get(status, ErrorKind.INTERNAL)
    detail = str(error) if isinstance(error, HTTPError) else 'internal error'
    return LentilmountError(detail, kind=kind)


class NoRouteHandler(Handler):
    """Answers requests for paths without a route."""

    is_open = True

    def prepare(self) -> None:
        """Rejects the request."""
        super().prepare()
        raise NotFoundError(f'there is no route {self.request.path}')
