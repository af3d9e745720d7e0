"""Sends one request to one upstream and tells what became of it."""

from __future__ import annotations

import enum
from typing import Any, Protocol

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from lentilmount.errors import RAN_HEADER
from lentilmount.upstream.http import CONNECT_SECONDS

REQUEST_HEADER = 'Lentilmount-Request'
SERVICE_HEADER = 'Lentilmount-Service'
MAX_CLIENTS = 512
"""Most requests in flight; the client makes a 4 KiB handle for each at once."""

_NEVER_SENT = frozenset(
    {pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST}
)

_HOP_BY_HOP = frozenset(
    {
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'authorization',
    }
)


class Result(enum.Enum):
    """What became of a request at an upstream."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@attrs.frozen
class Call:
    """A caller's request.

    Attributes:
      id: Its request id.
      service: The service, as team/name.
      method: HTTP method.
      path: Path and query at the upstream.
      headers: The caller's headers.
      body: The whole body.
      idempotent: Whether running it twice does no harm.
    """

    id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    idempotent: bool = False


@attrs.frozen
class Reply:
    """What an upstream answered, if it did.

    Attributes:
      result: Whether there is an answer, and if not, whether it ran.
      status: HTTP status.
      headers: Headers that go to the caller.
      body: The whole body.
      error: Why there is no answer.
    """

    result: Result
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    error: str = ''


class Forwarder(Protocol):
    """What sends requests to upstreams."""

    async def send(self, address: str, call: Call, timeout: float) -> Reply:
        """Sends a call to an upstream; never raises."""


def _force_fresh_connection(curl: Any) -> None:
    # libcurl sends a request again by itself when a kept-alive connection
    # turns out dead before any byte of the answer. The upstream may have run
    # the first copy, so a non-idempotent request would run twice. On a fresh
    # connection there is no such second try.
    curl.setopt(pycurl.FRESH_CONNECT, 1)


class CurlForwarder:
    """Sends requests with the curl client."""

    def __init__(self) -> None:
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def send(self, address: str, call: Call, timeout: float) -> Reply:
        """See `Forwarder`."""
        request = HTTPRequest(
            f'http://{address}/{call.path}',
            method=call.method,
            headers=dict(
                [
                    *call.headers,
                    (REQUEST_HEADER, call.id),
                    (SERVICE_HEADER, call.service),
                    # libcurl would wait for the upstream's word before it
                    # sends a large body.
                    ('Expect', ''),
                ]
            ),
            body=call.body if call.body or call.method != 'GET' else None,
            connect_timeout=min(timeout, CONNECT_SECONDS),
            request_timeout=timeout,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
            prepare_curl_callback=None
            if call.idempotent
            else _force_fresh_connection,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            return _make_failure(error)
        echoed = response.headers.get(REQUEST_HEADER)
        if echoed is not None and echoed != call.id:
            return Reply(
                Result.UNKNOWN, error='the answer is to another request'
            )
        if response.headers.get(RAN_HEADER) == 'no':
            return Reply(Result.NOT_RUN, error='the upstream refused it')
        return Reply(
            Result.ANSWERED,
            response.code,
            tuple(filter_headers(response.headers.get_all())),
            response.body or b'',
        )

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()


def _make_failure(error: CurlError) -> Reply:
    never_sent = error.errno in _NEVER_SENT
    result = Result.NOT_RUN if never_sent else Result.UNKNOWN
    return Reply(result, error=str(error))


def filter_headers(headers: Any) -> list[tuple[str, str]]:
    """Leaves out the headers that belong to one connection."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP
    ]
