"""Decides which daemon should own a slice, and when an owner hands it over.

Only the lease prevents two daemons from owning a slice. This module decides
which daemons try to acquire it and in which order, so that the slices of a
zone are spread evenly over its daemons and change owners rarely.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

import attrs

from lentilmount.coordination.membership import Member, Membership
from lentilmount.slices import assign_evenly, get_zone, rank_by_hash


@attrs.frozen
class OwnershipOptions:
    """Options for the change of slice owners.

    Attributes:
      slices: Names of all slices.
      settle_seconds: Time that another daemon must be preferred before the
        owner hands a slice over to it.
      takeover_delay_seconds: Time that a slice must be free, per rank of this
        daemon, before it tries to acquire the slice.
    """

    slices: tuple[str, ...]
    settle_seconds: float = 4.0
    takeover_delay_seconds: float = 3.0


class OwnershipPolicy:
    """Ranks the candidates for owning each slice, from this daemon's view.

    Args:
      membership: The members that this daemon knows.
      options: Options for the change of owners.
      monotonic: Clock for durations.
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
        self._preferred_since: dict[str, tuple[str, float]] = {}
        self._free_since: dict[str, float] = {}

    def list_candidates(self, slice_name: str) -> list[str]:
        """Returns the daemons that may own a slice, most preferred first."""
        zone = get_zone(slice_name)
        members = self._choose_members(zone)
        names = [member.name for member in members]
        slices = [s for s in self._options.slices if get_zone(s) == zone]
        ranked = rank_by_hash(slice_name, names)
        preferred = assign_evenly(slices, names).get(slice_name)
        return sorted(ranked, key=lambda name: name != preferred)

    def _choose_members(self, zone: str) -> Sequence[Member]:
        # Without an eligible daemon in the zone, other zones take over.
        membership = self._membership
        return (
            membership.list_eligible(zone)
            or membership.list_eligible()
            or membership.list_active(zone)
        )

    def is_preferred(self, slice_name: str) -> bool:
        """Returns whether this daemon is the preferred owner of a slice."""
        candidates = self.list_candidates(slice_name)
        return candidates[:1] == [self._membership.local_member.name]

    def is_candidate(self, slice_name: str) -> bool:
        """Returns whether this daemon may own a slice."""
        name = self._membership.local_member.name
        return name in self.list_candidates(slice_name)

    def should_acquire(self, slice_name: str) -> bool:
        """Returns whether this daemon should try to acquire a slice now.

        The preferred owner always tries. The other candidates follow one by
        one while the slice stays free: since daemons may have different
        views of the membership, they could otherwise wait for each other
        forever.

        Call it whenever the slice's lease was not renewed since the last call.
        """
        candidates = self.list_candidates(slice_name)
        name = self._membership.local_member.name
        if name not in candidates:
            self._free_since.pop(slice_name, None)
            return False
        now = self._monotonic()
        since = self._free_since.setdefault(slice_name, now)
        rank = candidates.index(name)
        return now - since >= rank * self._options.takeover_delay_seconds

    def record_held(self, slice_name: str) -> None:
        """Records that another daemon holds a slice."""
        self._free_since.pop(slice_name, None)

    def should_hand_over(self, slice_name: str) -> bool:
        """Returns whether the owner should hand its slice over.

        Another daemon must be preferred, up and eligible for some time, so
        that a daemon that restarts repeatedly does not cause repeated moves.
        """
        preferred = (self.list_candidates(slice_name) or [''])[0]
        if preferred in ('', self._membership.local_member.name):
            self._preferred_since.pop(slice_name, None)
            return False
        now = self._monotonic()
        other, since = self._preferred_since.get(slice_name, ('', now))
        if other != preferred:
            self._preferred_since[slice_name] = (preferred, now)
            return False
        if now - since < self._options.settle_seconds:
            return False
        del self._preferred_since[slice_name]
        return True
