"""Starts copies of slow tasks, and stops the runs that are not needed."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook

from lentilmount.control.metrics import ControlMetrics
from lentilmount.scheduling.candidates import IsAllowed
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.copies import CopyOutcome
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.start_window import StartWindow
from lentilmount.scheduling.stragglers import CopyDecision, Stragglers

log = logbook.Logger('owner')


@attrs.define(eq=False)
class Copier:
    """Carries out what `Stragglers` decides.

    Attributes:
      cluster: Jobs, tasks and workers.
      stragglers: Decides on copies.
      health: Learns from the runs on slow workers.
      metrics: Metrics of the daemon.
      send_stop: Sends the stop of a run in phase STOPPING.
      stop: Stops a task for a given reason.
    """

    cluster: ClusterState
    stragglers: Stragglers
    health: WorkerHealth
    metrics: ControlMetrics
    send_stop: Callable[[Task], None]
    stop: Callable[[Task, str], None]

    def start(
        self, now: float, is_allowed: IsAllowed, window: StartWindow
    ) -> list[CopyDecision]:
        """Places copies if a review is due; their starts must be sent.

        Args:
          now: Monotonic time.
          is_allowed: Whether a task may run on a worker, by rules outside the
            cluster state.
          window: Bounds the starts under way; copies count as others do.
        """
        if window.is_binding or not self.stragglers.is_due(now):
            return []
        for task in self.stragglers.list_needless(now):
            self.metrics.count_copy('needless')
            self.stop(task, 'the task is as long on another worker')
        decisions = self.stragglers.choose(now, is_allowed)
        for decision in decisions:
            window.add(decision.slow.task)
            self.metrics.count_copy('started')
        return decisions

    def settle(self, now: float) -> None:
        """Stops the runs that lost against others, and logs who won."""
        for outcome in self.cluster.copies.take_outcomes():
            self.metrics.count_copy('first' if outcome.is_copy else 'second')
            _log_outcome(outcome)
            worker = self.cluster.workers.get(outcome.other.worker)
            if outcome.is_copy and worker is not None:
                self.health.record_beaten(worker, outcome.other, now)
        for run in self.cluster.copies.take_stops():
            self.send_stop(run)


def log_copy(decision: CopyDecision) -> None:
    """Logs a copy, after its start."""
    slow = decision.slow
    log.info(
        'Copied: the run on {} takes long.',
        decision.first_worker,
        extra={
            'task': str(slow.task.id),
            'run': slow.task.run,
            'worker': decision.worker.id,
            'first_worker': decision.first_worker,
            'seconds': round(slow.seconds, 3),
            'usual_seconds': round(slow.usual_seconds, 3),
        },
    )


def _log_outcome(outcome: CopyOutcome) -> None:
    log.info(
        'Copied: the {} was done before run {}.',
        'copy' if outcome.is_copy else 'first run',
        outcome.other.run,
        extra={
            'task': str(outcome.other.id),
            'run': outcome.run,
            'worker': outcome.worker,
        },
    )
