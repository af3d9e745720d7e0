"""Selects hosts to own a service: the larger ones, where sizes differ.

Load pattern: one owner calls every worker of its service. With 245 workers that
took up to 1.5 cores and more than 5 Mbit/s, so a host with part of a core and a
slow link is saturated and sends every command seconds late, while larger hosts
are idle.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from lentilmount.platform.host_settings import Capacity

LINK_PER_CORE = 10.0
"""Link capacity in Mbit/s that an owner needs per core: one with 245 workers
sent 10 to 14 Mbit/s with 1.0 to 1.4 cores in its busiest seconds."""

STANDBYS = 3
"""Number of hosts that watch an owner, to take over when its process ends."""

LARGER_FACTOR = 1.5
"""Sizes that differ by less count as equal. A takeover costs about a second of
starts, which a slightly larger host would not make up for."""


def measure_size(capacity: Capacity) -> float:
    """Returns the size of a host for the work of an owner, in cores."""
    return min(capacity.cores, capacity.link_mbps / LINK_PER_CORE)


def make_announcement(
    address: str, zone: str, capacity: Capacity
) -> dict[str, Any]:
    """Returns the row by which a daemon announces itself to the others."""
    return {
        'address': address,
        'zone': zone,
        'cores': capacity.cores,
        'link_mbps': capacity.link_mbps,
    }


def read_capacities(rows: Iterable[Mapping[str, Any]]) -> dict[str, Capacity]:
    """Returns the capacities in the daemons' rows, by internal address."""
    return {
        row['address']: Capacity(row['cores'], row['link_mbps'])
        for row in rows
        # A daemon of an earlier version does not announce its capacity.
        if 'cores' in row and 'link_mbps' in row
    }


def _rank(owner: str, host: str) -> tuple[int, str]:
    return zlib.crc32(f'{owner} {host}'.encode()), host


@attrs.define
class Candidates:
    """The daemons known to this one that may own a service.

    Attributes:
      own: Capacity of this host.
      is_complete: Whether all running daemons have had time to announce
        themselves.
      host: Name of this host.
    """

    own: Capacity
    is_complete: bool = False
    host: str = ''
    _others: dict[str, Capacity] = attrs.Factory(dict)
    _addresses: dict[str, str] = attrs.Factory(dict)

    def update(
        self,
        others: Mapping[str, Capacity],
        is_complete: bool,
        addresses: Mapping[str, str] | None = None,
    ) -> None:
        """Replaces the capacities that other daemons have announced.

        Args:
          others: Capacities by internal address.
          is_complete: Whether all running daemons have had time to announce
            themselves.
          addresses: Their internal addresses by name of the host.
        """
        self._others = dict(others)
        self._addresses = dict(addresses or {})
        self.is_complete = self.is_complete or is_complete

    def list_larger(self) -> list[str]:
        """Lists the addresses of much larger hosts, the largest first."""
        min_size = LARGER_FACTOR * measure_size(self.own)
        sizes = {
            address: measure_size(capacity)
            for address, capacity in self._others.items()
        }
        larger = [
            address for address, size in sizes.items() if size >= min_size
        ]
        return sorted(larger, key=lambda address: -sizes[address])

    def list_largest(self) -> list[str]:
        """Lists the addresses of the other hosts, the largest first.

        Hosts of one size come in another order on each host, so that owners of
        several services use different ones.
        """
        return sorted(
            self._others,
            key=lambda address: (
                -measure_size(self._others[address]),
                _rank(self.host, address),
            ),
        )

    def find_address(self, host: str) -> str:
        """Returns the internal address of another host, or ''."""
        return self._addresses.get(host, '')

    def is_standby(self, owner: str) -> bool:
        """Returns whether this host is to take over when an owner ends.

        A few of the largest hosts are, chosen by a hash of both names so that
        all hosts agree without asking each other.

        Args:
          owner: Name of the owner's host.
        """
        if self.may_have_larger or self.host == owner:
            return False
        min_size = measure_size(self.own) / LARGER_FACTOR
        rivals = [
            host
            for host, address in self._addresses.items()
            if host != owner
            and address in self._others
            and measure_size(self._others[address]) > min_size
        ]
        own_rank = _rank(owner, self.host)
        earlier = sum(_rank(owner, host) < own_rank for host in rivals)
        return earlier < STANDBYS

    @property
    def may_have_larger(self) -> bool:
        """Whether a much larger host is known or may not be announced yet."""
        return not self.is_complete or bool(self.list_larger())
