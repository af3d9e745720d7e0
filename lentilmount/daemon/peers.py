"""Peers: heartbeats out, one task for each, and the API that takes them."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Callable
from typing import Any

import attrs
import logbook
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from lentilmount.clock import Stamp
from lentilmount.codec import encode
from lentilmount.coordination.membership import Member, Membership
from lentilmount.events import EventKind, EventLog
from lentilmount.queries.timeline import EventFilter, select_events
from lentilmount.wire import peer_grpc, peer_pb2

log = logbook.Logger('peers')

CALL_SECONDS = 1.0

PeerFailure = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


@attrs.define
class News:
    """What a heartbeat tells besides who is there.

    Attributes:
      revision: The newest configuration in force at the sender.
      sequences: The newest change that the sender saw of each slice.
    """

    revision: int = 0
    sequences: dict[str, int] = attrs.Factory(dict)


def _write_member(member: Member) -> peer_pb2.Member:
    return peer_pb2.Member(**attrs.asdict(member))


def _read_member(message: peer_pb2.Member) -> Member:
    return Member(
        message.name,
        message.zone,
        message.address,
        message.incarnation,
        message.beat,
        message.stopping,
    )


class Peers:
    """Exchanges heartbeats with every other daemon.

    Args:
      membership: Who is there.
      events: The time line.
      seeds: Addresses to begin with.
      heartbeat_seconds: Between two heartbeats to a peer.
      get_news: Returns what this daemon tells.
      take_news: Takes what a peer told.
      wake_slice: Called when a slice's inbox has something new.
      tls: How calls to peers are secured, or None.
    """

    def __init__(
        self,
        membership: Membership,
        events: EventLog,
        seeds: tuple[str, ...],
        heartbeat_seconds: float,
        get_news: Callable[[], News],
        take_news: Callable[[News], None],
        wake_slice: Callable[[str], None],
        tls: ssl.SSLContext | None = None,
    ):
        self._membership = membership
        self._tls = tls
        self._events = events
        self._seeds = seeds
        self._heartbeat_seconds = heartbeat_seconds
        self._get_news = get_news
        self._take_news = take_news
        self._wake_slice = wake_slice
        self._channels: dict[str, Channel] = {}
        self._up: dict[str, bool] = {}

    async def run(self) -> None:
        """Keeps one task for each peer address until cancelled."""
        async with asyncio.TaskGroup() as group:
            talking: dict[str, asyncio.Task[None]] = {}
            while True:
                for address in self._list_addresses():
                    if address not in talking:
                        talking[address] = group.create_task(
                            self._talk(address)
                        )
                self._note_changes()
                await asyncio.sleep(self._heartbeat_seconds)

    def _list_addresses(self) -> set[str]:
        known = {m.address for m in self._membership.list_known()}
        return (known | set(self._seeds)) - {self._membership.me.address}

    def _note_changes(self) -> None:
        for member in self._membership.list_known():
            up = self._membership.is_up(member.name)
            if up == self._up.get(member.name, False):
                continue
            self._up[member.name] = up
            kind = EventKind.PEER_UP if up else EventKind.PEER_DOWN
            self._events.record('peers', kind, cause=member.name)
            log.info('Peer {} is {}.', member.name, 'up' if up else 'down')

    async def _talk(self, address: str) -> None:
        while True:
            with contextlib.suppress(*PeerFailure):
                stub = peer_grpc.PeerStub(self._get_channel(address))
                answer = await stub.Beat(
                    self._make_heartbeat(), timeout=CALL_SECONDS
                )
                self._take_heartbeat(answer)
            await asyncio.sleep(self._heartbeat_seconds)

    def _get_channel(self, address: str) -> Channel:
        if address not in self._channels:
            host, _, port = address.rpartition(':')
            self._channels[address] = Channel(host, int(port), ssl=self._tls)
        return self._channels[address]

    def _make_heartbeat(self) -> peer_pb2.Heartbeat:
        news = self._get_news()
        stamp = self._events.hybrid.tick()
        return peer_pb2.Heartbeat(
            sender=_write_member(self._membership.beat()),
            revision=news.revision,
            members=[
                _write_member(member)
                for member in self._membership.list_known()
                if self._membership.is_up(member.name)
            ],
            stamp_millis=stamp.millis,
            stamp_counter=stamp.counter,
            sequences=news.sequences,
        )

    def _take_heartbeat(self, message: peer_pb2.Heartbeat) -> None:
        self._membership.observe([_read_member(message.sender)])
        # What a peer says of a third one tells only that it exists: were it
        # counted as heard, two peers could keep a dead one up for ever.
        self._membership.discover(_read_member(m) for m in message.members)
        self._events.hybrid.observe(
            Stamp(message.stamp_millis, message.stamp_counter)
        )
        self._take_news(News(message.revision, dict(message.sequences)))

    async def wake_owner(self, slice_name: str) -> None:
        """Tells every peer that a slice's inbox has something new."""
        for member in self._membership.list_up():
            if member.name == self._membership.me.name:
                continue
            stub = peer_grpc.PeerStub(self._get_channel(member.address))
            with contextlib.suppress(*PeerFailure):
                await stub.Wake(
                    peer_pb2.Nudge(slice=slice_name), timeout=CALL_SECONDS
                )

    def list_others(self) -> list[Member]:
        """Returns every other daemon that was not stopped as planned."""
        return [m for m in self._membership.list_known() if not m.stopping]

    def get_stub(self, address: str) -> peer_grpc.PeerStub:
        """Returns the stub of a daemon."""
        return peer_grpc.PeerStub(self._get_channel(address))

    def make_service(
        self, describe: Callable[[], dict[str, Any]]
    ) -> PeerService:
        """Builds the API that peers call."""
        return PeerService(self, self._events, self._wake_slice, describe)

    def answer_heartbeat(
        self, message: peer_pb2.Heartbeat
    ) -> peer_pb2.Heartbeat:
        """Takes a peer's heartbeat and returns this daemon's."""
        self._take_heartbeat(message)
        return self._make_heartbeat()

    def close(self) -> None:
        """Closes the connections."""
        for channel in self._channels.values():
            channel.close()


class PeerService(peer_grpc.PeerBase):
    """What peers call."""

    def __init__(
        self,
        peers: Peers,
        events: EventLog,
        wake_slice: Callable[[str], None],
        describe: Callable[[], dict[str, Any]],
    ):
        self._peers = peers
        self._events = events
        self._wake_slice = wake_slice
        self._describe = describe

    async def Beat(  # noqa: N802
        self, stream: Stream[peer_pb2.Heartbeat, peer_pb2.Heartbeat]
    ) -> None:
        """Takes a heartbeat."""
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(self._peers.answer_heartbeat(message))

    async def Wake(  # noqa: N802
        self, stream: Stream[peer_pb2.Nudge, peer_pb2.Empty]
    ) -> None:
        """Looks at a slice's inbox."""
        message = await stream.recv_message()
        if message is not None:
            self._wake_slice(message.slice)
        await stream.send_message(peer_pb2.Empty())

    async def ListChanges(  # noqa: N802
        self,
        stream: Stream[peer_pb2.ChangesRequest, peer_pb2.ChangesReply],
    ) -> None:
        """Answers with changes of the configuration."""
        await stream.recv_message()
        await stream.send_message(peer_pb2.ChangesReply())

    async def ListEvents(  # noqa: N802
        self,
        stream: Stream[peer_pb2.EventsRequest, peer_pb2.EventsReply],
    ) -> None:
        """Answers with the events of the time line."""
        message = await stream.recv_message()
        if message is None:
            return
        after = Stamp(message.after_millis, message.after_counter)
        wanted = EventFilter(
            message.resource,
            message.request,
            until_millis=message.until_millis,
            limit=message.limit,
        )
        found = select_events(self._events, wanted, after)
        await stream.send_message(
            peer_pb2.EventsReply(events=[encode(event) for event in found])
        )

    async def Describe(  # noqa: N802
        self, stream: Stream[peer_pb2.Empty, peer_pb2.Description]
    ) -> None:
        """Answers with this daemon's state."""
        await stream.recv_message()
        body = encode(self._describe())
        await stream.send_message(peer_pb2.Description(body=body))
