"""Encodes and decodes heartbeats, and exchanges them over a stream.

Each end of a stream keeps track of what it has sent, so that a heartbeat
carries only what has changed.
"""

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

FULL_HEARTBEAT_INTERVAL = 2
"""One in this many heartbeats of a stream also describes other members. The
sender's own beat decides whether it counts as up; the rest is less urgent."""

MAX_BEAT_LAG = 1
"""Maximum lag of the other end, in beats, before a newer beat is sent."""


@attrs.define
class VersionReport:
    """The versions of configuration and slices that a heartbeat reports.

    Attributes:
      revision: Revision of the configuration in force at the sender.
      sequences: Newest known sequence number of each slice's log.
      services: Sequence number of the newest change of a service in each
        slice; the sender can provide the changes up to it.
      sender: Address of the daemon that sent the report; empty in outgoing
        reports.
      zone: Availability zone of the sender.
      origins: Zone of the daemon that reported a slice's sequence number;
        absent where this daemon read it from the table.
    """

    revision: int = 0
    sequences: dict[str, int] = attrs.Factory(dict)
    services: dict[str, int] = attrs.Factory(dict)
    sender: str = ''
    zone: str = ''
    origins: dict[str, str] = attrs.Factory(dict)

    def list_slices_for(self, zone: str) -> set[str]:
        """Returns the slices to report to a daemon in a zone.

        Sequence numbers reported from that zone are left out, since all
        daemons of a zone exchange heartbeats with each other.
        """
        return {
            name
            for name in self.sequences
            if not zone or self.origins.get(name) != zone
        }


def write_member(member: Member) -> peer_pb2.Member:
    """Converts a member to its protobuf message."""
    return peer_pb2.Member(**attrs.asdict(member))


def read_member(message: peer_pb2.Member) -> Member:
    """Converts a protobuf message to a member."""
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
class StreamState:
    """What the two ends of a stream have sent, to send only changes.

    A stream delivers in order or fails, and its state is discarded with it.
    So what was sent once need not be sent again.

    Attributes:
      turn: Number of heartbeats that this end has sent.
      peer: Id of the other end; 0 until its first heartbeat.
      zone: Availability zone of the other end; empty until then.
      beats: The newest beat that either end has sent, by member id.
      ids: Ids of the members whose full description this end has sent.
      sequences: Sequence numbers that this end has sent, by slice.
      services: Sequence numbers of changes of services that this end has
        sent, by slice.
      missing: Ids of members from which the other end receives no
        heartbeats directly.
      marks: Leaving marks that this end has sent.
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

    def record_beats(self, known: Iterable[Member | MemberUpdate]) -> None:
        """Records the beats that the other end has sent."""
        for entry in known:
            self.beats[entry.id] = max(entry.beat, self.beats.get(entry.id, 0))

    def select_members(
        self, up: list[Member], needs_beats: Callable[[Member], bool]
    ) -> tuple[list[Member], list[Member]]:
        """Selects the members to describe in full, and those to send beats of.

        Args:
          up: The members that are up.
          needs_beats: Returns whether the other end needs a member's beats.
        """
        present = {member.id: member for member in up}
        # The other end may have removed a member that went down, and cannot
        # add it again from a beat without a description.
        self.ids &= present.keys()
        for gone in self.beats.keys() - present.keys():
            del self.beats[gone]
        new: list[Member] = []
        updated: list[Member] = []
        for member_id, member in present.items():
            known = self.beats.get(member_id, -1)
            if member_id == self.peer or known >= member.beat - MAX_BEAT_LAG:
                continue
            if member_id not in self.ids:
                new.append(member)
            elif needs_beats(member):
                updated.append(member)
            else:
                continue
            self.ids.add(member_id)
            self.beats[member_id] = member.beat
        return new, updated


def _select_changed(
    sent: dict[str, int], now: dict[str, int]
) -> dict[str, int]:
    """Returns the numbers higher than those sent, and records them as sent."""
    changed = {
        name: number
        for name, number in now.items()
        if sent.get(name, -1) < number
    }
    sent.update(changed)
    return changed


class HeartbeatCodec:
    """Builds this daemon's heartbeats and processes those of peers.

    Args:
      membership: The known members; updated from received heartbeats.
      hybrid: Hybrid logical clock that orders events of all daemons.
      get_report: Returns the versions that this daemon reports.
      handle_report: Handles the versions that a peer reports.
      gossip: Writes and reads the routing's part of a heartbeat, if given.
    """

    def __init__(
        self,
        membership: Membership,
        hybrid: HybridClock,
        get_report: Callable[[], VersionReport],
        handle_report: Callable[[VersionReport], None],
        gossip: Gossip | None = None,
    ):
        self._membership = membership
        self._hybrid = hybrid
        self._get_report = get_report
        self._handle_report = handle_report
        self._gossip = gossip

    def write(self, state: StreamState, is_urgent: bool) -> peer_pb2.Heartbeat:
        """Builds the next heartbeat of a stream.

        Args:
          state: What the stream has sent and received so far; updated.
          is_urgent: Whether to include other members and slices regardless
            of `FULL_HEARTBEAT_INTERVAL`.
        """
        report = self._get_report()
        stamp = self._hybrid.tick()
        message = peer_pb2.Heartbeat(
            sender=write_member(self._membership.local_member),
            revision=report.revision,
            stamp_millis=stamp.millis,
            stamp_counter=stamp.counter,
        )
        state.turn += 1
        missing = [
            member.id for member in self._membership.list_not_heard_directly()
        ]
        message.missing.extend(missing)
        if (
            is_urgent
            or state.missing
            or state.turn % FULL_HEARTBEAT_INTERVAL == 1
        ):
            self._add_others(message, state, report)
        if self._gossip is not None:
            self._gossip.write(message, state.zone, state.marks)
        return message

    def _add_others(
        self,
        message: peer_pb2.Heartbeat,
        state: StreamState,
        report: VersionReport,
    ) -> None:
        """Adds other members and the versions of slices, where changed."""

        def needs_beats(member: Member) -> bool:
            # Within a zone all daemons exchange heartbeats. So the other end
            # has the beats that came from its zone, unless it reports the
            # member as missing.
            foreign = (
                self._membership.get_source_zone(member.name) != state.zone
            )
            return foreign or member.id in state.missing

        up = self._membership.list_alive()
        new, updated = state.select_members(up, needs_beats)
        message.members.extend(write_member(member) for member in new)
        message.beats.extend(_write_beat(member) for member in updated)
        names = report.list_slices_for(state.zone)
        sequences = _select(report.sequences, names)
        services = _select(report.services, names)
        message.sequences.update(_select_changed(state.sequences, sequences))
        message.services.update(_select_changed(state.services, services))

    def read(self, message: peer_pb2.Heartbeat, state: StreamState) -> None:
        """Processes a received heartbeat."""
        sender = read_member(message.sender)
        state.peer, state.zone = sender.id, sender.zone
        members = [read_member(member) for member in message.members]
        beats = [_read_beat(beat) for beat in message.beats]
        state.record_beats(members)
        state.record_beats(beats)
        state.missing = set(message.missing)
        self._membership.observe_direct(sender)
        self._membership.observe(members, sender.zone)
        self._membership.advance(beats, sender.zone)
        self._hybrid.observe(Stamp(message.stamp_millis, message.stamp_counter))
        if self._gossip is not None:
            self._gossip.read(message)
        self._handle_report(
            VersionReport(
                message.revision,
                dict(message.sequences),
                dict(message.services),
                sender.address,
                sender.zone,
            )
        )


def _select(numbers: dict[str, int], names: set[str]) -> dict[str, int]:
    return {name: n for name, n in numbers.items() if name in names}


class HeartbeatStream(Protocol):
    """Either end of a stream of heartbeats."""

    async def send_message(self, message: peer_pb2.Heartbeat) -> None:
        """Sends a heartbeat."""

    async def recv_message(self) -> peer_pb2.Heartbeat | None:
        """Receives a heartbeat; returns None at the end of the stream."""


async def exchange_heartbeats(
    stream: HeartbeatStream,
    codec: HeartbeatCodec,
    get_urgent: Callable[[], asyncio.Event],
    interval: float,
    silence: float,
    on_heartbeat: Callable[[peer_pb2.Heartbeat], None],
) -> None:
    """Exchanges heartbeats on a stream until it ends or times out.

    Args:
      stream: The stream.
      codec: Builds and processes heartbeats.
      get_urgent: Returns an event that triggers the next heartbeat early.
      interval: Seconds between two heartbeats.
      silence: Timeout in seconds of each send and each receive.
      on_heartbeat: Called with each received heartbeat after it is processed.

    Raises:
      TimeoutError: The other end sends no heartbeats, or receives none.
    """
    state = StreamState()

    async def send() -> None:
        is_urgent = False
        while True:
            urgent = get_urgent()
            async with asyncio.timeout(silence):
                await stream.send_message(codec.write(state, is_urgent))
            await wait_with_timeout(urgent, interval)
            is_urgent = urgent.is_set()

    sending = asyncio.create_task(send())
    receiving = asyncio.create_task(
        _receive(stream, codec, state, silence, on_heartbeat)
    )
    both = (sending, receiving)
    try:
        await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in both:
            task.cancel()
        results = await asyncio.gather(*both, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result


async def _receive(
    stream: HeartbeatStream,
    codec: HeartbeatCodec,
    state: StreamState,
    silence: float,
    on_heartbeat: Callable[[peer_pb2.Heartbeat], None],
) -> None:
    while True:
        async with asyncio.timeout(silence):
            message = await stream.recv_message()
        if message is None:
            return
        codec.read(message, state)
        on_heartbeat(message)
