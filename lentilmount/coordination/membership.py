"""Who is there: beats of each process, judged by silence.

Each process has a name, an incarnation that is higher after each start, and
a beat that it raises with every heartbeat. News with a lower incarnation or
beat than what is known is old and ignored, so that a paused or replaced
process never speaks for its successor. A newer beat counts whichever path it
came by: a dead process makes no new ones, so two others that repeat its last
beat to each other cannot keep it up.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Callable, Iterable

import attrs
import xxhash

REMOTE_ZONE_FACTOR = 2.0
"""Factor on the silence for other zones, whose beats come by more hops."""

DIRECT_SILENCE_SHARE = 0.4
"""Share of the silence after which a member of the zone that is not heard
straight is asked of others: early enough for their answer to come in time."""

MAX_REMEMBERED = 4096
"""Most names of which the newest age is kept after they are forgotten."""


@attrs.frozen
class Member:
    """A process as it describes itself.

    Attributes:
      name: Its name, which a replacement keeps or not.
      zone: Its availability zone.
      address: IP number and port where peers reach it.
      incarnation: Higher after each start.
      beat: Raised with each heartbeat.
      stopping: Whether it is shutting down.
      eligible: Whether it may own leases: it reaches the table and was not
        paused lately.
    """

    name: str
    zone: str
    address: str
    incarnation: int
    beat: int = 0
    stopping: bool = False
    eligible: bool = True

    @property
    def age(self) -> tuple[int, int]:
        """Orders what is known of one name by time."""
        return (self.incarnation, self.beat)

    @property
    def id(self) -> int:
        """A number for this incarnation, the same in every process."""
        return _make_id(self.name, self.incarnation)


@functools.lru_cache(MAX_REMEMBERED)
def _make_id(name: str, incarnation: int) -> int:
    digest: int = xxhash.xxh64_intdigest(f'{name}/{incarnation}'.encode())
    return digest


@attrs.frozen
class MemberUpdate:
    """What changes of a member within one incarnation.

    Attributes:
      id: The member's id.
      beat: Its beat.
      stopping: See `Member`.
      eligible: See `Member`.
    """

    id: int
    beat: int
    stopping: bool = False
    eligible: bool = True


class Membership:
    """What this process knows of the others.

    A member is up here while its newer beats arrive, by any path. So with a
    one-way cut the two ends can differ: the one that is heard is up for the
    other and not the other way round. Nothing unsafe follows, as ownership
    is decided by leases; it only decides who tries first.

    Args:
      local_member: This process.
      silence: Seconds without news after which a member counts as down.
      monotonic: The clock for durations.
      forget: Seconds without news after which a member is forgotten.

    Attributes:
      local_member: This process as it describes itself.
      name_conflict: Newer news under this process's own name, or None.
    """

    def __init__(
        self,
        local_member: Member,
        timeout: float,
        monotonic: Callable[[], float],
        forget: float = 60.0,
    ):
        self.local_member = local_member
        self.name_conflict: Member | None = None
        self._timeout = timeout
        self._forget = forget
        self._monotonic = monotonic
        self._members: dict[str, Member] = {}
        self._names: dict[int, str] = {}
        self._heard_at: dict[str, float] = {}
        self._updated_at: dict[str, float] = {}
        self._heard_directly_at: dict[str, float] = {}
        self._source_zones: dict[str, str] = {}
        self._ages: collections.OrderedDict[str, tuple[int, int]] = (
            collections.OrderedDict()
        )

    def advance_beat(self) -> Member:
        """Raises this process's own beat."""
        self.local_member = attrs.evolve(
            self.local_member, beat=self.local_member.beat + 1
        )
        return self.local_member

    def stop(self) -> None:
        """Marks this process as shutting down."""
        self.local_member = attrs.evolve(self.local_member, stopping=True)

    def set_eligible(self, eligible: bool) -> None:
        """Marks whether this process may own leases."""
        self.local_member = attrs.evolve(self.local_member, eligible=eligible)

    def raise_incarnation_above(self, incarnation: int) -> None:
        """Raises this process's incarnation above that of a predecessor.

        A replacement whose clock is behind starts below the incarnation of
        the process that it replaces; its news would be taken for old.
        """
        if incarnation >= self.local_member.incarnation:
            self.local_member = attrs.evolve(
                self.local_member, incarnation=incarnation + 1
            )
        self.name_conflict = None

    def observe_direct(self, member: Member) -> None:
        """Takes in what a member says of itself, straight."""
        self.observe([member], member.zone)
        self._heard_directly_at[member.name] = self._monotonic()

    def observe(self, members: Iterable[Member], source_zone: str = '') -> None:
        """Takes in what is said of members.

        Args:
          members: The members.
          source_zone: Availability zone of who said it.
        """
        for member in members:
            if self._is_newer(member):
                self._set(member)
                self._source_zones[member.name] = source_zone
                self._mark_heard(member.name)

    def advance(
        self, beats: Iterable[MemberUpdate], source_zone: str = ''
    ) -> None:
        """Takes in newer beats of members that are known; see `observe`."""
        for beat in beats:
            known = self._members.get(self._names.get(beat.id, ''))
            if known is None or beat.beat <= known.beat:
                continue
            member = attrs.evolve(
                known,
                beat=beat.beat,
                stopping=beat.stopping,
                eligible=beat.eligible,
            )
            self.observe([member], source_zone)

    def add_listed(self, members: Iterable[Member]) -> None:
        """Takes in names from a list; it says nothing of who is up."""
        for member in members:
            known = self._ages.get(member.name, (-1, 0))
            forgotten = member.name not in self._members
            newer = member.incarnation > known[0]
            current = forgotten and member.incarnation == known[0]
            if member.name == self.local_member.name:
                self._check_name_conflict(member)
            elif newer or current:
                self._set(member)

    def _is_newer(self, member: Member) -> bool:
        if member.name == self.local_member.name:
            self._check_name_conflict(member)
            return False
        known = self._ages.get(member.name)
        return known is None or member.age > known

    def _check_name_conflict(self, member: Member) -> None:
        other = member.address != self.local_member.address
        if other and member.incarnation >= self.local_member.incarnation:
            self.name_conflict = member

    def _set(self, member: Member) -> None:
        old = self._members.get(member.name)
        if old is not None and old.id != member.id:
            del self._names[old.id]
            self._heard_at.pop(member.name, None)
        self._members[member.name] = member
        self._names[member.id] = member.name
        self._updated_at[member.name] = self._monotonic()
        known = self._ages.pop(member.name, (-1, 0))
        self._ages[member.name] = max(member.age, known)
        while len(self._ages) > MAX_REMEMBERED:
            self._ages.popitem(last=False)

    def _mark_heard(self, name: str) -> None:
        self._heard_at[name] = self._monotonic()
        address = self._members[name].address
        for other in self.list_known():
            taken = other.address == address and other.name != name
            if taken and not self.is_up(other.name):
                self._remove(other)

    def _remove(self, member: Member) -> None:
        del self._members[member.name]
        del self._names[member.id]
        for known in (
            self._heard_at,
            self._updated_at,
            self._heard_directly_at,
        ):
            known.pop(member.name, None)
        self._source_zones.pop(member.name, None)

    def forget(self) -> None:
        """Drops members of which nothing was heard for long."""
        horizon = self._monotonic() - self._forget
        for member in self.list_known():
            if self._updated_at[member.name] < horizon:
                self._remove(member)

    def compensate_pause(self, seconds: float) -> None:
        """Takes note that this process stood still.

        A process that stood still heard nobody. Without this it would take
        every other for down when it wakes, and itself for the only one.
        """
        now = self._monotonic()
        for times in (
            self._heard_at,
            self._updated_at,
            self._heard_directly_at,
        ):
            for name, heard in times.items():
                times[name] = min(now, heard + seconds)

    def list_known(self) -> list[Member]:
        """Returns every other member that is not forgotten."""
        return list(self._members.values())

    def is_up(self, name: str) -> bool:
        """Tells whether a member was heard of lately."""
        if name == self.local_member.name:
            return True
        heard = self._heard_at.get(name)
        if heard is None:
            return False
        near = self._members[name].zone == self.local_member.zone
        silence = self._timeout * (1.0 if near else REMOTE_ZONE_FACTOR)
        return self._monotonic() - heard <= silence

    def list_alive(self) -> list[Member]:
        """Returns the other members that are up, those that stop as well."""
        now, zone = self._monotonic(), self.local_member.zone
        near = now - self._timeout
        far = now - self._timeout * REMOTE_ZONE_FACTOR
        return [
            self._members[name]
            for name, heard in self._heard_at.items()
            if heard >= (near if self._members[name].zone == zone else far)
        ]

    def list_not_heard_directly(self) -> list[Member]:
        """Returns the members of this zone that are not heard straight."""
        horizon = self._monotonic() - self._timeout * DIRECT_SILENCE_SHARE
        return [
            member
            for name, member in self._members.items()
            if member.zone == self.local_member.zone
            and self._heard_directly_at.get(name, horizon - 1.0) < horizon
        ]

    def get_source_zone(self, name: str) -> str:
        """Returns the zone from which a member's newest beat came."""
        return self._source_zones.get(name, '')

    def list_active(self, zone: str = '') -> list[Member]:
        """Returns members that are up and staying, this one included."""
        return [
            member
            for member in (self.local_member, *self.list_alive())
            if not member.stopping and (not zone or member.zone == zone)
        ]

    def list_eligible(self, zone: str = '') -> list[Member]:
        """Returns the members of `list_active` that may own leases."""
        return [member for member in self.list_active(zone) if member.eligible]
