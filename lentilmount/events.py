"""The event timeline: typed events in a bounded ring buffer per daemon."""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterator

import attrs
import logbook

from lentilmount.clock import Clock, HybridClock, Stamp, SystemClock

log = logbook.Logger('events', level=logbook.INFO)
"""Logs events at debug level. The level is also set here, because formatting a
record that the handler then drops costs almost as much as writing it."""

RING_SIZE = 8192


class EventKind(enum.Enum):
    """The kinds of event."""

    STARTED = 'daemon-started'
    STOPPING = 'daemon-stopping'
    PEER_UP = 'peer-up'
    PEER_DOWN = 'peer-down'
    REVISION = 'revision-in-force'
    SLICE_TAKEN = 'slice-taken'
    SLICE_LOST = 'slice-lost'
    ACCEPTED = 'accepted'
    PLACED = 'placed'
    RUNNING = 'running'
    THROTTLED = 'throttled'
    EVICTED = 'evicted'
    STOPPED = 'stopped'
    LOST = 'lost'
    RESUMED = 'resumed'
    COMPLETED = 'completed'
    FAILED = 'failed'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'
    LEAVING = 'upstream-leaving'
    EJECTED = 'upstream-ejected'
    RESTORED = 'upstream-restored'
    QUARANTINED = 'worker-quarantined'
    REQUEST = 'request'
    RETRY = 'retry'
    HEDGE = 'hedge'
    STORE_DOWN = 'store-down'
    STORE_UP = 'store-up'


@attrs.frozen
class Event:
    """One entry of the timeline.

    Attributes:
      stamp: Hybrid logical timestamp.
      daemon: Name of the daemon that recorded it.
      part: Component of the daemon that recorded it.
      kind: Kind of event.
      resource: Path of the resource, as kind/team/name, or ''.
      attempt: Attempt number of a task, 0 where there is none.
      worker: Name of the worker, or ''.
      request: Id of the request, or ''.
      cause: Human-readable reason.
      seconds: Duration in seconds; 0 for an instantaneous event.
    """

    stamp: Stamp
    daemon: str
    part: str
    kind: EventKind
    resource: str = ''
    attempt: int = 0
    worker: str = ''
    request: str = ''
    cause: str = ''
    seconds: float = 0.0


class EventLog:
    """A bounded ring buffer of events that drops the oldest first."""

    def __init__(
        self,
        daemon: str,
        clock: Clock | None = None,
        size: int = RING_SIZE,
    ):
        self.daemon = daemon
        self.hybrid = HybridClock(clock or SystemClock())
        self._ring: collections.deque[Event] = collections.deque(maxlen=size)

    def record(
        self,
        part: str,
        kind: EventKind,
        resource: str = '',
        *,
        attempt: int = 0,
        worker: str = '',
        request: str = '',
        cause: str = '',
        seconds: float = 0.0,
    ) -> Event:
        """Records an event, logs it at debug level, and returns it."""
        event = Event(
            self.hybrid.tick(),
            self.daemon,
            part,
            kind,
            resource,
            attempt,
            worker,
            request,
            cause,
            seconds,
        )
        self._ring.append(event)
        if log.level <= logbook.DEBUG:
            _log(event)
        return event

    def select(
        self, after: Stamp | None = None, resource: str = ''
    ) -> Iterator[Event]:
        """Yields events after a timestamp, of one resource path if given."""
        for event in tuple(self._ring):
            if after is not None and event.stamp <= after:
                continue
            if is_within(event.resource, resource):
                yield event


def is_within(resource: str, wanted: str) -> bool:
    """Returns whether a path equals another or is below it; '' matches all."""
    wanted = wanted.rstrip('/')
    return not wanted or f'{resource}/'.startswith(f'{wanted}/')


def _log(event: Event) -> None:
    ids = {
        'task': event.resource,
        'attempt': event.attempt,
        'worker': event.worker,
        'request': event.request,
    }
    log.debug(
        '{}: {}{}.',
        event.part,
        event.kind.value,
        f', {event.cause}' if event.cause else '',
        extra={name: value for name, value in ids.items() if value},
    )
