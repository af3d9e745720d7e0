"""How long tasks may run on under leases that former owners still renew.

An owner that is cut off from the table goes on renewing until its promise
ends. Whoever takes its slice over has to know the longest promise that may
still be kept, which stands in the lease's row from the takeover's own write
on: written any later, an owner could make a promise that nobody knows of.
"""

from __future__ import annotations

from typing import Any

PROMISE = 'promise'
INHERITED = 'inherited'
TASK_LEASE = 'task_lease'


def extend_offline_renewal(
    data: dict[str, Any], offline_renewal_seconds: float, lease_seconds: float
) -> dict[str, Any]:
    """Returns a lease's data with promises at least as long as given.

    What former owners promised stays in `INHERITED`: it is how long the new
    one waits for a worker that it cannot reach.
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
    """Sets the promises to these, once no longer one can be kept."""
    data[INHERITED] = 0.0
    data[PROMISE] = offline_renewal_seconds
    data[TASK_LEASE] = lease_seconds


def withdraw_offline_renewal(data: dict[str, Any]) -> None:
    """Takes back an owner's own promise, once it renews nothing any more."""
    data[PROMISE] = data.get(INHERITED, data.get(PROMISE, 0.0))
