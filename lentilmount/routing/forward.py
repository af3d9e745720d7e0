"""Forwards a request to an upstream and reports whether it ran."""

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
"""Status of a server that does not serve the target (RFC 9110, 15.5.20)."""


MAX_CLIENTS = 512
"""Maximum requests in flight for each connection limit; the client creates a
libcurl handle for each in advance, which takes memory.
"""

CONNECT_SECONDS = 0.25
"""Timeout for connecting; round trips within a region take a few
milliseconds."""

DISTRUST_SECONDS = 130.0
"""Time without connection reuse after a response to another request; longer
than libcurl keeps an idle connection (118 s)."""

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
"""Headers that are set here, in place of any that the caller sent."""

_BODILESS = frozenset({204, 304})


class Result(enum.Enum):
    """Outcome of a request at an upstream."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


def _never() -> bool:
    return False


@attrs.frozen
class Call:
    """A caller's request.

    Attributes:
      id: Request id.
      service: Name of the service, as team/name.
      method: HTTP method.
      path: Path and query at the upstream.
      headers: Headers that the caller sent.
      body: Complete body.
      idempotent: Whether the request may safely run more than once.
      is_disconnected: Returns whether the caller has closed its connection.
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
    """Response of an upstream, or the reason why there is none.

    Attributes:
      result: Whether there is a response, and if not, whether the request ran.
      status: HTTP status.
      headers: Headers to pass on to the caller.
      body: Complete body.
      error: Why there is no response.
      is_busy: Whether the upstream refused the request as overloaded.
      is_misdirected: Whether the upstream does not serve this service.
      is_timeout: Whether the request timed out.
      is_leaving: Whether the upstream reported that it is shutting down.
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
    """Interface of a client that sends requests to upstreams."""

    async def send(
        self, address: str, call: Call, timeout: float, connections: int
    ) -> Reply:
        """Sends a call to an upstream; never raises.

        Args:
          address: IP address and port of the upstream.
          call: The request.
          timeout: Seconds until the caller's deadline.
          connections: Maximum connections of this daemon to the address.
        """


class _Request(HTTPRequest):
    """A request that records whether any part of it was sent.

    Attributes:
      was_sent: Whether any byte of it was sent, on any connection.
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
        # libcurl resends a request by itself if a kept-alive connection is
        # closed before any byte of the response. The upstream may have run
        # the first copy, so a non-idempotent request would run twice. On a
        # new connection libcurl does not resend. Connections of non-idempotent
        # requests are closed after use, so that they do not evict idle ones.
        curl.setopt(pycurl.FRESH_CONNECT, self._fresh_connection)
        curl.setopt(pycurl.FORBID_REUSE, self._single_use)
        curl.setopt(pycurl.HTTPHEADER, self._lines)
        # By default libcurl removes dot segments from the path.
        curl.setopt(pycurl.PATH_AS_IS, 1)

    def record_sent(self) -> None:
        """Records whether bytes were sent, before the handle is reused.

        The error alone does not tell: if a kept-alive connection failed after
        the request was sent, and a second connection was refused, libcurl
        reports only the refusal. Its byte count covers both connections.
        """
        if self._curl is not None:
            self.was_sent = self._curl.getinfo(pycurl.REQUEST_SIZE) > 0
            self._curl = None


class _Client(CurlAsyncHTTPClient):
    """A curl client that also records whether a failed request was sent."""

    def set_connection_limit(self, connections: int) -> None:
        """Limits the connections to each address, including idle ones."""
        self._multi.setopt(pycurl.M_MAX_HOST_CONNECTIONS, connections)
        # libcurl's default depends on the requests in flight and would close
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
    """Sends requests with a curl client.

    A connection is reused only for idempotent requests to upstreams whose
    responses echo the request id. Without the id, if an upstream sent two
    responses to one request, the second would be taken for the response to
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
            # The path is not ASCII; raised before connecting.
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
    """Formats header lines for libcurl.

    They are passed directly to libcurl. The client would parse and validate
    each of them again, which the server that received them already did.
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
    # libcurl omits a header without a value unless it ends in a semicolon.
    lines = [f'{n}: {v}' if v else f'{n};' for n, v in pairs]
    # By default libcurl waits for "100 Continue" before it sends a large body.
    lines.append('Expect:')
    return [line.encode('latin-1') for line in lines]


def _is_complete(method: str, response: HTTPResponse) -> bool:
    """Returns whether the body is known to be complete.

    A body that ends with the connection looks the same if the upstream fails
    while sending it. With a length or chunks libcurl detects truncation.
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
    """Yields the headers that do not belong to a single connection."""
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP:
            yield name, value
