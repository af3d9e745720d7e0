"""The time line: events of every daemon that can be reached, in one order."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator
from typing import Protocol

import attrs

from lentilmount.clock import Stamp
from lentilmount.events import Event, EventLog, is_within
from lentilmount.resources import Kind

DEFAULT_LIMIT = 1000
_KINDS = frozenset(kind.value for kind in Kind)

Cursor = dict[str, Stamp]
"""The newest event that was taken from each daemon."""


@attrs.frozen
class EventFilter:
    """Which events are wanted.

    Attributes:
      resource: Path of a resource, or the beginning of one up to a slash.
      request: Id of a request.
      since_millis: Unix time; events later than this.
      until_millis: Unix time; events up to this; 0 for no end.
      limit: The newest so many of each daemon; 0 for all.
    """

    resource: str = ''
    request: str = ''
    since_millis: int = 0
    until_millis: int = 0
    limit: int = DEFAULT_LIMIT

    def accepts(self, event: Event) -> bool:
        """Tells whether an event is wanted."""
        until = self.until_millis
        return (
            is_within(event.resource, self.resource)
            and (not self.request or event.request == self.request)
            and event.stamp.millis > self.since_millis
            and (not until or event.stamp.millis <= until)
        )


@attrs.frozen
class TimeLine:
    """Events in order, and from whom there are none.

    Attributes:
      events: In the order of their stamps.
      unreachable: Daemons that are known and did not answer.
      cursor: Where each daemon's events go on.
    """

    events: tuple[Event, ...]
    unreachable: tuple[str, ...]
    cursor: Cursor


class OtherDaemons(Protocol):
    """What asks the other daemons."""

    async def list_events(
        self, wanted: EventFilter, cursor: Cursor
    ) -> dict[str, list[Event] | None]:
        """Asks every known daemon at once; None where one did not answer."""


def find_team(resource: str) -> str:
    """Returns the team that an event's resource belongs to, or ''."""
    kind, _, rest = resource.partition('/')
    return rest.partition('/')[0] if kind in _KINDS else ''


def select_events(
    log: EventLog, wanted: EventFilter, after: Stamp | None = None
) -> list[Event]:
    """Returns a daemon's own events that are wanted and later than a stamp."""
    found = [e for e in log.select(after) if wanted.accepts(e)]
    return found[-wanted.limit :]


async def merge_events(
    log: EventLog, others: OtherDaemons, wanted: EventFilter, cursor: Cursor
) -> TimeLine:
    """Merges this daemon's events with those of all others."""
    answers = await others.list_events(wanted, cursor)
    answers[log.daemon] = select_events(log, wanted, cursor.get(log.daemon))
    found = {name: evs for name, evs in answers.items() if evs is not None}
    newest = {name: evs[-1].stamp for name, evs in found.items() if evs}
    merged = heapq.merge(*found.values(), key=lambda event: event.stamp)
    return TimeLine(
        events=tuple(merged),
        unreachable=tuple(sorted(answers.keys() - found.keys())),
        cursor={**cursor, **newest},
    )


def keep_visible(
    events: Iterable[Event], teams: frozenset[str] | None
) -> Iterator[Event]:
    """Yields the events of some teams' resources; of all for None."""
    for event in events:
        if teams is None or find_team(event.resource) in teams:
            yield event
