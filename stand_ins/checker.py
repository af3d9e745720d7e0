"""Holds what truly happened against what must always hold.

It reads the workers' records of runs, kept on one clock outside the system,
and the history of the table. It knows nothing of how the daemons work.
"""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import attrs

from stand_ins.worker import Run


@attrs.frozen
class Violation:
    """A promise that was broken."""

    promise: str
    detail: str


def find_overlaps(runs: Iterable[Run], now: float) -> list[Violation]:
    """Finds tasks that ran in two places at once."""
    by_task: dict[str, list[Run]] = collections.defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    violations = []
    for task, some in by_task.items():
        some.sort(key=lambda run: run.began)
        for earlier, later in zip(some, some[1:], strict=False):
            if (earlier.ended or now) > later.began:
                violations.append(
                    Violation(
                        'no task runs in two places at once',
                        f'{task}: {earlier} and {later}',
                    )
                )
    return violations


def find_overcommits(history: Iterable[dict[str, Any]]) -> list[Violation]:
    """Finds workers that were committed beyond what they have."""
    violations = []
    for write in history:
        body = write['body']
        if not write['partition'].startswith('worker/') or body is None:
            continue
        for what in ('cores', 'memory_mb', 'accelerators'):
            held = sum(d[what] for d in body['commitments'].values())
            if held > body['capacity'][what] + 1e-6:
                violations.append(
                    Violation(
                        'no host is committed beyond what it has',
                        f'{write["sort"]}: {held} {what}',
                    )
                )
    return violations


def count_completions(
    history: Iterable[dict[str, Any]],
) -> collections.Counter[str]:
    """Counts how often each job was committed as completed."""
    return collections.Counter(
        write['sort']
        for write in history
        if write['partition'].startswith('done/')
        and write['body'] is not None
        and write['body']['task']['phase'] == 'completed'
    )


def find_wrong_completions(
    history: Iterable[dict[str, Any]], jobs: Iterable[str]
) -> list[Violation]:
    """Finds jobs that completed more or less than once."""
    counts = count_completions(history)
    return [
        Violation(
            'every job completes exactly once',
            f'{job} completed {counts[job]} times',
        )
        for job in jobs
        if counts[job] != 1
    ]


def find_double_requests(
    served: Iterable[dict[str, int]], non_idempotent: Iterable[str]
) -> list[Violation]:
    """Finds non-idempotent requests that ran more than once."""
    total: collections.Counter[str] = collections.Counter()
    for counts in served:
        total.update(counts)
    return [
        Violation(
            'a non-idempotent request runs at most once',
            f'{request} ran {total[request]} times',
        )
        for request in non_idempotent
        if total[request] > 1
    ]
