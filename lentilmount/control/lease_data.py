"""Encodes the data in a lease row that an owner leaves for the next one."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import attrs

from lentilmount.scheduling.admission import (
    Estimates,
    QueueEstimate,
    WorkKind,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.takeover import (
    UnrecordedStarts,
    list_unreachable_lease_seconds,
)

HAS_UNRECORDED_STARTS = 'unwritten'
"""Key: whether tasks may run that are in no row."""

REMAINING = 'remaining'
"""Key: seconds left of leases on workers, by worker id."""

UNRECORDED_SECONDS = 'doubt'
"""Key: seconds for which tasks may still run that an earlier owner started and
that are in no row; left out where that time is not known."""

RECORDED_BY = 'told_by'
"""Key: epoch of the owner that wrote the seconds left of leases."""


WAITS = 'waits'
"""Key: estimates of the wait of new work, by queue and kind of work. A new
owner writes none at first."""


def has_unrecorded_starts(data: Mapping[str, Any]) -> bool:
    """Returns whether tasks may run that are in no row, from lease data."""
    return bool(data.get(HAS_UNRECORDED_STARTS))


def add_unrecorded_starts(data: Mapping[str, Any]) -> dict[str, Any]:
    """Returns lease data that tells that tasks may run that are in no row.

    For how long they may run is left out, as it is not known.
    """
    kept = {k: v for k, v in data.items() if k != UNRECORDED_SECONDS}
    return {**kept, HAS_UNRECORDED_STARTS: True}


@attrs.frozen
class LeaseData:
    """Data that an owner stores in its lease row.

    Attributes:
      has_unrecorded_starts: Whether tasks may run that are in no row.
      remaining: Seconds left of leases on workers, by worker id, counted from
        before the row was written. For other workers nothing is known.
      unrecorded_seconds: Seconds after which no such task runs any more,
        counted in the same way, or None where that is not known.
    """

    has_unrecorded_starts: bool = False
    remaining: Mapping[str, float] = attrs.Factory(dict)
    unrecorded_seconds: float | None = None

    def encode(self, epoch: int) -> dict[str, Any]:
        """Builds the data of a lease row.

        Args:
          epoch: Epoch of the owner that writes it.
        """
        data: dict[str, Any] = {}
        if self.has_unrecorded_starts:
            data[HAS_UNRECORDED_STARTS] = True
            if self.unrecorded_seconds is not None:
                data[UNRECORDED_SECONDS] = _round_up(self.unrecorded_seconds)
        if self.remaining:
            data[RECORDED_BY] = epoch
            data[REMAINING] = {
                worker: _round_up(seconds)
                for worker, seconds in self.remaining.items()
            }
        return data


def decode_lease_data(data: Mapping[str, Any], epoch: int) -> LeaseData:
    """Decodes the data of a lease row.

    Seconds left that were written in an earlier epoch are dropped: the owners
    since then, of an earlier version, have renewed leases without recording it.
    If the seconds were used, tasks would run twice.

    Args:
      data: Data of the lease row.
      epoch: Epoch in the same row.
    """
    is_current = data.get(RECORDED_BY) == epoch
    remaining = data[REMAINING] if is_current else {}
    return LeaseData(
        has_unrecorded_starts(data), remaining, data.get(UNRECORDED_SECONDS)
    )


def make_lease_data(
    cluster: ClusterState,
    unrecorded_starts: UnrecordedStarts | None,
    has_unrecorded_starts: bool,
    now: float,
) -> LeaseData:
    """Builds the data that an owner stores in its lease row with a write.

    Once the next owner has seen a write after an outage, it relies on the rows.
    If that write did not contain all jobs, or came from an owner that itself
    did not know of all starts, the next owner would start the missing tasks
    again, and they would run twice where their worker does not answer at once.

    Args:
      cluster: State of jobs, tasks and workers.
      unrecorded_starts: Starts by the previous owner that may be in no row.
      has_unrecorded_starts: Whether starts were sent that will be in no row
        after the write.
      now: Monotonic time in seconds.
    """
    unreachable = list_unreachable_lease_seconds(cluster, now)
    unrecorded_seconds = (
        unrecorded_starts.get_remaining_seconds(now)
        if unrecorded_starts is not None
        else None
    )
    if has_unrecorded_starts:
        return LeaseData(True, unreachable)
    return LeaseData(
        unrecorded_seconds is not None, unreachable, unrecorded_seconds
    )


def encode_estimates(estimates: Estimates) -> dict[str, Any]:
    """Encodes estimates as further data of a lease row."""
    if not estimates:
        return {}
    return {
        WAITS: {
            queue: {
                kind.value: [
                    round(estimate.wait_seconds, 2),
                    round(estimate.rate, 3),
                ]
                for kind, estimate in by_kind.items()
            }
            for queue, by_kind in estimates.items()
        }
    }


def decode_estimates(data: Mapping[str, Any]) -> Estimates:
    """Decodes the estimates in the data of a lease row.

    Kinds and figures that only later versions write are passed over.
    """
    return {
        queue: {
            kind: QueueEstimate(*by_kind[kind.value][:2])
            for kind in WorkKind
            if kind.value in by_kind
        }
        for queue, by_kind in data.get(WAITS, {}).items()
    }


def _round_up(seconds: float) -> float:
    return math.ceil(100 * seconds) / 100
