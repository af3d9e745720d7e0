"""Which daemon should own a slice, and when an owner hands it over.

The lease alone keeps two daemons from owning a slice. This decides only who
tries to take it, and in which order, so that the slices of a zone are spread
evenly over its daemons and stay where they are while nothing changes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs

from lentilmount.coordination.membership import Member, Membership
from lentilmount.slices import assign_evenly, get_zone, rank_by_hash


@attrs.frozen
class OwnershipOptions:
    """When slices change hands.

    Attributes:
      slices: Every slice.
      settle_seconds: For how long another daemon has to be preferred before
        the owner hands a slice over to it.
      patience_seconds: For how long a slice has to be free, times the rank
        of this daemon, before it tries to take it.
    """

    slices: tuple[str, ...]
    settle_seconds: float = 4.0
    patience_seconds: float = 3.0


class OwnershipPolicy:
    """Tells who should own slices, as this daemon sees it.

    Args:
      membership: Who is there.
      options: When slices change hands.
      monotonic: The clock for durations.
    """

    def __init__(
        self,
        membership: Membership,
        options: OwnershipOptions,
        monotonic: Callable[[], float],
    ):
        self._membership = membership
        self._options = options
        self._monotonic = monotonic
        self._other_since: dict[str, tuple[str, float]] = {}
        self._free_since: dict[str, float] = {}

    def list_candidates(self, slice_name: str) -> list[str]:
        """Returns the names of daemons that may own a slice, best first."""
        zone = get_zone(slice_name)
        members = self._choose_members(zone)
        names = [member.name for member in members]
        slices = [s for s in self._options.slices if get_zone(s) == zone]
        ranked = rank_by_hash(slice_name, names)
        first = assign_evenly(slices, names).get(slice_name)
        return sorted(ranked, key=lambda name: name != first)

    def _choose_members(self, zone: str) -> Sequence[Member]:
        # A zone without daemons of its own is looked after by all others.
        membership = self._membership
        return (
            membership.list_eligible(zone)
            or membership.list_eligible()
            or membership.list_active(zone)
        )

    def is_preferred(self, slice_name: str) -> bool:
        """Tells whether this daemon should own a slice."""
        candidates = self.list_candidates(slice_name)
        return candidates[:1] == [self._membership.local_member.name]

    def is_candidate(self, slice_name: str) -> bool:
        """Tells whether this daemon may own a slice at all."""
        name = self._membership.local_member.name
        return name in self.list_candidates(slice_name)

    def should_acquire(self, slice_name: str) -> bool:
        """Tells whether this daemon should try to take a slice now.

        The first candidate always does. The others follow one after the
        other while the slice stays free: daemons may see each other
        differently, and each could wait for one that waits for it.

        Call it each time that nobody was seen to renew the slice's lease.
        """
        candidates = self.list_candidates(slice_name)
        name = self._membership.local_member.name
        if name not in candidates:
            self._free_since.pop(slice_name, None)
            return False
        now = self._monotonic()
        since = self._free_since.setdefault(slice_name, now)
        rank = candidates.index(name)
        return now - since >= rank * self._options.patience_seconds

    def record_held(self, slice_name: str) -> None:
        """Takes note that a slice is held by somebody."""
        self._free_since.pop(slice_name, None)

    def should_hand_over(self, slice_name: str) -> bool:
        """Tells the owner whether another daemon should have its slice.

        The other has to be preferred, up and eligible for a while, so that
        a daemon that comes and goes does not pull slices to and fro.
        """
        first = (self.list_candidates(slice_name) or [''])[0]
        if first in ('', self._membership.local_member.name):
            self._other_since.pop(slice_name, None)
            return False
        now = self._monotonic()
        other, since = self._other_since.get(slice_name, ('', now))
        if other != first:
            self._other_since[slice_name] = (first, now)
            return False
        if now - since < self._options.settle_seconds:
            return False
        del self._other_since[slice_name]
        return True
