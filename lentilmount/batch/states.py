"""State machine of a task, as a table of transitions."""

from __future__ import annotations

import enum

from lentilmount.events import EventKind
from lentilmount.resources import Phase


class Transition(enum.Enum):
    """Transitions of a task."""

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


TRANSITIONS: dict[tuple[Phase, Transition], Phase] = {
    (Phase.PENDING, Transition.PLACE): Phase.STARTING,
    (Phase.PENDING, Transition.REFUSE): Phase.REFUSED,
    (Phase.PENDING, Transition.CANCEL): Phase.CANCELLED,
    (Phase.STARTING, Transition.STARTED): Phase.RUNNING,
    (Phase.STARTING, Transition.FINISH): Phase.COMPLETED,
    (Phase.STARTING, Transition.FAIL): Phase.PENDING,
    (Phase.STARTING, Transition.GIVE_UP): Phase.FAILED,
    (Phase.STARTING, Transition.EVICT): Phase.EVICTING,
    (Phase.STARTING, Transition.LOST): Phase.PENDING,
    (Phase.STARTING, Transition.CANCEL): Phase.CANCELLING,
    (Phase.RUNNING, Transition.FINISH): Phase.COMPLETED,
    (Phase.RUNNING, Transition.FAIL): Phase.PENDING,
    (Phase.RUNNING, Transition.GIVE_UP): Phase.FAILED,
    (Phase.RUNNING, Transition.EVICT): Phase.EVICTING,
    (Phase.RUNNING, Transition.LOST): Phase.PENDING,
    (Phase.RUNNING, Transition.CANCEL): Phase.CANCELLING,
    # A task may finish or fail while it is being stopped. The worker's report
    # decides, so that finished work is never run again.
    (Phase.EVICTING, Transition.FINISH): Phase.COMPLETED,
    (Phase.EVICTING, Transition.FAIL): Phase.PENDING,
    (Phase.EVICTING, Transition.GIVE_UP): Phase.FAILED,
    (Phase.EVICTING, Transition.STOPPED): Phase.PENDING,
    (Phase.EVICTING, Transition.LOST): Phase.PENDING,
    (Phase.EVICTING, Transition.CANCEL): Phase.CANCELLING,
    (Phase.CANCELLING, Transition.FINISH): Phase.COMPLETED,
    (Phase.CANCELLING, Transition.FAIL): Phase.CANCELLED,
    (Phase.CANCELLING, Transition.GIVE_UP): Phase.CANCELLED,
    (Phase.CANCELLING, Transition.STOPPED): Phase.CANCELLED,
    (Phase.CANCELLING, Transition.LOST): Phase.CANCELLED,
    # Repeated requests change nothing.
    (Phase.EVICTING, Transition.EVICT): Phase.EVICTING,
    (Phase.CANCELLING, Transition.EVICT): Phase.CANCELLING,
    (Phase.CANCELLING, Transition.CANCEL): Phase.CANCELLING,
}

COMMITTED_PHASES = frozenset(
    {Phase.STARTING, Phase.RUNNING, Phase.EVICTING, Phase.CANCELLING}
)
"""Phases in which an attempt is committed on a worker."""

STOPPING = frozenset({Phase.EVICTING, Phase.CANCELLING})
"""Phases in which the worker is sent stop commands."""

EVENTS: dict[Transition, EventKind] = {
    Transition.PLACE: EventKind.PLACED,
    Transition.STARTED: EventKind.RUNNING,
    Transition.FINISH: EventKind.COMPLETED,
    Transition.FAIL: EventKind.FAILED,
    Transition.GIVE_UP: EventKind.FAILED,
    Transition.EVICT: EventKind.EVICTED,
    Transition.STOPPED: EventKind.STOPPED,
    Transition.LOST: EventKind.LOST,
    Transition.CANCEL: EventKind.CANCELLED,
    Transition.REFUSE: EventKind.REFUSED,
}


class TransitionError(Exception):
    """A transition that the task's phase does not allow."""


def next_phase(phase: Phase, transition: Transition) -> Phase:
    """Returns the phase after a transition.

    Raises:
      TransitionError: The phase does not allow the transition.
    """
    try:
        return TRANSITIONS[phase, transition]
    except KeyError:
        raise TransitionError(
            f'{phase.value} does not allow {transition.value}'
        ) from None
