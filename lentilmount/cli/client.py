"""HTTP client of the resource API."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import urlencode

from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from lentilmount.codec import structure
from lentilmount.errors import (
    ErrorKind,
    FieldProblem,
    LentilmountError,
    NotFoundError,
)
from lentilmount.upstream.http import CURL_ERROR, HttpClient

ROOT = '/v1'
CALL_SECONDS = 30.0
CONNECT_SECONDS = 5.0
NO_TEAM = '-'

COMMAND_ATTEMPTS = 4
INITIAL_RETRY_DELAY_SECONDS = 0.2

_EXTRA_KEYS = frozenset({'given_revision', 'current_revision', 'request'})


def make_path(kind: str, name: str) -> str:
    """Returns the URL path of a resource, given as team/name or name alone."""
    team, _, last = name.rpartition('/')
    return f'{ROOT}/{kind.lower()}/{team or NO_TEAM}/{last}'


class ApiClient:
    """Sends commands and queries to one daemon.

    Args:
      server: Scheme, host and port of the daemon's resource API.
      token: Bearer token.
      authority: PEM file of the certificate authority to trust; if empty,
        the system's authorities are trusted.
    """

    def __init__(self, server: str, token: str, authority: str = ''):
        self._server = server
        self._headers = {'Authorization': f'Bearer {token}'}
        self._authority = authority or None
        self._http_client = HttpClient(server, CALL_SECONDS, ca_file=authority)
        self._stream_client = CurlAsyncHTTPClient(force_instance=True)

    async def call(
        self, method: str, path: str, value: Any = None, request_id: str = ''
    ) -> Any:
        """Sends one request and returns the JSON of the response.

        Raises:
          LentilmountError: Of the kind given in the error response, or of
            kind NOT_READY if the daemon does not answer.
        """
        headers = dict(self._headers)
        if request_id:
            headers['Lentilmount-Request'] = request_id
        body = None if value is None else json.dumps(value).encode()
        if method == 'POST' and body is None:
            body = b''
        response = await self._http_client.call(method, path, body, headers)
        if response.status == CURL_ERROR:
            raise self._make_unreachable_error()
        if response.status >= 400:
            raise _parse_error(response.status, response.body)
        return json.loads(response.body)

    async def read(self, path: str, **query: Any) -> Any:
        """Sends a GET request, without empty query parameters; see `call`."""
        parameters = {name: value for name, value in query.items() if value}
        return await self.call('GET', f'{path}?{urlencode(parameters)}')

    async def command(self, method: str, path: str, value: Any = None) -> Any:
        """Sends a command and retries it after errors that allow a retry.

        All attempts carry the same request id, so the daemon applies the
        change once, however many attempts reach it.
        """
        request_id = uuid.uuid4().hex
        delay = INITIAL_RETRY_DELAY_SECONDS
        for _ in range(COMMAND_ATTEMPTS - 1):
            try:
                return await self.call(method, path, value, request_id)
            except LentilmountError as error:
                if not error.answer.retry:
                    raise
            await asyncio.sleep(delay)
            delay *= 2
        return await self.call(method, path, value, request_id)

    async def stream(self, path: str, **query: Any) -> AsyncIterator[Any]:
        """Yields the JSON value of each line of a streamed response.

        Raises:
          LentilmountError: Of the kind given in the error response, or of
            kind NOT_READY if the daemon does not answer.
        """
        chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        parameters = {name: value for name, value in query.items() if value}
        fetch = asyncio.ensure_future(
            self._stream_client.fetch(
                HTTPRequest(
                    f'{self._server}{path}?{urlencode(parameters)}',
                    headers=self._headers,
                    connect_timeout=CONNECT_SECONDS,
                    request_timeout=0,
                    streaming_callback=chunks.put_nowait,
                    ca_certs=self._authority,
                ),
                raise_error=False,
            )
        )
        fetch.add_done_callback(lambda _: chunks.put_nowait(None))
        remainder = b''
        while (chunk := await chunks.get()) is not None:
            *lines, remainder = (remainder + chunk).split(b'\n')
            for line in lines:
                yield _parse_stream_line(line)
        try:
            response = await fetch
        except CurlError as error:
            raise self._make_unreachable_error() from error
        if response.code == CURL_ERROR:
            raise self._make_unreachable_error()
        if response.code >= 400:
            raise _parse_error(response.code, remainder)

    def _make_unreachable_error(self) -> LentilmountError:
        return LentilmountError(
            f'{self._server} does not answer; check --server, and --authority '
            f'if it is https',
            kind=ErrorKind.NOT_READY,
        )

    def close(self) -> None:
        """Closes the connections."""
        self._http_client.close()
        self._stream_client.close()


def _parse_stream_line(line: bytes) -> Any:
    value = json.loads(line)
    if 'error' in value:
        problem = json.dumps(value['error']).encode()
        raise _parse_error(value['error']['status'], problem)
    return value


def _parse_error(status: int, body: bytes) -> LentilmountError:
    try:
        problem = json.loads(body)
        kind = ErrorKind(problem['kind'])
    except (ValueError, KeyError, TypeError):
        return LentilmountError(
            f'the answer is HTTP status {status} and not of lentilmount; '
            f'check --server',
            kind=ErrorKind.NOT_READY,
        )
    cls = NotFoundError if kind is ErrorKind.NOT_FOUND else LentilmountError
    return cls(
        problem['detail'],
        kind=kind,
        retry_after=problem.get('retry_after_seconds'),
        fields=structure(problem.get('fields', []), tuple[FieldProblem, ...]),
        extra={name: problem[name] for name in _EXTRA_KEYS if name in problem},
    )
