"""Whether a worker answers commands, as its session has seen it."""

from __future__ import annotations

import math

import logbook

from lentilmount.platform.workers import CallStatus
from lentilmount.scheduling.model import Worker

log = logbook.Logger('links')


def record_command(worker: Worker, status: CallStatus) -> None:
    """Records whether the worker answered a command."""
    if status is CallStatus.REFUSED:
        return
    is_answered = status is not CallStatus.UNKNOWN
    if is_answered and not worker.answers_commands:
        log.info('Takes commands again.', extra={'worker': worker.id})
    elif worker.answers_commands and not is_answered:
        log.warning('Answers no commands.', extra={'worker': worker.id})
    worker.answers_commands = is_answered


def record_stop(worker: Worker, is_accepted: bool, sent_at: float) -> None:
    """Records whether the worker accepted a stop command.

    Args:
      worker: The worker.
      is_accepted: Whether it did.
      sent_at: Monotonic time in seconds at which the stop was sent.
    """
    if is_accepted:
        worker.stop_unanswered_since = math.inf
    else:
        since = min(worker.stop_unanswered_since, sent_at)
        worker.stop_unanswered_since = since


def reset_command_state(worker: Worker) -> None:
    """Resets the command state after the worker was unreachable."""
    worker.answers_commands = worker.renews_leases = True
    worker.stop_unanswered_since = math.inf
