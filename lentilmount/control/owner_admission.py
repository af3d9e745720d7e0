"""Publishes the waiting times of an owner in the row of its lease."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs
import logbook

from lentilmount.control.estimate_data import encode_estimates
from lentilmount.control.metrics import ControlMetrics
from lentilmount.scheduling.admission import AdmissionGate, Estimates
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.waiting_times import WaitingTimes

log = logbook.Logger('owner')

LOG_SECONDS = 1.0
"""Minimum time between log lines of which queues wait."""


@attrs.define
class OwnerAdmission:
    """Estimates how long new work of one service waits, and publishes it.

    Attributes:
      service: Name of the service.
      waiting_times: Estimates the waits.
      gate: Judges the jobs that arrive at this daemon.
      metrics: Metrics of the daemon.
    """

    service: str
    waiting_times: WaitingTimes
    gate: AdmissionGate
    metrics: ControlMetrics
    _waits: dict[str, float] = attrs.Factory(dict)
    _logged: set[str] = attrs.Factory(set)
    _logged_at: float = 0.0

    def make_lease_data(self, now: float, may_place: bool) -> dict[str, Any]:
        """Returns the estimates as further data of the lease row.

        Args:
          now: Monotonic time.
          may_place: Whether the owner may place all tasks. If not, they wait
            although room is free.
        """
        if not may_place:
            self.waiting_times.restart()
        estimates = self.waiting_times.update(now)
        self.gate.observe_own(estimates, now)
        known = dict.fromkeys(self._waits, 0.0)
        self._waits = {**known, **_find_longest(estimates)}
        self._log_waits(now)
        return encode_estimates(estimates)

    def record_ends(
        self, ended: Iterable[tuple[Task, EndKind]], now: float
    ) -> None:
        """Records how long runs took."""
        for task, kind in ended:
            self.waiting_times.record_end(task, kind, now)

    def refresh_metrics(self) -> None:
        """Updates the gauge of the waits."""
        self.metrics.set_gauge(
            'lentilmount_admission_wait_seconds', self._waits, 'queue'
        )

    def _log_waits(self, now: float) -> None:
        """Logs when a queue begins to wait and when it does not any more."""
        waiting = {queue for queue, seconds in self._waits.items() if seconds}
        if waiting == self._logged or now - self._logged_at < LOG_SECONDS:
            return
        self._logged, self._logged_at = waiting, now
        log.info(
            'Queues with waiting work: {}.',
            ', '.join(sorted(waiting)) or 'none',
            extra={
                'service': self.service,
                'wait_seconds': {
                    queue: round(self._waits[queue], 2) for queue in waiting
                },
                'cores': {
                    kind.value: [round(cores) for cores in known]
                    for kind, known in self.waiting_times.cores.items()
                },
            },
        )


def _find_longest(estimates: Estimates) -> dict[str, float]:
    """Returns the longest wait of any kind of work, by queue."""
    return {
        queue: max(e.wait_seconds for e in by_kind.values())
        for queue, by_kind in estimates.items()
    }
