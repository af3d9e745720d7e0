"""The life of a task, as one table of moves."""

from __future__ import annotations

import enum

from lentilmount.events import EventKind
from lentilmount.resources import Phase


class Move(enum.Enum):
    """What can happen to a task."""

    PLACE = 'place'
    STARTED = 'started'
    FINISH = 'finish'
    FAIL = 'fail'
    GIVE_UP = 'give-up'
    EVICT = 'evict'
    STOPPED = 'stopped'
    LOST = 'lost'
    CANCEL = 'cancel'
    REFUSE = 'refuse'


MOVES: dict[tuple[Phase, Move], Phase] = {
    (Phase.PENDING, Move.PLACE): Phase.STARTING,
    (Phase.PENDING, Move.REFUSE): Phase.REFUSED,
    (Phase.PENDING, Move.CANCEL): Phase.CANCELLED,
    (Phase.STARTING, Move.STARTED): Phase.RUNNING,
    (Phase.STARTING, Move.FINISH): Phase.COMPLETED,
    (Phase.STARTING, Move.FAIL): Phase.PENDING,
    (Phase.STARTING, Move.GIVE_UP): Phase.FAILED,
    (Phase.STARTING, Move.EVICT): Phase.EVICTING,
    (Phase.STARTING, Move.LOST): Phase.PENDING,
    (Phase.STARTING, Move.CANCEL): Phase.CANCELLING,
    (Phase.RUNNING, Move.FINISH): Phase.COMPLETED,
    (Phase.RUNNING, Move.FAIL): Phase.PENDING,
    (Phase.RUNNING, Move.GIVE_UP): Phase.FAILED,
    (Phase.RUNNING, Move.EVICT): Phase.EVICTING,
    (Phase.RUNNING, Move.LOST): Phase.PENDING,
    (Phase.RUNNING, Move.CANCEL): Phase.CANCELLING,
    # A task may finish or fail while it is being stopped: what the worker
    # says it did is what counts, so finished work is never run again.
    (Phase.EVICTING, Move.FINISH): Phase.COMPLETED,
    (Phase.EVICTING, Move.FAIL): Phase.PENDING,
    (Phase.EVICTING, Move.GIVE_UP): Phase.FAILED,
    (Phase.EVICTING, Move.STOPPED): Phase.PENDING,
    (Phase.EVICTING, Move.LOST): Phase.PENDING,
    (Phase.EVICTING, Move.CANCEL): Phase.CANCELLING,
    (Phase.CANCELLING, Move.FINISH): Phase.COMPLETED,
    (Phase.CANCELLING, Move.FAIL): Phase.CANCELLED,
    (Phase.CANCELLING, Move.GIVE_UP): Phase.CANCELLED,
    (Phase.CANCELLING, Move.STOPPED): Phase.CANCELLED,
    (Phase.CANCELLING, Move.LOST): Phase.CANCELLED,
    # Repeated wishes change nothing.
    (Phase.EVICTING, Move.EVICT): Phase.EVICTING,
    (Phase.CANCELLING, Move.EVICT): Phase.CANCELLING,
    (Phase.CANCELLING, Move.CANCEL): Phase.CANCELLING,
}

HOLDING = frozenset(
    {Phase.STARTING, Phase.RUNNING, Phase.EVICTING, Phase.CANCELLING}
)
"""Phases in which an attempt is committed on a worker."""

STOPPING = frozenset({Phase.EVICTING, Phase.CANCELLING})
"""Phases in which the worker is to be told to stop."""

EVENTS: dict[Move, EventKind] = {
    Move.PLACE: EventKind.PLACED,
    Move.STARTED: EventKind.RUNNING,
    Move.FINISH: EventKind.COMPLETED,
    Move.FAIL: EventKind.FAILED,
    Move.GIVE_UP: EventKind.FAILED,
    Move.EVICT: EventKind.EVICTED,
    Move.STOPPED: EventKind.STOPPED,
    Move.LOST: EventKind.LOST,
    Move.CANCEL: EventKind.CANCELLED,
    Move.REFUSE: EventKind.REFUSED,
}


class MoveError(Exception):
    """A move that the task's phase does not allow."""


def next_phase(phase: Phase, move: Move) -> Phase:
    """Looks a move up.

    Raises:
      MoveError: The phase does not allow the move.
    """
    try:
        return MOVES[phase, move]
    except KeyError:
        raise MoveError(f'{phase.value} does not allow {move.value}') from None
