"""Handler of interactive requests, which callers send."""

from __future__ import annotations

from typing import Any

from tornado.web import Application

from lentilmount.access import Authenticator, Verb
from lentilmount.daemon.web import Handler, NoRouteHandler
from lentilmount.errors import FieldProblem, InvalidError
from lentilmount.routing.forward import (
    TIMEOUT_HEADER,
    Call,
    Reply,
    remove_hop_by_hop_headers,
)
from lentilmount.routing.router import Router

IDEMPOTENT_HEADER = 'Lentilmount-Idempotent'
IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'})

_BOOLEANS = {'true': True, 'false': False}


class CallHandler(Handler):
    """Routes one request to a service.

    Attributes:
      is_disconnected: Whether the caller closed its connection.
    """

    def initialize(self, authenticator: Authenticator, router: Router) -> None:  # type: ignore[override]
        """Sets the router."""
        super().initialize(authenticator)
        self.router = router
        self.is_disconnected = False

    async def respond(self, team: str, service: str, _: str) -> None:
        """Sends the request to an upstream, and its answer to the caller."""
        self.admit().require(Verb.CALL, team)
        # The path matched by the route is decoded, which could change it.
        path = self.request.path.split('/', 4)[4]
        query = self.request.query
        call = Call(
            id=self.request_id,
            service=f'{team}/{service}',
            method=self.request.method or 'GET',
            path=f'{path}?{query}' if query else path,
            headers=tuple(
                remove_hop_by_hop_headers(self.request.headers.get_all())
            ),
            body=self.request.body,
            idempotent=self._is_idempotent(),
            is_disconnected=lambda: self.is_disconnected,
        )
        reply = await self.router.route(call, self._read_timeout())
        if not self.is_disconnected:
            self._send_reply(reply)

    def _send_reply(self, reply: Reply) -> None:
        self.set_status(reply.status)
        self.clear_header('Content-Type')
        for name in {name for name, _ in reply.headers}:
            self.clear_header(name)
        for name, value in reply.headers:
            self.add_header(name, value)
        self.finish(reply.body)

    def on_connection_close(self) -> None:
        """Records that the caller disconnected; called by tornado."""
        self.is_disconnected = True
        super().on_connection_close()

    get = head = post = put = delete = patch = options = respond

    def _is_idempotent(self) -> bool:
        default = self.request.method in IDEMPOTENT_METHODS
        given = self.request.headers.get(IDEMPOTENT_HEADER)
        if given is None:
            return default
        if given not in _BOOLEANS:
            raise InvalidError(
                f'{IDEMPOTENT_HEADER} must be true or false, not {given!r}'
            )
        return _BOOLEANS[given]

    def _read_timeout(self) -> float | None:
        given = self.request.headers.get(TIMEOUT_HEADER)
        if given is None:
            return None
        try:
            millis = float(given)
        except ValueError:
            millis = 0.0
        if not 0 < millis < float('inf'):
            raise InvalidError(
                f'{TIMEOUT_HEADER} must be a positive number of '
                f'milliseconds, not {given!r}',
                fields=(FieldProblem(TIMEOUT_HEADER, 'not positive'),),
            )
        return millis / 1000


def make_callers_app(
    authenticator: Authenticator, router: Router
) -> Application:
    """Builds the callers' HTTP application."""
    parts: dict[str, Any] = {'authenticator': authenticator}
    return Application(
        [
            (
                r'/call/([^/]+)/([^/]+)/(.*)',
                CallHandler,
                {**parts, 'router': router},
            )
        ],
        default_handler_class=NoRouteHandler,
        default_handler_args=parts,
    )
