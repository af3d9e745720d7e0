"""Sends one request to one upstream and tells what became of it."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

from lentilmount.errors import RAN_HEADER

REQUEST_HEADER = 'Lentilmount-Request'
SERVICE_HEADER = 'Lentilmount-Service'
TIMEOUT_HEADER = 'Lentilmount-Timeout-Ms'
LEAVING_HEADER = 'Lentilmount-Leaving'
MISDIRECTED = 421
"""Status of a server that does not serve what was asked (RFC 9110, 15.5.20)."""


MAX_CLIENTS = 512
"""Most requests in flight for each connection share; libcurl's handles are
made beforehand and take memory.
"""

CONNECT_SECONDS = 0.25
"""Round trips within a region take a few milliseconds."""

DISTRUST_SECONDS = 130.0
"""Longer than libcurl keeps an idle connection (118 s)."""

MAX_IDLE_CONNECTIONS = 1024

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

_REPLACED_HEADERS = frozenset(
    name.lower() for name in (REQUEST_HEADER, SERVICE_HEADER, TIMEOUT_HEADER)
)
"""Set anew; a second one beside the caller's would garble both."""

_BODILESS = frozenset({204, 304})


class Result(enum.Enum):
    """What became of a request at an upstream."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


def _never() -> bool:
    return False


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
      is_disconnected: Tells whether the caller has left.
    """

    id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    idempotent: bool = False
    is_disconnected: Callable[[], bool] = attrs.field(default=_never, eq=False)


@attrs.frozen
class Reply:
    """What an upstream answered, if it did.

    Attributes:
      result: Whether there is an answer, and if not, whether it ran.
      status: HTTP status.
      headers: Headers that go to the caller.
      body: The whole body.
      error: Why there is no answer.
      is_busy: Whether the upstream refused it for now.
      is_misdirected: Whether the upstream says that the service is not there.
      is_timeout: Whether the time ran out.
      is_leaving: Whether the upstream says that it is going away.
    """

    result: Result
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    error: str = ''
    is_busy: bool = False
    is_misdirected: bool = False
    is_timeout: bool = False
    is_leaving: bool = False


class Forwarder(Protocol):
    """What sends requests to upstreams."""

    async def send(
        self, address: str, call: Call, timeout: float, connections: int
    ) -> Reply:
        """Sends a call to an upstream; never raises.

        Args:
          address: IP number and port.
          call: The request.
          timeout: Seconds until the caller's deadline.
          connections: Most connections of this daemon to the address.
        """


class _Request(HTTPRequest):
    """A request that knows whether any of it was sent.

    Attributes:
      was_sent: Whether a byte of it went out, on whichever connection.
    """

    def __init__(
        self,
        url: str,
        lines: list[bytes],
        fresh_connection: bool,
        single_use: bool,
        **options: Any,
    ):
        super().__init__(url, prepare_curl_callback=self._prepare, **options)
        self.was_sent = True
        self._lines = lines
        self._fresh_connection = fresh_connection
        self._single_use = single_use
        self._curl: Any = None

    def _prepare(self, curl: Any) -> None:
        self._curl = curl
        # libcurl sends a request again by itself when a kept-alive connection
        # turns out dead before any byte of the answer. The upstream may have
        # run the first copy, so a non-idempotent request would run twice. On
        # a fresh connection there is no such second try. It is closed after
        # use, so that such connections do not push out the kept ones.
        curl.setopt(pycurl.FRESH_CONNECT, self._fresh_connection)
        curl.setopt(pycurl.FORBID_REUSE, self._single_use)
        curl.setopt(pycurl.HTTPHEADER, self._lines)
        # libcurl would resolve dots in the path by itself.
        curl.setopt(pycurl.PATH_AS_IS, 1)

    def record_sent(self) -> None:
        """Reads what was sent, before the client uses its handle again.

        The error is not enough: when a kept-alive connection died after the
        request went out, and the second connection was refused, libcurl
        reports only the refusal. It counts the bytes over both.
        """
        if self._curl is not None:
            self.was_sent = self._curl.getinfo(pycurl.REQUEST_SIZE) > 0
            self._curl = None


class _Client(CurlAsyncHTTPClient):
    """The curl client, which also tells whether a failed request was sent."""

    def set_connection_limit(self, connections: int) -> None:
        """Limits the connections to each address, idle ones included."""
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, connections)
        # libcurl's default follows the requests in flight and would close
        # most idle connections when traffic is low.
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)

    def fetch_impl(
        self, request: HTTPRequest, callback: Callable[[HTTPResponse], None]
    ) -> None:
        """See `AsyncHTTPClient`."""

        def finish(response: HTTPResponse) -> None:
            if response.error is not None:
                request.record_sent()  # type: ignore[attr-defined]
            callback(response)

        super().fetch_impl(request, finish)


class CurlForwarder:
    """Sends requests with the curl client.

    A connection is used again only for idempotent requests to upstreams whose
    answers name the request that they answer. Without the name, an upstream
    that answered twice would have its second answer taken for the answer to
    the next request on that connection.
    """

    def __init__(self) -> None:
        self._clients: dict[int, _Client] = {}
        self._echoing_addresses: set[str] = set()
        self._distrusted_until: dict[str, float] = {}

    def _get_client(self, connections: int) -> _Client:
        if connections not in self._clients:
            client = _Client(force_instance=True, max_clients=MAX_CLIENTS)
            client.set_connection_limit(connections)
            self._clients[connections] = client
        return self._clients[connections]

    async def send(
        self, address: str, call: Call, timeout: float, connections: int
    ) -> Reply:
        """See `Forwarder`."""
        client = self._get_client(connections)
        reuse = call.idempotent and self._is_reusable(address, client)
        request = _Request(
            f'http://{address}/{call.path}',
            _format_headers(call, timeout),
            fresh_connection=not reuse,
            single_use=not call.idempotent,
            method=call.method,
            body=call.body if call.body or call.method != 'GET' else None,
            connect_timeout=min(timeout, CONNECT_SECONDS),
            request_timeout=timeout,
            follow_redirects=False,
            allow_nonstandard_methods=True,
            decompress_response=False,
        )
        try:
            response = await client.fetch(request, raise_error=False)
        except CurlError as error:
            return _make_failure(request, error)
        except ValueError as error:
            # A path that is not ASCII; found before connecting.
            return Reply(Result.NOT_RUN, error=str(error))
        return self._read_response(address, call, client, response)

    def _is_reusable(self, address: str, client: _Client) -> bool:
        until = self._distrusted_until.get(address)
        if until is not None:
            if client.io_loop.time() < until:
                return False
            del self._distrusted_until[address]
        return address in self._echoing_addresses

    def _read_response(
        self, address: str, call: Call, client: _Client, response: HTTPResponse
    ) -> Reply:
        headers = response.headers
        echoed_id = headers.get(REQUEST_HEADER)
        leaving = headers.get(LEAVING_HEADER) == 'true'
        if echoed_id is None:
            self._echoing_addresses.discard(address)
        elif echoed_id != call.id:
            until = client.io_loop.time() + DISTRUST_SECONDS
            self._distrusted_until[address] = until
            return Reply(
                Result.UNKNOWN, error='the answer is to another request'
            )
        else:
            self._echoing_addresses.add(address)
        if headers.get(RAN_HEADER) == 'no':
            return Reply(
                Result.NOT_RUN,
                error='the upstream refused it',
                is_busy=response.code != MISDIRECTED,
                is_misdirected=response.code == MISDIRECTED,
                is_leaving=leaving,
            )
        if not _is_complete(call.method, response):
            return Reply(
                Result.UNKNOWN,
                error='the answer has no length, so it may be cut short',
                is_leaving=leaving,
            )
        return Reply(
            Result.ANSWERED,
            response.code,
            tuple(remove_hop_by_hop_headers(headers.get_all())),
            response.body or b'',
            is_leaving=leaving,
        )

    def close(self) -> None:
        """Closes the connections."""
        for client in self._clients.values():
            client.close()


def _format_headers(call: Call, timeout: float) -> list[bytes]:
    """Writes header lines as libcurl takes them.

    They go to libcurl as they are: the client would parse and check each of
    them again, and they come from a server that already did.
    """
    pairs = [
        *(
            (n, v)
            for n, v in call.headers
            if n.lower() not in _REPLACED_HEADERS
        ),
        (REQUEST_HEADER, call.id),
        (SERVICE_HEADER, call.service),
        (TIMEOUT_HEADER, str(max(1, int(timeout * 1000)))),
    ]
    # libcurl drops a header without a value unless it ends in a semicolon.
    lines = [f'{n}: {v}' if v else f'{n};' for n, v in pairs]
    # libcurl would wait for the upstream's word before it sends a large body.
    lines.append('Expect:')
    return [line.encode('latin-1') for line in lines]


def _is_complete(method: str, response: HTTPResponse) -> bool:
    """Tells whether a cut would have been noticed.

    An answer that ends with its connection looks the same when the upstream
    dies in the middle of it. With a length or chunks libcurl reports that.
    """
    if method == 'HEAD' or response.code in _BODILESS:
        return True
    headers = response.headers
    coding = headers.get('Transfer-Encoding', '').lower()
    return 'Content-Length' in headers or coding.endswith('chunked')


def _make_failure(request: _Request, error: CurlError) -> Reply:
    return Reply(
        Result.UNKNOWN if request.was_sent else Result.NOT_RUN,
        error=str(error),
        is_timeout=error.errno == pycurl.E_OPERATION_TIMEDOUT,
    )


def remove_hop_by_hop_headers(
    headers: Iterable[tuple[str, str]],
) -> Iterator[tuple[str, str]]:
    """Leaves out the headers that belong to one connection."""
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP:
            yield name, value
