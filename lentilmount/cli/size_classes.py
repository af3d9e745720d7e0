"""Sorts the jobs of each queue into classes by size.

A queue as a whole can look well served while its few large jobs are not, so the
largest jobs are told apart from the others.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lentilmount.cli.job_accounts import JobAccount

LARGEST, LARGE, REST = 'largest-tenth', 'next-fifth', 'rest'

LARGEST_SHARE = 0.1
"""Share of a queue's jobs in the class LARGEST."""

LARGE_SHARE = 0.3
"""Share of a queue's jobs in the classes LARGEST and LARGE."""


class SizeClasses:
    """Size classes of jobs within their queues.

    The size is the declared work. Where a queue declares none, or its lines are
    of daemons of earlier versions, it is the number of tasks that were started.

    Args:
      accounts: The jobs to be sorted.
    """

    def __init__(self, accounts: Iterable[JobAccount]):
        self._classes: dict[str, str] = {}
        by_queue: dict[str, list[JobAccount]] = collections.defaultdict(list)
        for account in accounts:
            if account.queue and account.accepted_at is not None:
                by_queue[account.queue].append(account)
        for queued in by_queue.values():
            self._sort(queued)

    def _sort(self, accounts: list[JobAccount]) -> None:
        sizes = {
            account.job: account.core_seconds
            for account in accounts
            if account.core_seconds
        }
        if not sizes:
            sizes = {a.job: a.task_count for a in accounts if a.runs}
        ranked = sorted(sizes, key=lambda job: (-sizes[job], job))
        for number, job in enumerate(ranked):
            self._classes[job] = _choose_class((number + 0.5) / len(ranked))

    def find(self, account: JobAccount) -> str:
        """Returns the size class of a job; '' if its size is not known."""
        return self._classes.get(account.job, '')


def _choose_class(share: float) -> str:
    """Returns the class of a job, by the share of jobs that are larger."""
    if share < LARGEST_SHARE:
        return LARGEST
    return LARGE if share < LARGE_SHARE else REST
