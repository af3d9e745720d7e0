"""Stores how long owners of a slice may renew task leases without the table.

An owner that is cut off from the table keeps renewing task leases for its
offline renewal time. The next owner must know the longest such time that may
still be running. So it is stored in the row of the slice's lease, in the same
write as the takeover: with a later write, an owner could renew leases for
longer than the next owner assumes.
"""

from __future__ import annotations

from typing import Any

PROMISE = 'promise'
INHERITED = 'inherited'
TASK_LEASE = 'task_lease'


def extend_offline_renewal(
    data: dict[str, Any], offline_renewal_seconds: float, lease_seconds: float
) -> dict[str, Any]:
    """Returns a lease's data with times at least as long as given.

    The time of previous owners is kept in `INHERITED`: the new owner waits
    that long for a worker that it cannot reach.

    Args:
      data: Current data of the lease.
      offline_renewal_seconds: Offline renewal time of the new owner.
      lease_seconds: Duration of its task leases.
    """
    inherited = float(data.get(PROMISE, 0.0))
    return {
        **data,
        INHERITED: inherited,
        PROMISE: max(inherited, offline_renewal_seconds),
        TASK_LEASE: max(float(data.get(TASK_LEASE, 0.0)), lease_seconds),
    }


def reset_offline_renewal(
    data: dict[str, Any], offline_renewal_seconds: float, lease_seconds: float
) -> None:
    """Resets the times, once those of previous owners have ended.

    Args:
      data: Data of the lease, which is changed.
      offline_renewal_seconds: Offline renewal time of the current owner.
      lease_seconds: Duration of its task leases.
    """
    data[INHERITED] = 0.0
    data[PROMISE] = offline_renewal_seconds
    data[TASK_LEASE] = lease_seconds


def withdraw_offline_renewal(data: dict[str, Any]) -> None:
    """Withdraws the current owner's time, once it renews no more leases."""
    data[PROMISE] = data.get(INHERITED, data.get(PROMISE, 0.0))
