"""Heartbeats as messages, and one stream of them between two daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs

from lentilmount.clock import HybridClock, Stamp
from lentilmount.coordination.membership import Member, Membership, MemberUpdate
from lentilmount.daemon.gossip import Gossip
from lentilmount.routing.leaving import LeavingMark
from lentilmount.waiting import wait_with_timeout
from lentilmount.wire import peer_pb2

WHOLE_EVERY = 2
"""Heartbeats of a stream of which one tells of others than the sender. The
sender's own beat is what silence is judged by; the rest can wait a little."""

BEATS_BEHIND = 1
"""Beats by which the other end of a stream may lag before it is told."""


@attrs.define
class News:
    """What a heartbeat tells besides who is there.

    Attributes:
      revision: The newest configuration in force at the sender.
      sequences: The newest change of each slice.
      services: The newest change of a service in each slice; the sender can
        be asked for what leads up to it.
      sender: Address of the daemon that told it; empty in what is told.
      zone: Availability zone of that daemon.
      origins: Zone of the daemon that told this one of a slice; absent for
        what it read itself.
    """

    revision: int = 0
    sequences: dict[str, int] = attrs.Factory(dict)
    services: dict[str, int] = attrs.Factory(dict)
    sender: str = ''
    zone: str = ''
    origins: dict[str, str] = attrs.Factory(dict)

    def list_reports_for(self, zone: str) -> set[str]:
        """Returns the slices of which a daemon in a zone has to be told.

        What came from its own zone it heard from there, as within a zone
        each talks to each.
        """
        return {
            name
            for name in self.sequences
            if not zone or self.origins.get(name) != zone
        }


def write_member(member: Member) -> peer_pb2.Member:
    """Builds the message of a member."""
    return peer_pb2.Member(**attrs.asdict(member))


def read_member(message: peer_pb2.Member) -> Member:
    """Reads the message of a member."""
    return Member(
        message.name,
        message.zone,
        message.address,
        message.incarnation,
        message.beat,
        message.stopping,
        message.eligible,
    )


def _write_beat(member: Member) -> peer_pb2.MemberBeat:
    return peer_pb2.MemberBeat(
        id=member.id,
        beat=member.beat,
        stopping=member.stopping,
        eligible=member.eligible,
    )


def _read_beat(message: peer_pb2.MemberBeat) -> MemberUpdate:
    return MemberUpdate(
        message.id, message.beat, message.stopping, message.eligible
    )


@attrs.define
class Told:
    """What the two ends of a stream told each other, so that less follows.

    A stream delivers in order or breaks, and what breaks is forgotten with
    it, so what was sent once need not be sent again.

    Attributes:
      turn: How many heartbeats this end sent.
      peer: Id of the other end, once it is heard.
      zone: Its availability zone.
      beats: The newest beat that either end told, by member.
      ids: Ids of the members that this end described.
      sequences: What this end told of slices.
      services: What this end told of services in slices.
      missing: Ids of members that the other end does not hear straight.
      marks: Leaving marks that this end told.
    """

    turn: int = 0
    peer: int = 0
    zone: str = ''
    beats: dict[int, int] = attrs.Factory(dict)
    ids: set[int] = attrs.Factory(set)
    sequences: dict[str, int] = attrs.Factory(dict)
    services: dict[str, int] = attrs.Factory(dict)
    missing: set[int] = attrs.Factory(set)
    marks: set[LeavingMark] = attrs.Factory(set)

    def hear(self, known: Iterable[Member | MemberUpdate]) -> None:
        """Takes note of what the other end knows."""
        for one in known:
            self.beats[one.id] = max(one.beat, self.beats.get(one.id, 0))

    def take_members(
        self, up: list[Member], is_wanted: Callable[[Member], bool]
    ) -> tuple[list[Member], list[Member]]:
        """Returns the members to describe, and those of which to tell beats.

        Args:
          up: The members that are up.
          is_wanted: Tells whether the other end needs a member's beats.
        """
        present = {member.id: member for member in up}
        # A member that went down may be forgotten at the other end, where
        # beats alone would not bring it back.
        self.ids &= present.keys()
        for gone in self.beats.keys() - present.keys():
            del self.beats[gone]
        new: list[Member] = []
        old: list[Member] = []
        for number, member in present.items():
            known = self.beats.get(number, -1)
            if number == self.peer or known >= member.beat - BEATS_BEHIND:
                continue
            if number not in self.ids:
                new.append(member)
            elif is_wanted(member):
                old.append(member)
            else:
                continue
            self.ids.add(number)
            self.beats[number] = member.beat
        return new, old


def _take_changed(told: dict[str, int], now: dict[str, int]) -> dict[str, int]:
    """Returns what is higher than was told, and notes it as told."""
    changed = {
        name: number
        for name, number in now.items()
        if told.get(name, -1) < number
    }
    told.update(changed)
    return changed


class Courier:
    """Writes this daemon's heartbeats and reads those of others.

    Args:
      membership: Who is there.
      hybrid: The clock of the time line.
      get_news: Returns what this daemon tells.
      take_news: Takes what a peer told.
      gossip: Writes and reads what concerns the entry path.
    """

    def __init__(
        self,
        membership: Membership,
        hybrid: HybridClock,
        get_news: Callable[[], News],
        take_news: Callable[[News], None],
        gossip: Gossip | None = None,
    ):
        self._membership = membership
        self._hybrid = hybrid
        self._get_news = get_news
        self._take_news = take_news
        self._gossip = gossip

    def write(self, told: Told, is_urgent: bool) -> peer_pb2.Heartbeat:
        """Builds the next heartbeat of a stream.

        Args:
          told: What the stream told so far.
          is_urgent: Whether there is news that must not wait.
        """
        news = self._get_news()
        stamp = self._hybrid.tick()
        message = peer_pb2.Heartbeat(
            sender=write_member(self._membership.local_member),
            revision=news.revision,
            stamp_millis=stamp.millis,
            stamp_counter=stamp.counter,
        )
        told.turn += 1
        missing = [
            member.id for member in self._membership.list_not_heard_directly()
        ]
        message.missing.extend(missing)
        if is_urgent or told.missing or told.turn % WHOLE_EVERY == 1:
            self._add_others(message, told, news)
        if self._gossip is not None:
            self._gossip.write(message, told.zone, told.marks)
        return message

    def _add_others(
        self, message: peer_pb2.Heartbeat, told: Told, news: News
    ) -> None:
        """Adds what is known of other members and of slices."""

        def is_wanted(member: Member) -> bool:
            # Within a zone each talks to each, so what came from the other
            # end's zone it has from there, unless it says that it has not.
            foreign = self._membership.get_source_zone(member.name) != told.zone
            return foreign or member.id in told.missing

        up = self._membership.list_alive()
        new, old = told.take_members(up, is_wanted)
        message.members.extend(write_member(member) for member in new)
        message.beats.extend(_write_beat(member) for member in old)
        names = news.list_reports_for(told.zone)
        sequences = _choose(news.sequences, names)
        services = _choose(news.services, names)
        message.sequences.update(_take_changed(told.sequences, sequences))
        message.services.update(_take_changed(told.services, services))

    def read(self, message: peer_pb2.Heartbeat, told: Told) -> None:
        """Takes in a heartbeat."""
        sender = read_member(message.sender)
        told.peer, told.zone = sender.id, sender.zone
        members = [read_member(member) for member in message.members]
        beats = [_read_beat(beat) for beat in message.beats]
        told.hear(members)
        told.hear(beats)
        told.missing = set(message.missing)
        self._membership.observe_direct(sender)
        self._membership.observe(members, sender.zone)
        self._membership.advance(beats, sender.zone)
        self._hybrid.observe(Stamp(message.stamp_millis, message.stamp_counter))
        if self._gossip is not None:
            self._gossip.read(message)
        self._take_news(
            News(
                message.revision,
                dict(message.sequences),
                dict(message.services),
                sender.address,
                sender.zone,
            )
        )


def _choose(numbers: dict[str, int], names: set[str]) -> dict[str, int]:
    return {name: n for name, n in numbers.items() if name in names}


class HeartbeatStream(Protocol):
    """Either end of a stream of heartbeats."""

    async def send_message(self, message: peer_pb2.Heartbeat) -> None:
        """Sends one."""

    async def recv_message(self) -> peer_pb2.Heartbeat | None:
        """Receives one; None where the other end is done."""


async def converse(
    stream: HeartbeatStream,
    courier: Courier,
    pause: Callable[[], asyncio.Event],
    interval: float,
    silence: float,
    on_heartbeat: Callable[[peer_pb2.Heartbeat], None],
) -> None:
    """Sends and receives on a stream until it ends or falls silent.

    Args:
      stream: The stream.
      courier: Writes and reads heartbeats.
      pause: Returns an event that cuts the wait for the next one short.
      interval: Seconds between two heartbeats.
      silence: Seconds after which a silent or stalled stream is given up.
      on_heartbeat: Called with each heartbeat once it is taken in.

    Raises:
      TimeoutError: The other end fell silent, or takes nothing.
    """
    told = Told()

    async def send() -> None:
        is_urgent = False
        while True:
            urgent = pause()
            async with asyncio.timeout(silence):
                await stream.send_message(courier.write(told, is_urgent))
            await wait_with_timeout(urgent, interval)
            is_urgent = urgent.is_set()

    sending = asyncio.create_task(send())
    receiving = asyncio.create_task(
        _receive(stream, courier, told, silence, on_heartbeat)
    )
    both = (sending, receiving)
    try:
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in both:
            task.cancel()
        ends = await asyncio.gather(*both, return_exceptions=True)
    for end in ends:
        if isinstance(end, Exception):
            raise end


async def _receive(
    stream: HeartbeatStream,
    courier: Courier,
    told: Told,
    silence: float,
    on_heartbeat: Callable[[peer_pb2.Heartbeat], None],
) -> None:
    while True:
        async with asyncio.timeout(silence):
            message = await stream.recv_message()
        if message is None:
            return
        courier.read(message, told)
        on_heartbeat(message)
