"""Calls to the table service, and the ways on which they are sent."""

from __future__ import annotations

from typing import Protocol

import attrs

from lentilmount.upstream.http import HttpResponse

ANSWERED_STATUSES = (200, 410, 412)
"""HTTP statuses of a service that works."""

REFUSED_STATUSES = (429, 503)
"""HTTP statuses that tell that nothing was done."""


@attrs.frozen
class StoreCall:
    """A call to the table service.

    Attributes:
      part: Which part of a table it is about; '' for a whole table.
      method: The HTTP method.
      path: Path and query.
      body: Body, if any.
      timeout: Seconds to wait for an answer, or for more of one that was
        read in part.
      total_timeout: Seconds for an answer that keeps arriving; None for
        `timeout`.
    """

    part: str
    method: str
    path: str
    body: bytes | None
    timeout: float
    total_timeout: float | None = None


class StoreRelay(Protocol):
    """Another way to the table service."""

    def is_preferred(self, part: str) -> bool:
        """Whether the direct way is known to fail."""

    async def send(self, call: StoreCall) -> HttpResponse | None:
        """Returns an answer, 599 if it was lost; None if there is no way."""


class NoRelay:
    """The direct way is the only one."""

    def is_preferred(self, part: str) -> bool:
        """See `StoreRelay`."""
        return False

    async def send(self, call: StoreCall) -> HttpResponse | None:
        """See `StoreRelay`."""
        return None
