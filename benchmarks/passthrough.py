"""A minimal proxy (tornado server, curl client) as a baseline of the cost.

`python -m benchmarks.passthrough FILE` prints the address it listens on. FILE
holds the addresses of the upstreams as a JSON list; requests are sent to them
in round-robin order.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import pathlib
import sys
from collections.abc import Iterator

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler


class ForwardingHandler(RequestHandler):
    """Forwards a request to the next upstream."""

    def initialize(
        self, turns: Iterator[str], client: CurlAsyncHTTPClient
    ) -> None:
        """Stores the upstream iterator and the HTTP client."""
        self.turns = turns
        self.client = client

    async def post(self) -> None:
        """Forwards the request and returns the response of the upstream."""
        headers = self.request.headers
        response = await self.client.fetch(
            f'http://{next(self.turns)}{self.request.path}',
            method='POST',
            body=self.request.body,
            headers={'Lentilmount-Request': headers['Lentilmount-Request']},
            raise_error=False,
        )
        self.set_status(response.code)
        self.finish(response.body)


async def serve(upstreams: list[str]) -> None:
    """Listens on a free port and serves until the process is stopped."""
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=512)
    handler_options = {'turns': itertools.cycle(upstreams), 'client': client}
    (socket,) = bind_sockets(0, '127.0.0.1')
    HTTPServer(
        Application([('.*', ForwardingHandler, handler_options)])
    ).add_socket(socket)
    print(json.dumps({'callers': f'127.0.0.1:{socket.getsockname()[1]}'}))
    sys.stdout.flush()
    await asyncio.Event().wait()


if __name__ == '__main__':
    addresses = json.loads(pathlib.Path(sys.argv[1]).read_bytes())
    asyncio.run(serve(addresses))
