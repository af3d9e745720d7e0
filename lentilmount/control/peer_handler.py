"""What all handlers share that answer other daemons."""

from __future__ import annotations

from collections.abc import Callable

from tornado.web import RequestHandler

NOT_READY = 503
"""HTTP status of a daemon that is being stopped: a call that it took would be
cut off by its end, and nobody would know whether it was carried out."""


class PeerHandler(RequestHandler):
    """Refuses what comes while the daemon is being stopped.

    Attributes:
      is_closing: Whether it is; set by the subclass.
    """

    is_closing: Callable[[], bool]

    def prepare(self) -> None:
        """Called by tornado before a request is answered."""
        if self.is_closing():
            self.refuse()

    def refuse(self) -> None:
        """Answers that another daemon is to be asked."""
        self.set_status(NOT_READY)
        self.finish()
