"""Who is there: heartbeats straight between peers, judged by silence.

Each process has a name, an incarnation that is higher after each start, and
a beat that it raises with every heartbeat. News with a lower incarnation or
beat than what is known is old and ignored, so that a paused or replaced
process never speaks for its successor.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs


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
    """

    name: str
    zone: str
    address: str
    incarnation: int
    beat: int = 0
    stopping: bool = False

    @property
    def age(self) -> tuple[int, int]:
        """Orders what is known of one name by time."""
        return (self.incarnation, self.beat)


class Membership:
    """What this process knows of the others.

    Args:
      me: This process.
      silence: Seconds without news after which a member counts as down.
      monotonic: The clock for durations.
    """

    def __init__(
        self, me: Member, silence: float, monotonic: Callable[[], float]
    ):
        self.me = me
        self._silence = silence
        self._monotonic = monotonic
        self._members: dict[str, Member] = {}
        self._heard: dict[str, float] = {}

    def beat(self) -> Member:
        """Raises this process's own beat."""
        self.me = attrs.evolve(self.me, beat=self.me.beat + 1)
        return self.me

    def stop(self) -> None:
        """Marks this process as shutting down."""
        self.me = attrs.evolve(self.me, stopping=True)

    def observe(self, members: Iterable[Member]) -> None:
        """Takes in news from a peer or the table."""
        for member in members:
            if member.name == self.me.name:
                continue
            known = self._members.get(member.name)
            if known is not None and member.age <= known.age:
                continue
            self._members[member.name] = member
            self._heard[member.name] = self._monotonic()

    def discover(self, members: Iterable[Member]) -> None:
        """Takes in names from a list; it says nothing of who is up."""
        for member in members:
            known = self._members.get(member.name)
            newer = known is None or member.incarnation > known.incarnation
            if member.name != self.me.name and newer:
                self._members[member.name] = member
                self._heard.setdefault(member.name, float('-inf'))

    def list_known(self) -> list[Member]:
        """Returns every other member that was ever heard of."""
        return list(self._members.values())

    def is_up(self, name: str) -> bool:
        """Tells whether a member was heard of lately."""
        if name == self.me.name:
            return True
        heard = self._heard.get(name, float('-inf'))
        return self._monotonic() - heard <= self._silence

    def list_up(self, zone: str = '') -> list[Member]:
        """Returns members that are up and staying, this one included."""
        everybody = [self.me, *self._members.values()]
        return [
            member
            for member in everybody
            if self.is_up(member.name)
            and not member.stopping
            and (not zone or member.zone == zone)
        ]
