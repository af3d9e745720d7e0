"""Settings of an owner, which each daemon knows before it owns a service."""

from __future__ import annotations

import math

import attrs

from lentilmount.policies import Policies

RENEW_WITHOUT_STORE_SECONDS = 3.0
"""Time after the last lease write during which worker leases are still renewed,
unless the store is unavailable to all daemons. An owner that alone cannot reach
the store is replaced after 2 s, and its successor waits until the leases on
workers that it cannot reach have expired: each second added here is added to
that wait."""


@attrs.frozen
class OwnerSettings:
    """Settings of the owner of one service.

    Attributes:
      service: Name of the service, which has its own pool of workers.
      lease_seconds: Longest lease that a worker grants.
      status_seconds: How long the state of a finished job is kept.
      link_bytes_per_second: Rate of the host's network link.
      capacity_seconds: Time after which a worker's capacity that has shrunk
        binds.
      cordon_seconds: Time after which the cordon of a zone binds.
      policies: Optional policies.
    """

    service: str
    lease_seconds: float
    status_seconds: float
    link_bytes_per_second: float = math.inf
    capacity_seconds: float = math.inf
    cordon_seconds: float = math.inf
    policies: Policies = attrs.Factory(Policies)
