"""Chooses how long a poll of a worker waits, and the pause before it."""

from __future__ import annotations

from lentilmount.control.session_listener import SessionListener
from lentilmount.scheduling.model import Worker
from lentilmount.scheduling.poll_intervals import (
    DEFAULT_SECONDS,
    MIN_POLL_SECONDS,
)

FAST_POLL_SECONDS = 0.25
"""Longest time that a poll of a worker waits for a run to end if the worker
does not answer commands, as only its clock shows that a start has expired
there, or if its leases may soon be renewed again."""

UNRECORDED_ENDS_PAUSE_SECONDS = 0.25
"""Delay between polls while run ends can't be recorded, as each report lists
all of them again."""


def choose_ends_pause(listener: SessionListener) -> float:
    """Returns how long, in seconds, a poll waits for ends to be recorded.

    An owner that may not renew leases has lost the store while others may
    reach it, so it can't act on reports. With frequent polls, hundreds of
    workers reporting the same ends four times a second saturated a small
    network link: the owner's calls to the store failed, and it did not learn
    that it had been replaced even after the store was back.
    """
    if listener.may_renew():
        return UNRECORDED_ENDS_PAUSE_SECONDS
    return DEFAULT_SECONDS


def choose_poll_wait(
    worker: Worker, listener: SessionListener, pause: float
) -> float:
    """Returns how long, in seconds, a poll after a pause may wait.

    Args:
      worker: The worker that is polled.
      listener: Its owner.
      pause: Seconds since the last report in which it was not polled.
    """
    if worker.is_reported_unreachable or (
        worker.tasks and not worker.answers_commands
    ):
        return FAST_POLL_SECONDS
    seconds = listener.choose_poll_seconds(worker)
    return max(MIN_POLL_SECONDS, seconds - pause) if pause else seconds
