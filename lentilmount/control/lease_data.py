"""What a service's lease tells the next owner beside who holds it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.takeover import (
    UnrecordedStarts,
    list_unreachable_lease_seconds,
)

UNWRITTEN = 'unwritten'
"""Where a lease's row tells that tasks may run of which no row tells."""

REMAINING = 'remaining'
"""Where it tells for how many seconds leases may still run on workers."""

DOUBT = 'doubt'
"""Where it tells for how many seconds tasks may still run that an owner before
the row's has started and no row tells of; left out where that is not known."""

TOLD_BY = 'told_by'
"""The epoch of the owner that told of leases on workers."""


def has_unrecorded_starts(data: Mapping[str, Any]) -> bool:
    """Tells from a lease's data whether tasks may run that no row tells of."""
    return bool(data.get(UNWRITTEN))


@attrs.frozen
class LeaseData:
    """What an owner tells with its lease.

    Attributes:
      has_unrecorded_starts: Whether tasks may run of which no row tells.
      remaining: Seconds for which leases may still run on workers, by id,
        counted from before the row was written. Of other workers nothing is
        known.
      unrecorded_seconds: Seconds after which no such task runs any more, or
        None where that is not known; counted in the same way.
    """

    has_unrecorded_starts: bool = False
    remaining: Mapping[str, float] = attrs.Factory(dict)
    unrecorded_seconds: float | None = None

    def encode(self, epoch: int) -> dict[str, Any]:
        """Builds a lease's data.

        Args:
          epoch: That of the owner that tells it.
        """
        data: dict[str, Any] = {}
        if self.has_unrecorded_starts:
            data[UNWRITTEN] = True
            if self.unrecorded_seconds is not None:
                data[DOUBT] = _round_up(self.unrecorded_seconds)
        if self.remaining:
            data[TOLD_BY] = epoch
            data[REMAINING] = {
                worker: _round_up(seconds)
                for worker, seconds in self.remaining.items()
            }
        return data


def decode(data: Mapping[str, Any], epoch: int) -> LeaseData:
    """Reads a lease's data.

    What another owner than the row's last one told of leases is dropped: an
    owner since then, of an earlier version, has renewed leases and told
    nothing. Believed, tasks would run twice.

    Args:
      data: The data.
      epoch: The epoch in the same row.
    """
    is_current = data.get(TOLD_BY) == epoch
    remaining = data[REMAINING] if is_current else {}
    return LeaseData(has_unrecorded_starts(data), remaining, data.get(DOUBT))


def describe(
    cluster: ClusterState,
    unrecorded_starts: UnrecordedStarts | None,
    has_unrecorded_starts: bool,
    now: float,
) -> LeaseData:
    """Builds what an owner tells with a write.

    The next owner takes rows for true once it has seen a write after an outage.
    One that did not hold all jobs, or came from an owner that is itself in
    doubt, would have it start the others again: twice, where their worker is
    not heard at once.

    Args:
      cluster: What the owner knows.
      unrecorded_starts: What the previous owner may have started unwritten.
      has_unrecorded_starts: Whether starts were sent that no row tells of
        after it.
      now: Monotonic time.
    """
    silent = list_unreachable_lease_seconds(cluster, now)
    unrecorded_seconds = (
        unrecorded_starts.get_remaining_seconds(now)
        if unrecorded_starts is not None
        else None
    )
    if has_unrecorded_starts:
        return LeaseData(True, silent)
    return LeaseData(unrecorded_seconds is not None, silent, unrecorded_seconds)


def _round_up(seconds: float) -> float:
    return math.ceil(100 * seconds) / 100
