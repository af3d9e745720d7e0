"""Membership: detects failed processes by missing heartbeats.

Each process has a name, an incarnation that is higher after each start, and
a beat that increases with every heartbeat. An update with a lower incarnation
or beat than the known one is outdated and ignored, so that a paused or
replaced process cannot override its successor. A newer beat counts on
whichever path it arrives: a failed process makes no new beats, so two others
that forward its last beat to each other do not keep it up.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Callable, Iterable

import attrs
import xxhash

REMOTE_ZONE_FACTOR = 2.0
"""Factor on the timeout for other zones, whose beats take more hops."""

DIRECT_SILENCE_SHARE = 0.4
"""Share of the timeout after which, without a direct heartbeat, other members
are asked about a member of the zone: early enough for their answer to arrive
within the timeout."""

MAX_REMEMBERED = 4096
"""Maximum names whose newest age is kept, including forgotten members."""


@attrs.frozen
class Member:
    """Description of a process, as published by itself.

    Attributes:
      name: Name of the process; a replacement may keep it.
      zone: Availability zone of the process.
      address: IP address and port where peers reach it.
      incarnation: Higher after each start.
      beat: Increases with each heartbeat.
      stopping: Whether the process is shutting down.
      eligible: Whether it may own leases: it reaches the table and was not
        paused recently.
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
        """Sort key that orders the updates of one name by time."""
        return (self.incarnation, self.beat)

    @property
    def id(self) -> int:
        """Numeric id of this incarnation, the same in every process."""
        return _make_id(self.name, self.incarnation)


@functools.lru_cache(MAX_REMEMBERED)
def _make_id(name: str, incarnation: int) -> int:
    digest: int = xxhash.xxh64_intdigest(f'{name}/{incarnation}'.encode())
    return digest


@attrs.frozen
class MemberUpdate:
    """Fields of a member that change within one incarnation.

    Attributes:
      id: Id of the member.
      beat: See `Member`.
      stopping: See `Member`.
      eligible: See `Member`.
    """

    id: int
    beat: int
    stopping: bool = False
    eligible: bool = True


class Membership:
    """Membership as seen by this process.

    A member is up while newer beats of it arrive, on any path. If messages
    are lost in one direction only, the two ends can differ: the member whose
    beats arrive is up for the other one, but not vice versa. This is safe,
    as leases decide ownership; membership only decides who tries first.

    Args:
      local_member: Description of this process.
      timeout: Seconds without a newer beat after which a member is down.
      monotonic: Returns the monotonic time in seconds.
      forget: Seconds without an update after which a member is forgotten.

    Attributes:
      local_member: Description of this process.
      name_conflict: Another process with this process's name and an
        incarnation at least as high, or None.
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
        """Increments the beat of this process and returns its description."""
        self.local_member = attrs.evolve(
            self.local_member, beat=self.local_member.beat + 1
        )
        return self.local_member

    def stop(self) -> None:
        """Marks this process as shutting down."""
        self.local_member = attrs.evolve(self.local_member, stopping=True)

    def set_eligible(self, eligible: bool) -> None:
        """Sets whether this process may own leases."""
        self.local_member = attrs.evolve(self.local_member, eligible=eligible)

    def raise_incarnation_above(self, incarnation: int) -> None:
        """Raises the incarnation of this process above that of a predecessor.

        A replacement whose clock is behind starts with a lower incarnation
        than the process that it replaces; its updates would be ignored.
        """
        if incarnation >= self.local_member.incarnation:
            self.local_member = attrs.evolve(
                self.local_member, incarnation=incarnation + 1
            )
        self.name_conflict = None

    def observe_direct(self, member: Member) -> None:
        """Records a heartbeat that came directly from the member."""
        self.observe([member], member.zone)
        self._heard_directly_at[member.name] = self._monotonic()

    def observe(self, members: Iterable[Member], source_zone: str = '') -> None:
        """Records updates of members.

        Args:
          members: Descriptions of members; outdated ones are ignored.
          source_zone: Availability zone of the sender.
        """
        for member in members:
            if self._is_newer(member):
                self._set(member)
                self._source_zones[member.name] = source_zone
                self._mark_heard(member.name)

    def advance(
        self, updates: Iterable[MemberUpdate], source_zone: str = ''
    ) -> None:
        """Records newer beats of known members; see `observe`."""
        for update in updates:
            known = self._members.get(self._names.get(update.id, ''))
            if known is None or update.beat <= known.beat:
                continue
            member = attrs.evolve(
                known,
                beat=update.beat,
                stopping=update.stopping,
                eligible=update.eligible,
            )
            self.observe([member], source_zone)

    def add_listed(self, members: Iterable[Member]) -> None:
        """Adds members of a stored list, which does not say who is up."""
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
        is_other = member.address != self.local_member.address
        if is_other and member.incarnation >= self.local_member.incarnation:
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
            is_same_address = other.address == address and other.name != name
            if is_same_address and not self.is_up(other.name):
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
        """Removes members without an update for a long time."""
        horizon = self._monotonic() - self._forget
        for member in self.list_known():
            if self._updated_at[member.name] < horizon:
                self._remove(member)

    def compensate_pause(self, seconds: float) -> None:
        """Excludes a pause of this process from the times of heartbeats.

        A paused process receives no heartbeats. Without this it would consider
        all other members down when it resumes.

        Args:
          seconds: Duration of the pause.
        """
        now = self._monotonic()
        for times in (
            self._heard_at,
            self._updated_at,
            self._heard_directly_at,
        ):
            for name, at in times.items():
                times[name] = min(now, at + seconds)

    def list_known(self) -> list[Member]:
        """Returns all other members that are not forgotten."""
        return list(self._members.values())

    def is_up(self, name: str) -> bool:
        """Returns whether a newer beat of a member arrived recently."""
        if name == self.local_member.name:
            return True
        heard_at = self._heard_at.get(name)
        if heard_at is None:
            return False
        is_local = self._members[name].zone == self.local_member.zone
        timeout = self._timeout * (1.0 if is_local else REMOTE_ZONE_FACTOR)
        return self._monotonic() - heard_at <= timeout

    def list_alive(self) -> list[Member]:
        """Returns the other members that are up, including stopping ones."""
        now, zone = self._monotonic(), self.local_member.zone
        local_horizon = now - self._timeout
        remote_horizon = now - self._timeout * REMOTE_ZONE_FACTOR
        return [
            self._members[name]
            for name, heard_at in self._heard_at.items()
            if heard_at
            >= (
                local_horizon
                if self._members[name].zone == zone
                else remote_horizon
            )
        ]

    def list_not_heard_directly(self) -> list[Member]:
        """Returns the members of this zone without recent direct heartbeats."""
        horizon = self._monotonic() - self._timeout * DIRECT_SILENCE_SHARE
        return [
            member
            for name, member in self._members.items()
            if member.zone == self.local_member.zone
            and self._heard_directly_at.get(name, horizon - 1.0) < horizon
        ]

    def get_source_zone(self, name: str) -> str:
        """Returns the zone from which a member's newest beat was received."""
        return self._source_zones.get(name, '')

    def list_active(self, zone: str = '') -> list[Member]:
        """Returns members that are up and not stopping, including this one."""
        return [
            member
            for member in (self.local_member, *self.list_alive())
            if not member.stopping and (not zone or member.zone == zone)
        ]

    def list_eligible(self, zone: str = '') -> list[Member]:
        """Returns the members of `list_active` that may own leases."""
        return [member for member in self.list_active(zone) if member.eligible]
