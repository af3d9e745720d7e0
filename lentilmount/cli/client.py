"""Calls to the resource API."""

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
FIRST_PAUSE_SECONDS = 0.2

_EXTRA = frozenset({'given_revision', 'current_revision', 'request'})


def make_path(kind: str, name: str) -> str:
    """Returns the route of a resource named as team/name, or name alone."""
    team, _, last = name.rpartition('/')
    return f'{ROOT}/{kind.lower()}/{team or NO_TEAM}/{last}'


class ApiClient:
    """Sends commands and queries to one daemon.

    Args:
      server: Scheme, host and port of its resource API.
      token: Bearer token.
      authority: PEM file of the authority to trust; the system's if empty.
    """

    def __init__(self, server: str, token: str, authority: str = ''):
        self._server = server
        self._headers = {'Authorization': f'Bearer {token}'}
        self._authority = authority or None
        self._caller = HttpClient(server, CALL_SECONDS, ca_file=authority)
        self._streams = CurlAsyncHTTPClient(force_instance=True)

    async def call(
        self, method: str, path: str, value: Any = None, request_id: str = ''
    ) -> Any:
        """Sends one request and returns the answer's JSON.

        Raises:
          LentilmountError: Of the kind that the daemon told.
        """
        headers = dict(self._headers)
        if request_id:
            headers['Lentilmount-Request'] = request_id
        body = None if value is None else json.dumps(value).encode()
        if method == 'POST' and body is None:
            body = b''
        answer = await self._caller.call(method, path, body, headers)
        if answer.status == CURL_ERROR:
            raise self._make_silence()
        if answer.status >= 400:
            raise _read_problem(answer.status, answer.body)
        return json.loads(answer.body)

    async def read(self, path: str, **query: Any) -> Any:
        """Sends a query; see `call`."""
        wanted = {name: value for name, value in query.items() if value}
        return await self.call('GET', f'{path}?{urlencode(wanted)}')

    async def command(self, method: str, path: str, value: Any = None) -> Any:
        """Sends a command, again while the daemon cannot tell its outcome.

        All tries carry one request id, so the command is one change however
        many of them took effect.
        """
        request_id = uuid.uuid4().hex
        pause = FIRST_PAUSE_SECONDS
        for _ in range(COMMAND_ATTEMPTS - 1):
            try:
                return await self.call(method, path, value, request_id)
            except LentilmountError as error:
                if not error.answer.retry:
                    raise
            await asyncio.sleep(pause)
            pause *= 2
        return await self.call(method, path, value, request_id)

    async def stream(self, path: str, **query: Any) -> AsyncIterator[Any]:
        """Yields the JSON of each line of an answer that goes on.

        Raises:
          LentilmountError: Of the kind that the daemon told.
        """
        pieces: asyncio.Queue[bytes | None] = asyncio.Queue()
        wanted = {name: value for name, value in query.items() if value}
        fetch = asyncio.ensure_future(
            self._streams.fetch(
                HTTPRequest(
                    f'{self._server}{path}?{urlencode(wanted)}',
                    headers=self._headers,
                    connect_timeout=CONNECT_SECONDS,
                    request_timeout=0,
                    streaming_callback=pieces.put_nowait,
                    ca_certs=self._authority,
                ),
                raise_error=False,
            )
        )
        fetch.add_done_callback(lambda _: pieces.put_nowait(None))
        rest = b''
        while (piece := await pieces.get()) is not None:
            *lines, rest = (rest + piece).split(b'\n')
            for line in lines:
                yield _read_line(line)
        try:
            answer = await fetch
        except CurlError as error:
            raise self._make_silence() from error
        if answer.code == CURL_ERROR:
            raise self._make_silence()
        if answer.code >= 400:
            raise _read_problem(answer.code, rest)

    def _make_silence(self) -> LentilmountError:
        return LentilmountError(
            f'{self._server} does not answer; check --server, and --authority '
            f'if it is https',
            kind=ErrorKind.NOT_READY,
        )

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()
        self._streams.close()


def _read_line(line: bytes) -> Any:
    value = json.loads(line)
    if 'error' in value:
        problem = json.dumps(value['error']).encode()
        raise _read_problem(value['error']['status'], problem)
    return value


def _read_problem(status: int, body: bytes) -> LentilmountError:
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
        extra={name: problem[name] for name in _EXTRA if name in problem},
    )
