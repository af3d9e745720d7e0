"""Handlers of the resource API that stream changes and list events."""

from __future__ import annotations

import json
from typing import Any

import attrs
from tornado.iostream import StreamClosedError

from lentilmount.access import Verb
from lentilmount.clock import Stamp
from lentilmount.codec import encode, structure
from lentilmount.daemon.api import Api, ApiHandler, list_visible
from lentilmount.errors import (
    ErrorKind,
    FieldProblem,
    InvalidError,
    LentilmountError,
    make_problem,
)
from lentilmount.queries.timeline import (
    DEFAULT_LIMIT,
    Cursor,
    EventFilter,
    keep_visible,
    merge_events,
)
from lentilmount.queries.watch import Notice, WatchFilter

STREAM_TYPE = 'application/x-ndjson'
MAX_MILLIS = 2**53
MAX_EVENTS = 10_000
RETRY_SECONDS = 5.0


@attrs.define
class WatchLimit:
    """Bounds the number of open watches.

    Attributes:
      limit: Maximum number of open watches.
      open_count: Number of watches that are open.
    """

    limit: int
    open_count: int = 0

    def acquire(self) -> None:
        """Counts a watch as open.

        Raises:
          LentilmountError: Of kind LIMITED; the limit is reached.
        """
        if self.open_count >= self.limit:
            raise LentilmountError(
                f'{self.limit} watches are open, and no more are served here',
                kind=ErrorKind.LIMITED,
                retry_after=RETRY_SECONDS,
            )
        self.open_count += 1

    def release(self) -> None:
        """Counts a watch as closed."""
        self.open_count -= 1


class WatchHandler(ApiHandler):
    """Streams changes, as one JSON object per line."""

    def initialize(self, api: Api, seats: WatchLimit) -> None:  # type: ignore[override]
        """Sets the API's parts and the limit on open watches."""
        super().initialize(api)
        self.watch_limit = seats
        self.closed = False

    def on_connection_close(self) -> None:
        """Records that the client has disconnected; called by tornado."""
        self.closed = True
        super().on_connection_close()

    async def get(self) -> None:
        """Sends changes until the client disconnects or the daemon stops."""
        grant = self.admit()
        wanted = WatchFilter(
            list_visible(grant),
            self.read_kind(),
            self.read_team(grant),
            self.get_query_argument('name', ''),
        )
        positions = await self.api.watcher.read_cursor(
            self.get_query_argument('cursor', '')
        )
        self.watch_limit.acquire()
        try:
            self.set_header('Content-Type', STREAM_TYPE)
            async for notice in self.api.watcher.follow(positions, wanted):
                if self.closed or self.api.status.find_fault():
                    return
                if notice is not None:
                    await self._send(notice)
        except StreamClosedError:
            return
        except LentilmountError as error:
            # The HTTP status is already sent, so the last line holds the error.
            await self._send({'error': make_problem(error)})
        finally:
            self.watch_limit.release()

    async def _send(self, value: Notice | dict[str, Any]) -> None:
        self.write(encode(value) + b'\n')
        await self.flush()


class TimeLineHandler(ApiHandler):
    """Lists the events of all daemons."""

    async def get(self) -> None:
        """Answers with events in order, and the daemons that did not answer."""
        grant = self.admit()
        grant.require(Verb.READ, grant.team)
        wanted = EventFilter(
            self.get_query_argument('resource', ''),
            self.get_query_argument('request', ''),
            self.read_number('since_ms', 0, MAX_MILLIS),
            self.read_number('until_ms', 0, MAX_MILLIS),
            self.read_number('limit', DEFAULT_LIMIT, MAX_EVENTS),
        )
        line = await merge_events(
            self.api.events, self.api.survey, wanted, self._read_cursor()
        )
        visible = keep_visible(line.events, list_visible(grant))
        self.reply(
            {
                'events': list(visible),
                'unreachable': line.unreachable,
                'cursor': json.dumps(
                    {
                        name: [stamp.millis, stamp.counter]
                        for name, stamp in line.cursor.items()
                    }
                ),
            }
        )

    def _read_cursor(self) -> Cursor:
        given = self.get_query_argument('cursor', '')
        try:
            plain = structure(
                json.loads(given or '{}'), dict[str, tuple[int, int]]
            )
        except (ValueError, InvalidError) as error:
            field = FieldProblem(
                'cursor', 'is not one that a time line gave', 'leave it out'
            )
            raise InvalidError(str(field), fields=(field,)) from error
        return {name: Stamp(*pair) for name, pair in plain.items()}
