"""Calls to the platform over HTTP, by the curl client."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest, HTTPResponse

CONNECT_SECONDS = 1.0
CURL_ERROR = 599

LEFT_OUT = {'User-Agent': '', 'Accept': ''}
"""Headers that curl adds unless they are given empty. With Accept-Encoding
they were 91 of the 289 bytes of a look at a worker. An owner of 245 workers
makes up to 2,200 calls a second: 1.6 Mbit/s that no service here reads."""


@attrs.frozen
class Answer:
    """An HTTP answer; status 599 where there was none."""

    status: int
    body: bytes
    headers: Mapping[str, str]


class HttpCaller:
    """Sends requests to one base address.

    Args:
      base: Scheme, host and port, such as http://127.0.0.1:7001.
      timeout: Seconds for a whole call.
      clients: Most calls at once.
      authority: PEM file of the authority to trust; the system's if empty.
    """

    def __init__(
        self,
        base: str,
        timeout: float = 5.0,
        clients: int = 32,
        authority: str = '',
    ):
        self.base = base
        self._authority = authority or None
        self.timeout = timeout
        self._client = CurlAsyncHTTPClient(
            force_instance=True, max_clients=clients
        )

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float | None = None,
        base: str | None = None,
    ) -> Answer:
        """Sends one request; never raises for a status or a failure.

        Args:
          method: The HTTP method.
          path: Path and query.
          body: Body, if any.
          headers: Headers, if any.
          timeout: Seconds for the call; the caller's own if None.
          base: Another base address, so that one caller and its connections
            serve many upstreams.
        """
        request = HTTPRequest(
            (self.base if base is None else base) + path,
            method=method,
            body=body,
            headers={**LEFT_OUT, **(headers or {})},
            connect_timeout=CONNECT_SECONDS,
            request_timeout=timeout or self.timeout,
            follow_redirects=False,
            decompress_response=False,
            ca_certs=self._authority,
            allow_nonstandard_methods=True,
        )
        try:
            response: HTTPResponse = await self._client.fetch(
                request, raise_error=False
            )
        except CurlError as error:
            return Answer(CURL_ERROR, str(error).encode(), {})
        return Answer(response.code, response.body or b'', response.headers)

    def close(self) -> None:
        """Closes the client's connections."""
        self._client.close()
