"""Base class of the request handlers of the API between daemons."""

from __future__ import annotations

from collections.abc import Callable

from tornado.web import RequestHandler

NOT_READY = 503
"""HTTP status while the daemon shuts down. An accepted call could be cut off by
its exit, and nobody would know whether it was executed."""


class PeerHandler(RequestHandler):
    """Refuses requests while the daemon is shutting down.

    Attributes:
      is_closing: Returns whether it is; set by the subclass.
    """

    is_closing: Callable[[], bool]

    def prepare(self) -> None:
        """Refuses the request if the daemon is shutting down."""
        if self.is_closing():
            self.refuse()

    def refuse(self) -> None:
        """Answers that the request must go to another daemon."""
        self.set_status(NOT_READY)
        self.finish()
