"""What a service's lease tells the next owner beside who holds it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import attrs

UNWRITTEN = 'unwritten'
"""Where a lease's row tells that tasks may run of which no row tells."""

REMAINING = 'remaining'
"""Where it tells for how many seconds leases may still run on workers."""

TOLD_BY = 'told_by'
"""The epoch of the owner that told of leases on workers."""


def is_unwritten(data: Mapping[str, Any]) -> bool:
    """Tells from a lease's data whether tasks may run that no row tells of."""
    return bool(data.get(UNWRITTEN))


@attrs.frozen
class LeaseData:
    """What an owner tells with its lease.

    Attributes:
      is_unwritten: Whether tasks may run of which no row tells.
      remaining: Seconds for which leases may still run on workers, by id,
        counted from before the row was written. Of other workers nothing is
        known.
    """

    is_unwritten: bool = False
    remaining: Mapping[str, float] = attrs.Factory(dict)

    def encode(self, epoch: int) -> dict[str, Any]:
        """Builds a lease's data.

        Args:
          epoch: That of the owner that tells it.
        """
        data: dict[str, Any] = {}
        if self.is_unwritten:
            data[UNWRITTEN] = True
        if self.remaining:
            data[TOLD_BY] = epoch
            data[REMAINING] = {
                worker: math.ceil(100 * seconds) / 100
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
    return LeaseData(is_unwritten(data), remaining)
