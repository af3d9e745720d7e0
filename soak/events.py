"""What happened, one line of JSON for each event.

All processes of a host share CLOCK_MONOTONIC, so their lines can be merged.
"""

from __future__ import annotations

import enum
import os
import pathlib
import time

import attrs
import orjson

from lentilmount.codec import decode, unstructure


class EventKind(enum.Enum):
    """Kinds of events.

    A worker writes those from RECEIVED to CRASHED about itself, a link those
    from RESET to HELD; the process that plays the plan writes REGISTERED,
    RESIZED and the others. CORDONED and UNCORDONED name a zone, once the table
    has answered. RETURNED tells that a client submits a rejected job again.
    """

    RECEIVED = 'received'
    STARTED = 'started'
    ENDED = 'ended'
    ACKNOWLEDGED = 'acknowledged'
    CRASHED = 'crashed'
    REGISTERED = 'registered'
    RESIZED = 'resized'
    CORDONED = 'cordoned'
    UNCORDONED = 'uncordoned'
    RESET = 'reset'
    REFUSED = 'refused'
    LOST = 'lost'
    HELD = 'held'
    KILLED = 'killed'
    EXITED = 'exited'
    FAULT = 'fault'
    ACCEPTED = 'accepted'
    REJECTED = 'rejected'
    RETURNED = 'returned'
    CANCELLED = 'cancelled'
    STATE = 'state'
    FINISHED = 'finished'


@attrs.frozen
class Event:
    """One event.

    Attributes:
      at: Time in seconds of CLOCK_MONOTONIC.
      kind: Kind of the event.
      worker: Id of the worker, or name of the link, host or zone.
      born: Start of the worker's incarnation in milliseconds.
      task: Name of the task or id of the job.
      run: Number of the run.
      detail: How a run ended, the path and status of a call, a job's state, a
        worker's number of cores, its zone, or the seconds of a Retry-After.
      until: Time in seconds at which the lease of the run expired; 0 if it had
        not.
      is_late: Whether the start was sent to an earlier incarnation.
    """

    at: float
    kind: EventKind
    worker: str = ''
    born: int = 0
    task: str = ''
    run: int = 0
    detail: str = ''
    until: float = 0.0
    is_late: bool = False

    @property
    def job(self) -> str:
        """Id of the job of the task."""
        return self.task.partition('.')[0]


def encode_event(event: Event) -> str:
    """Returns the line of an event, without fields that are not set."""
    fields = unstructure(event)
    fields = {k: v for k, v in fields.items() if v or k == 'at'}
    return orjson.dumps(fields).decode()


class EventLog:
    """Appends events to a file, each with one system call.

    A process that is killed loses no line that it has written.
    """

    def __init__(self, path: pathlib.Path):
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)

    def write(self, event: Event) -> None:
        """Appends an event."""
        os.write(self._file, f'{encode_event(event)}\n'.encode())

    def close(self) -> None:
        """Closes the file."""
        os.close(self._file)


def read_events(paths: list[pathlib.Path]) -> list[Event]:
    """Returns the events of several files in the order of their times."""
    events = [
        decode(line, Event)
        for path in paths
        for line in path.read_bytes().splitlines()
    ]
    return sorted(events, key=lambda event: event.at)


def get_time() -> float:
    """Returns the time of CLOCK_MONOTONIC in seconds."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)
