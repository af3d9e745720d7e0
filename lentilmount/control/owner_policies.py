"""The optional policies of operators at work in an owner."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from lentilmount.control.copier import Copier
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner_admission import OwnerAdmission
from lentilmount.control.owner_settings import OwnerSettings
from lentilmount.control.task_control import TaskController
from lentilmount.scheduling.admission import AdmissionGate
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.stragglers import Stragglers
from lentilmount.scheduling.takeover import UnrecordedStarts
from lentilmount.scheduling.waiting_times import WaitingTimes


@attrs.define(eq=False)
class OwnerPolicies:
    """What the policies of an owner's settings add to its work.

    Attributes:
      copier: Starts copies of slow tasks; None if there are to be none.
      admission: Publishes how long new work waits; None if all jobs are
        accepted.
    """

    copier: Copier | None
    admission: OwnerAdmission | None

    def handle_poll_result(self, result: ReconcileResult, now: float) -> None:
        """Handles the changes that a poll of a worker found."""
        self.settle_copies(now)
        if self.admission is not None:
            self.admission.record_ends(result.ended, now)

    def settle_copies(self, now: float) -> None:
        """Stops the runs that lost against others."""
        if self.copier is not None:
            self.copier.settle(now)

    def make_lease_data(
        self, unrecorded: UnrecordedStarts | None, now: float
    ) -> dict[str, Any]:
        """Returns further data of the lease row.

        Args:
          unrecorded: Starts by the previous owner that may be in no row; None
            while that is not known.
          now: Monotonic time.
        """
        if self.admission is None:
            return {}
        may_place = unrecorded is not None and not unrecorded.may_exist(now)
        return self.admission.make_lease_data(now, may_place)

    def refresh_metrics(self) -> None:
        """Updates the gauges."""
        if self.admission is not None:
            self.admission.refresh_metrics()


def apply_policies(
    settings: OwnerSettings,
    cluster: ClusterState,
    interference_model: InterferenceModel,
    task_controller: TaskController,
    send_stop: Callable[[Task], None],
    gate: AdmissionGate | None,
    metrics: ControlMetrics,
) -> OwnerPolicies:
    """Turns the policies of an owner's settings on.

    Args:
      settings: Settings of the owner.
      cluster: Its jobs, tasks and workers, before any job is loaded.
      interference_model: Learned interference between images.
      task_controller: Stops tasks, and knows the health of workers.
      send_stop: Sends the stop of a run.
      gate: Judges the jobs that arrive at this daemon, or None if all jobs are
        accepted.
      metrics: Metrics of the daemon.
    """
    policies = settings.policies
    if policies.durations is not None:
        cluster.durations.max_ratio = policies.durations.max_ratio
    copier = None
    if policies.copies is not None:
        cluster.copies.is_enabled = True
        copier = Copier(
            cluster,
            Stragglers(policies.copies, cluster, interference_model),
            task_controller.health,
            metrics,
            send_stop,
            task_controller.stop,
        )
    admission = None
    if gate is not None:
        admission = OwnerAdmission(
            settings.service,
            WaitingTimes(cluster, gate.policy),
            gate,
            metrics,
        )
    return OwnerPolicies(copier, admission)
