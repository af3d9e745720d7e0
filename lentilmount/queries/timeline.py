"""Merges the events of all reachable daemons into one ordered timeline."""

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
"""Timestamp of the newest event that was read from each daemon, by name."""


@attrs.frozen
class EventFilter:
    """Filter of a timeline query.

    Attributes:
      resource: Path of a resource, or a prefix that ends before a slash.
      request: Id of a request.
      since_millis: Only events after this Unix time in milliseconds.
      until_millis: Only events up to this Unix time in milliseconds; 0 for
        no end.
      limit: Maximum number of events per daemon, the newest; 0 for all.
    """

    resource: str = ''
    request: str = ''
    since_millis: int = 0
    until_millis: int = 0
    limit: int = DEFAULT_LIMIT

    def accepts(self, event: Event) -> bool:
        """Returns whether an event matches the filter."""
        until = self.until_millis
        return (
            is_within(event.resource, self.resource)
            and (not self.request or event.request == self.request)
            and event.stamp.millis > self.since_millis
            and (not until or event.stamp.millis <= until)
        )


@attrs.frozen
class Timeline:
    """Ordered events, and the daemons whose events are missing.

    Attributes:
      events: Events in the order of their timestamps.
      unreachable: Names of known daemons that did not answer.
      cursor: Position from which a later query continues.
    """

    events: tuple[Event, ...]
    unreachable: tuple[str, ...]
    cursor: Cursor


class OtherDaemons(Protocol):
    """Reads events from the other daemons."""

    async def list_events(
        self, wanted: EventFilter, cursor: Cursor
    ) -> dict[str, list[Event] | None]:
        """Queries all known daemons concurrently.

        Returns:
          Events by daemon; None for a daemon that did not answer.
        """


def find_team(resource: str) -> str:
    """Returns the team that an event's resource belongs to, or ''."""
    kind, _, rest = resource.partition('/')
    return rest.partition('/')[0] if kind in _KINDS else ''


def select_events(
    log: EventLog, wanted: EventFilter, after: Stamp | None = None
) -> list[Event]:
    """Returns this daemon's matching events after a timestamp."""
    found = [e for e in log.select(after) if wanted.accepts(e)]
    return found[-wanted.limit :]


async def merge_events(
    log: EventLog, others: OtherDaemons, wanted: EventFilter, cursor: Cursor
) -> Timeline:
    """Merges this daemon's events with those of all others, by timestamp."""
    answers = await others.list_events(wanted, cursor)
    answers[log.daemon] = select_events(log, wanted, cursor.get(log.daemon))
    found = {name: evs for name, evs in answers.items() if evs is not None}
    newest = {name: evs[-1].stamp for name, evs in found.items() if evs}
    merged = heapq.merge(*found.values(), key=lambda event: event.stamp)
    return Timeline(
        events=tuple(merged),
        unreachable=tuple(sorted(answers.keys() - found.keys())),
        cursor={**cursor, **newest},
    )


def keep_visible(
    events: Iterable[Event], teams: frozenset[str] | None
) -> Iterator[Event]:
    """Yields the events of the given teams' resources; all events for None."""
    for event in events:
        if teams is None or find_team(event.resource) in teams:
            yield event
