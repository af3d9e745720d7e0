"""HTTP client for the platform's services, based on libcurl."""

from __future__ import annotations

import asyncio
import enum
import functools
import io
from collections.abc import Callable, Mapping
from typing import Any, Protocol, cast

import attrs
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

CONNECT_SECONDS = 1.0
CURL_ERROR = 599

HEAD_BYTES = 100
"""Estimate of the bytes of a request or response beside its path, its body and
the headers that a caller gives."""

SUPPRESSED_HEADERS = {
    'User-Agent': '',
    'Accept': '',
    'Expect': '',
    'Content-Type': '',
}
"""Headers that curl adds unless they are given empty. With Accept-Encoding
they took 91 of the 289 bytes of a poll of a worker. An owner of 245 workers
makes up to 2,200 calls per second: 1.6 Mbit/s that no service here reads."""

PERMIT: int = pycurl.PREREQFUNC_OK
ABORT: int = pycurl.PREREQFUNC_ABORT

REPEATABLE_METHODS = frozenset({'GET', 'HEAD'})
"""Methods of requests that libcurl may send again by itself. A copy changes
nothing, and its answer is as good as that to the first one."""


@attrs.frozen
class HttpResponse:
    """An HTTP response; its status is 599 if there was none.

    Attributes:
      status: The HTTP status.
      body: The body; the error if there was no response.
      headers: The headers.
      was_sent: Whether the request may have been sent.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]
    was_sent: bool = True


class CallKind(enum.Enum):
    """What a call is for."""

    POLL = 'poll'
    START = 'start'
    STOP = 'stop'
    THROTTLE = 'throttle'
    TABLE_READ = 'table-read'
    TABLE_WRITE = 'table-write'
    TABLE_FEED = 'table-feed'
    PEER = 'peer'
    ADVICE = 'advice'
    OTHER = 'other'

    @property
    def waits(self) -> bool:
        """Whether the service may wait for an event before it answers."""
        return self in (CallKind.POLL, CallKind.TABLE_FEED)


class CallObserver(Protocol):
    """Observes the calls of HTTP clients; sizes are estimates in bytes."""

    def handle_begin(self, kind: CallKind, sent: int) -> None:
        """Called before a request is handed over to be sent."""

    def handle_end(
        self, kind: CallKind, sent: int, received: int | None, seconds: float
    ) -> None:
        """Called when a call is over.

        Args:
          kind: What it was for.
          sent: Size of its request, as given to `handle_begin`.
          received: Size of the response; 0 if there was none, None if the
            call was cancelled.
          seconds: Duration of the call.
        """


class NoObserver:
    """A `CallObserver` that ignores all calls."""

    def handle_begin(self, kind: CallKind, sent: int) -> None:
        """See `CallObserver`."""

    def handle_end(
        self, kind: CallKind, sent: int, received: int | None, seconds: float
    ) -> None:
        """See `CallObserver`."""


def measure_request(
    path: str, body: bytes | None, headers: Mapping[str, str] | None
) -> int:
    """Returns the estimated size of a request in bytes."""
    size = HEAD_BYTES + len(path) + len(body or b'')
    for name, value in (headers or {}).items():
        size += len(name) + len(value) + 4
    return size


def measure_response(response: HttpResponse) -> int:
    """Returns the estimated size of a response in bytes; 0 if it is none."""
    if response.status == CURL_ERROR:
        return 0
    return HEAD_BYTES + len(response.body)


def _encode_headers(headers: Mapping[str, str]) -> list[bytes]:
    """Returns header lines; curl leaves out those without a value.

    Raises:
      ValueError: A header contains a line break.
    """
    lines = [
        f'{name}: {value}'.encode('latin-1') for name, value in headers.items()
    ]
    for line in lines:
        if b'\r' in line or b'\n' in line:
            raise ValueError(f'a header contains a line break: {line!r}')
    return lines


class _Request(HTTPRequest):
    """A request, and what its transfer needs to know beside it.

    Attributes:
      reads_headers: Whether to parse the headers of its response.
      was_permitted: Whether libcurl was permitted to send it.
    """

    reads_headers = True
    was_permitted = False

    def permit_once(self, *_addresses: object) -> int:
        """Permits libcurl to send the request, unless it did so before.

        libcurl sends a request again on another connection if a reused one is
        closed before any byte of the response. The first copy may have been
        executed, and the answer to the second one would hide that.
        """
        answer = ABORT if self.was_permitted else PERMIT
        self.was_permitted = True
        return answer

    def permit_again(self) -> None:
        """Permits libcurl to send the request once more."""
        self.was_permitted = False


class _Client(CurlAsyncHTTPClient):
    """A curl client that creates handles on demand and can abort transfers.

    A handle takes about 7 kB. Only the daemon that calls all workers needs
    hundreds of them.
    """

    def initialize(  # type: ignore[override]
        self, max_clients: int = 10, **options: Any
    ) -> None:
        """See `CurlAsyncHTTPClient`."""
        super().initialize(max_clients=0, **options)
        self._max_clients = max_clients

    def fetch_impl(
        self, request: HTTPRequest, callback: Callable[[HTTPResponse], None]
    ) -> None:
        """See `CurlAsyncHTTPClient`."""
        if not self._free_list and len(self._curls) < self._max_clients:
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super().fetch_impl(request, callback)

    def _curl_setup_request(
        self,
        curl: pycurl.Curl,
        request: HTTPRequest,
        buffer: io.BytesIO,
        headers: HTTPHeaders,
    ) -> None:
        """Sets the options of a request of `HttpClient`.

        The inherited method sets 26 options for features that are not used
        here, most of them to their defaults. That was a quarter of the time of
        a call, of which an owner of hundreds of workers makes thousands per
        second.

        Raises:
          ValueError: A header contains a line break.
        """
        own_request = cast(_Request, request)
        curl.setopt(pycurl.URL, request.url)
        curl.setopt(pycurl.HTTPHEADER, _encode_headers(request.headers))
        if request.method not in REPEATABLE_METHODS:
            curl.setopt(pycurl.PREREQFUNCTION, own_request.permit_once)
        if own_request.reads_headers:
            curl.setopt(
                pycurl.HEADERFUNCTION,
                functools.partial(self._curl_header_callback, headers, None),
            )
        curl.setopt(pycurl.WRITEFUNCTION, buffer.write)
        curl.setopt(pycurl.MAXFILESIZE, self.max_body_size)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(
            pycurl.CONNECTTIMEOUT_MS, int(1000 * (request.connect_timeout or 0))
        )
        curl.setopt(
            pycurl.TIMEOUT_MS, int(1000 * (request.request_timeout or 0))
        )
        if request.ca_certs is not None:
            curl.setopt(pycurl.CAINFO, request.ca_certs)
        if request.body is not None or request.method == 'POST':
            curl.setopt(pycurl.POSTFIELDS, request.body or b'')
        if request.method == 'HEAD':
            curl.setopt(pycurl.NOBODY, True)
        elif request.method not in ('GET', 'POST'):
            curl.setopt(pycurl.CUSTOMREQUEST, request.method)
        if request.prepare_curl_callback is not None:
            request.prepare_curl_callback(curl)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        """See `CurlAsyncHTTPClient`; sends again what was never sent."""
        if curl_error == pycurl.E_ABORTED_BY_CALLBACK:
            # The byte count includes the connection that failed.
            if not curl.getinfo(pycurl.REQUEST_SIZE):
                self._send_on_new_connection(curl)
                return
            curl_message = 'connection closed without a response'
        super()._finish(curl, curl_error, curl_message)

    def _send_on_new_connection(self, curl: pycurl.Curl) -> None:
        self._multi.remove_handle(curl)
        curl.info['request'].permit_again()
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        self._multi.add_handle(curl)

    def end_transfer(self, curl: pycurl.Curl, reason: str) -> None:
        """Fails a transfer as if it had timed out."""
        self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, reason)
        self._process_queue()


@attrs.define
class _StallDetector:
    """Aborts a transfer that has stalled.

    A timeout for a long response as a whole cannot distinguish a slow link
    from a service that does not respond. It aborted partial responses over and
    over: a host kept an old configuration as long as the new one took longer
    to transfer than the timeout of a call. Here only the time without received
    bytes counts.

    Attributes:
      client: Client that runs the transfer.
      seconds: Timeout without received bytes, in seconds.
    """

    client: _Client
    seconds: float
    _curl: pycurl.Curl | None = None
    _transfer: object = None
    _received: int = 0
    _timer: asyncio.TimerHandle | None = None

    def begin(self, curl: pycurl.Curl) -> None:
        """Starts to monitor the transfer for which a handle was set up."""
        self._curl = curl
        # The client replaces `info` of a handle with each transfer.
        self._transfer = curl.info
        self._wait()

    def _wait(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self.seconds, self._check)

    def _check(self) -> None:
        curl = self._curl
        if curl is None or curl.info is not self._transfer:
            return
        received = curl.getinfo(pycurl.SIZE_DOWNLOAD_T)
        if received > self._received:
            self._received = received
            self._wait()
            return
        reason = f'Nothing more for {self.seconds} s, {received} bytes so far'
        self.client.end_transfer(curl, reason)

    def end(self) -> None:
        """Stops monitoring."""
        if self._timer is not None:
            self._timer.cancel()


class HttpClient:
    """Sends requests to one base address.

    Attributes:
      base: The base address.
      timeout: Timeout of a call, in seconds.
      observer: Observes the calls.

    Args:
      base: Scheme, host and port, such as http://127.0.0.1:7001.
      timeout: Timeout of a call, in seconds.
      clients: Maximum concurrent calls.
      ca_file: PEM file of the certificate authority to trust; the system's
        authorities if empty.
      observer: Observes the calls, if given.
    """

    observer: CallObserver = NoObserver()

    def __init__(
        self,
        base: str,
        timeout: float = 5.0,
        clients: int = 32,
        ca_file: str = '',
        observer: CallObserver | None = None,
    ):
        self.base = base
        if observer is not None:
            self.observer = observer
        self._ca_file = ca_file or None
        self.timeout = timeout
        self._client = _Client(force_instance=True, max_clients=clients)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float | None = None,
        base: str | None = None,
        total_timeout: float | None = None,
        reads_headers: bool = True,
        connect_timeout: float = CONNECT_SECONDS,
        kind: CallKind = CallKind.OTHER,
    ) -> HttpResponse:
        """Sends one request; never raises for a status or a failure.

        A request that may change something is sent once at most. Without a
        response it may have been executed.

        Args:
          method: HTTP method.
          path: Path and query.
          body: Request body, if any.
          headers: Request headers, if any.
          timeout: Timeout of the call in seconds; the client's own if None.
          base: Another base address, so that one client and its connections
            can call many services.
          total_timeout: Timeout of the whole call in seconds; if given,
            `timeout` bounds only the time without received bytes.
          reads_headers: Whether to parse the response headers, which takes a
            seventh of the time of a call.
          connect_timeout: Timeout for a connection, in seconds.
          kind: What the call is for.
        """
        sent = measure_request(path, body, headers)
        received: int | None = None
        clock = asyncio.get_running_loop()
        began_at = clock.time()
        self.observer.handle_begin(kind, sent)
        try:
            response = await self._send(
                method,
                path,
                body,
                headers,
                timeout,
                base,
                total_timeout,
                reads_headers,
                connect_timeout,
            )
            received = measure_response(response)
            return response
        finally:
            took = clock.time() - began_at
            self.observer.handle_end(kind, sent, received, took)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None,
        timeout: float | None,
        base: str | None,
        total_timeout: float | None,
        reads_headers: bool,
        connect_timeout: float,
    ) -> HttpResponse:
        """Sends one request; see `call`."""
        call_timeout = timeout or self.timeout
        stall_detector = (
            None
            if total_timeout is None
            else _StallDetector(self._client, call_timeout)
        )
        request = _Request(
            (self.base if base is None else base) + path,
            method=method,
            body=body,
            headers={**SUPPRESSED_HEADERS, **(headers or {})},
            connect_timeout=connect_timeout,
            request_timeout=call_timeout
            if total_timeout is None
            else total_timeout,
            prepare_curl_callback=stall_detector.begin
            if stall_detector
            else None,
            follow_redirects=False,
            decompress_response=False,
            ca_certs=self._ca_file,
            allow_nonstandard_methods=True,
        )
        request.reads_headers = reads_headers
        try:
            response: HTTPResponse = await self._client.fetch(
                request, raise_error=False
            )
        except (CurlError, ValueError) as error:
            was_sent = method in REPEATABLE_METHODS or request.was_permitted
            return HttpResponse(CURL_ERROR, str(error).encode(), {}, was_sent)
        finally:
            if stall_detector is not None:
                stall_detector.end()
        return HttpResponse(
            response.code, response.body or b'', response.headers
        )

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()
