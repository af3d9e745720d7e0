"""The time line: typed events in a bounded ring, one ring a daemon."""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterator

import attrs
import logbook

from lentilmount.clock import Clock, HybridClock, Stamp, SystemClock

log = logbook.Logger('events', level=logbook.INFO)
"""Events are debug lines. The level stands here too, because a line that a
handler drops has cost most of its time by then."""

RING_SIZE = 8192


class EventKind(enum.Enum):
    """What happened."""

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
    """One entry of the time line.

    Attributes:
      stamp: Hybrid logical time.
      daemon: Who recorded it.
      part: Which part of the daemon.
      kind: What happened.
      resource: The resource it is about, as kind/team/name.
      attempt: Attempt number of a task, 0 where there is none.
      worker: The worker concerned, or ''.
      request: Request id, or ''.
      cause: Why, in a few words.
      seconds: How long it took, 0 for a moment.
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
    """A bounded ring of events; the oldest go first."""

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
        """Adds an event and returns it."""
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
        """Yields events later than a stamp, of a resource if given."""
        for event in tuple(self._ring):
            if after is not None and event.stamp <= after:
                continue
            if is_within(event.resource, resource):
                yield event


def is_within(resource: str, wanted: str) -> bool:
    """Tells whether a path is another one or lies below it; '' holds all."""
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
