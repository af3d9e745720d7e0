"""Calls to the table service, and the interface for relaying them."""

from __future__ import annotations

from typing import Protocol

import attrs

from lentilmount.upstream.http import HttpResponse

ANSWERED_STATUSES = (200, 410, 412)
"""HTTP statuses with which a working table service answers."""

REFUSED_STATUSES = (429, 503)
"""HTTP statuses with which the table service rejects a call unexecuted."""


@attrs.frozen
class StoreCall:
    """A call to the table service.

    Attributes:
      part: Part of the table that it addresses; '' for a whole table.
      method: The HTTP method.
      path: Path and query.
      body: Request body, or None.
      timeout: Timeout of the call in seconds; with `total_timeout`, longest
        time without any data.
      total_timeout: Longest time in seconds for an answer that keeps arriving;
        None if `timeout` bounds the whole call.
    """

    part: str
    method: str
    path: str
    body: bytes | None
    timeout: float
    total_timeout: float | None = None


class StoreRelay(Protocol):
    """Another route to the table service."""

    def is_preferred(self, part: str) -> bool:
        """Returns whether direct calls are known to fail."""

    async def send(self, call: StoreCall) -> HttpResponse | None:
        """Sends a call through the relay.

        Returns:
          The answer, with status 599 if it was lost; None if the call was not
          sent, as no relay is available.
        """


class NoRelay:
    """A relay that is never available."""

    def is_preferred(self, part: str) -> bool:
        """See `StoreRelay`."""
        return False

    async def send(self, call: StoreCall) -> HttpResponse | None:
        """See `StoreRelay`."""
        return None
