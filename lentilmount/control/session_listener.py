"""Callbacks from the sessions of workers to their owner."""

from __future__ import annotations

from typing import Protocol

from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import StaleRun


class SessionListener(Protocol):
    """Callbacks from the session of a worker to its owner."""

    def handle_lease_lost(self, reason: str) -> None:
        """Called when a worker has seen a higher fencing token."""

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult
    ) -> None:
        """Called after each report of the worker was reconciled."""

    def handle_tasks_ended(
        self, worker: Worker, tasks: list[Task], why: str
    ) -> None:
        """Called when all tasks on a worker have ended."""

    def handle_crash(self, worker: Worker, suspects: list[Task]) -> None:
        """Called when a worker has certainly crashed.

        Args:
          worker: The worker.
          suspects: Tasks that may have crashed it.
        """

    def handle_late_starts(
        self, worker: Worker, late_starts: list[StaleRun]
    ) -> None:
        """Called when a restarted worker may still execute earlier starts."""

    def may_renew(self) -> bool:
        """Returns whether workers' leases may still be renewed."""

    def choose_poll_seconds(self, worker: Worker) -> float:
        """Returns how long a poll of a worker may wait for a run to end."""
