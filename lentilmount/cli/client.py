"""Calls to the resource API."""

from __future__ import annotations

import json
from typing import Any

from lentilmount.codec import structure
from lentilmount.errors import (
    ErrorKind,
    FieldProblem,
    LentilmountError,
    NotFoundError,
)
from lentilmount.upstream.http import CURL_ERROR, HttpCaller


class ApiClient:
    """Sends commands and queries to one daemon."""

    def __init__(self, server: str, token: str):
        self._server = server
        self._token = token
        self._caller = HttpCaller(server, timeout=30.0)

    async def call(
        self, method: str, path: str, value: Any = None, request_id: str = ''
    ) -> Any:
        """Sends one request and returns the answer's JSON.

        Raises:
          LentilmountError: Of the kind that the daemon told.
        """
        headers = {'Authorization': f'Bearer {self._token}'}
        if request_id:
            headers['Lentilmount-Request'] = request_id
        body = None if value is None else json.dumps(value).encode()
        if method == 'POST' and body is None:
            body = b''
        answer = await self._caller.call(method, path, body, headers)
        if answer.status == CURL_ERROR:
            raise LentilmountError(
                f'{self._server} does not answer; check --server',
                kind=ErrorKind.NOT_READY,
            )
        if answer.status >= 400:
            raise _read_problem(answer.body)
        return json.loads(answer.body)

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()


def _read_problem(body: bytes) -> LentilmountError:
    problem = json.loads(body)
    kind = ErrorKind(problem['kind'])
    cls = NotFoundError if kind is ErrorKind.NOT_FOUND else LentilmountError
    return cls(
        problem['detail'],
        kind=kind,
        fields=structure(problem.get('fields', []), tuple[FieldProblem, ...]),
    )
