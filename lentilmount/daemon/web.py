"""What every HTTP handler of the daemon shares: access and errors."""

from __future__ import annotations

import json
import uuid
from typing import Any

import logbook
from tornado.web import HTTPError, RequestHandler

from lentilmount.access import Gate, Grant
from lentilmount.codec import encode
from lentilmount.errors import (
    PROBLEM_TYPE,
    RAN_HEADER,
    ErrorKind,
    InvalidError,
    LentilmountError,
    NotFoundError,
    make_problem,
)

log = logbook.Logger('http')

REQUEST_ID_HEADER = 'Lentilmount-Request'
MAX_REQUEST_ID = 100

_KINDS_BY_STATUS = {
    400: ErrorKind.INVALID,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.METHOD,
    413: ErrorKind.TOO_LARGE,
}


class Handler(RequestHandler):
    """A handler whose every failure is a problem document.

    Attributes:
      request_id: The caller's id of the request, or a new one.
    """

    def initialize(self, gate: Gate) -> None:
        """Keeps the gate."""
        self.gate = gate

    def prepare(self) -> None:
        """Gives the request its id."""
        given = self.request.headers.get(REQUEST_ID_HEADER, '')
        self.request_id = given or uuid.uuid4().hex
        self.set_header(REQUEST_ID_HEADER, self.request_id[:MAX_REQUEST_ID])
        if len(given) > MAX_REQUEST_ID or not given.isprintable():
            raise InvalidError(
                f'{REQUEST_ID_HEADER} must be at most {MAX_REQUEST_ID} '
                f'printable characters'
            )

    def admit(self) -> Grant:
        """Returns what the request's token allows."""
        return self.gate.admit(self.request.headers.get('Authorization', ''))

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
        self.set_header(REQUEST_ID_HEADER, self.request_id[:MAX_REQUEST_ID])
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
        log.error(
            'Request {} failed.', self.request_id, exc_info=(typ, value, tb)
        )


def _wrap(status: int, error: BaseException | None) -> LentilmountError:
    kind = _KINDS_BY_STATUS.get(status, ErrorKind.INTERNAL)
    detail = str(error) if isinstance(error, HTTPError) else 'internal error'
    return LentilmountError(detail, kind=kind)


class NoRouteHandler(Handler):
    """Answers where there is no route."""

    def prepare(self) -> None:
        """Refuses every request."""
        super().prepare()
        raise NotFoundError(f'there is no route {self.request.path}')
