"""The closed list of error kinds, the response to each, and the exceptions.

Daemons return errors as problem documents (RFC 9457) whose `kind` is one of
`ErrorKind`. The header `Lentilmount-Ran` says whether the request may have run
on an upstream.
"""

from __future__ import annotations

import enum

import attrs

from lentilmount.status import ExitStatus

RAN_HEADER = 'Lentilmount-Ran'
PROBLEM_TYPE = 'application/problem+json'


class Ran(enum.Enum):
    """Whether a refused or failed request may have run on an upstream."""

    NO = 'no'
    UNKNOWN = 'unknown'


class ErrorKind(enum.Enum):
    """The kinds of error that are reported to callers."""

    INVALID = 'invalid'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    NOT_FOUND = 'not-found'
    METHOD = 'method-not-allowed'
    CONFLICT = 'conflict'
    GONE = 'gone'
    TOO_LARGE = 'too-large'
    LIMITED = 'limited'
    OVERLOADED = 'overloaded'
    NO_UPSTREAM = 'no-upstream'
    UPSTREAM_FAILED = 'upstream-failed'
    DEADLINE = 'deadline-exceeded'
    STORE_UNAVAILABLE = 'store-unavailable'
    NOT_READY = 'not-ready'
    INTERNAL = 'internal'


@attrs.frozen
class Answer:
    """How one kind of error is reported.

    Attributes:
      http: HTTP status code.
      title: Human-readable summary of the kind.
      exit_status: Exit status of the command-line tool.
      retry: Whether the unchanged call can succeed later.
    """

    http: int
    title: str
    exit_status: ExitStatus
    retry: bool = False


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.INVALID: Answer(
        400, 'The input is not valid', ExitStatus.INVALID
    ),
    ErrorKind.UNAUTHENTICATED: Answer(
        401, 'No valid token was given', ExitStatus.FORBIDDEN
    ),
    ErrorKind.FORBIDDEN: Answer(
        403, 'The token does not allow this', ExitStatus.FORBIDDEN
    ),
    ErrorKind.NOT_FOUND: Answer(
        404, 'There is no such resource', ExitStatus.NOT_FOUND
    ),
    ErrorKind.METHOD: Answer(
        405, 'The route has no such method', ExitStatus.USAGE
    ),
    ErrorKind.CONFLICT: Answer(
        409, 'The resource changed meanwhile', ExitStatus.CONFLICT
    ),
    ErrorKind.GONE: Answer(
        410, 'The revision is no longer kept', ExitStatus.CONFLICT
    ),
    ErrorKind.TOO_LARGE: Answer(
        413, 'The body is too large', ExitStatus.INVALID
    ),
    ErrorKind.LIMITED: Answer(
        429, 'The team is over its limit', ExitStatus.UNAVAILABLE, retry=True
    ),
    ErrorKind.OVERLOADED: Answer(
        503, 'No slot is free in time', ExitStatus.UNAVAILABLE, retry=True
    ),
    ErrorKind.NO_UPSTREAM: Answer(
        503, 'No upstream is running', ExitStatus.UNAVAILABLE, retry=True
    ),
    ErrorKind.UPSTREAM_FAILED: Answer(
        502, 'The upstream failed', ExitStatus.UNAVAILABLE, retry=True
    ),
    ErrorKind.DEADLINE: Answer(
        504, 'The deadline passed', ExitStatus.TIMEOUT, retry=True
    ),
    ErrorKind.STORE_UNAVAILABLE: Answer(
        503, 'The table service is down', ExitStatus.UNAVAILABLE, retry=True
    ),
    ErrorKind.NOT_READY: Answer(
        503, 'The daemon is not ready', ExitStatus.UNAVAILABLE, retry=True
    ),
    ErrorKind.INTERNAL: Answer(500, 'Internal error', ExitStatus.ERROR),
}


@attrs.frozen
class FieldProblem:
    """An invalid field: its path, what is wrong, and how to fix it."""

    field: str
    problem: str
    fix: str = ''
    line: int | None = None

    def __str__(self) -> str:
        """Formats the problem as one line."""
        where = f'line {self.line}, ' if self.line else ''
        fix = f'; {self.fix}' if self.fix else ''
        return f'{where}{self.field}: {self.problem}{fix}'


class LentilmountError(Exception):
    """Base class of the errors that are reported to a caller.

    Attributes:
      kind: Kind of error; selects the HTTP status and the exit status.
      detail: Human-readable description of what happened.
      ran: Whether the request may have run on an upstream.
      retry_after: Seconds to wait before a retry, or None.
      fields: The invalid fields of the input.
      extra: Additional members of the problem document.
    """

    kind = ErrorKind.INTERNAL

    def __init__(
        self,
        detail: str,
        *,
        kind: ErrorKind | None = None,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
        fields: tuple[FieldProblem, ...] = (),
        extra: dict[str, object] | None = None,
    ):
        super().__init__(detail)
        self.kind = kind or type(self).kind
        self.detail = detail
        self.ran = ran
        self.retry_after = retry_after
        self.fields = fields
        self.extra = extra or {}

    @property
    def answer(self) -> Answer:
        """The entry of `ANSWERS` for this kind of error."""
        return ANSWERS[self.kind]


class InvalidError(LentilmountError):
    """The input is invalid and would be rejected again unchanged."""

    kind = ErrorKind.INVALID


class NotFoundError(LentilmountError):
    """The resource or route does not exist or is not visible."""

    kind = ErrorKind.NOT_FOUND


class ConflictError(LentilmountError):
    """The resource was changed concurrently by another operator."""

    kind = ErrorKind.CONFLICT


class AccessError(LentilmountError):
    """The token is missing, unknown, or does not allow the request."""

    kind = ErrorKind.FORBIDDEN


class StoreError(LentilmountError):
    """The platform's table service or object store is unavailable."""

    kind = ErrorKind.STORE_UNAVAILABLE


class UnknownOutcomeError(StoreError):
    """A call to a platform service failed but may have taken effect."""

    kind = ErrorKind.DEADLINE

    def __init__(self, detail: str):
        super().__init__(detail, ran=Ran.UNKNOWN)


class GoneError(LentilmountError):
    """The requested data was pruned or never existed."""

    kind = ErrorKind.GONE


class UpstreamError(LentilmountError):
    """An upstream failed before it completed its response."""

    kind = ErrorKind.UPSTREAM_FAILED


class SettingsError(LentilmountError):
    """The settings are invalid."""

    kind = ErrorKind.INVALID


def make_problem(error: LentilmountError) -> dict[str, object]:
    """Builds the problem document (RFC 9457) of an error."""
    document: dict[str, object] = {
        'type': f'urn:lentilmount:error:{error.kind.value}',
        'title': error.answer.title,
        'status': error.answer.http,
        'detail': error.detail,
        'kind': error.kind.value,
        'ran': error.ran.value,
    }
    if error.retry_after is not None:
        document['retry_after_seconds'] = round(error.retry_after, 3)
    if error.fields:
        document['fields'] = [attrs.asdict(field) for field in error.fields]
    document.update(error.extra)
    return document
