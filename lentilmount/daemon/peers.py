"""Exchanges heartbeats with peers, and serves the gRPC API for them."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import ssl
from collections.abc import Callable
from typing import Any

import attrs
import logbook
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from lentilmount.clock import Stamp
from lentilmount.codec import encode
from lentilmount.coordination.membership import Member, Membership
from lentilmount.coordination.mesh import choose_peers
from lentilmount.daemon.gossip import Gossip
from lentilmount.daemon.heartbeats import (
    HeartbeatCodec,
    VersionReport,
    exchange_heartbeats,
)
from lentilmount.events import EventKind, EventLog
from lentilmount.queries.timeline import EventFilter, select_events
from lentilmount.wire import peer_grpc, peer_pb2

log = logbook.Logger('peers')

CALL_SECONDS = 1.0
MAX_RETRY_PAUSE_SECONDS = 5.0
"""Maximum pause, before jitter, between two attempts to reach an address."""

MIN_PUSH_INTERVAL_SECONDS = 0.02
"""Changes that follow each other faster are sent in one heartbeat."""

PEER_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
)


@attrs.frozen
class PeerOptions:
    """Options of a daemon's exchange with its peers.

    Attributes:
      seeds: Addresses of peers to contact first.
      heartbeat_seconds: Period of the heartbeats on a stream.
      silence_seconds: Timeout after which a stream without heartbeats is
        closed.
      streams_between_zones: Number of streams between each two zones.
    """

    seeds: tuple[str, ...] = ()
    heartbeat_seconds: float = 0.5
    silence_seconds: float = 2.0
    streams_between_zones: int = 2


class Peers:
    """Exchanges heartbeats with the peers that the membership chooses.

    Of two peers the one whose name sorts first dials. The other dials only
    after it received no stream for `silence_seconds`, so that the two connect
    even if the network allows connections in one direction only.

    Args:
      membership: The known daemons and whether they are up.
      events: Log of this daemon's events.
      options: Addresses, periods and timeouts.
      get_report: Returns the versions that this daemon reports.
      handle_report: Handles the versions that a peer reports.
      monotonic: Clock for durations, in seconds.
      tls: TLS context of connections to peers, or None.
      gossip: Writes and reads the routing's part of a heartbeat, if given.
    """

    def __init__(
        self,
        membership: Membership,
        events: EventLog,
        options: PeerOptions,
        get_report: Callable[[], VersionReport],
        handle_report: Callable[[VersionReport], None],
        monotonic: Callable[[], float],
        tls: ssl.SSLContext | None = None,
        gossip: Gossip | None = None,
    ):
        self._membership = membership
        self._events = events
        self._options = options
        self._codec = HeartbeatCodec(
            membership, events.hybrid, get_report, handle_report, gossip
        )
        self._monotonic = monotonic
        self._tls = tls
        self._urgent = asyncio.Event()
        self._push_due_at = float('-inf')
        self._channels: dict[str, Channel] = {}
        self._incoming: collections.Counter[str] = collections.Counter()
        self._no_stream_since: dict[str, float] = {}
        self._was_up: dict[str, bool] = {}

    async def run(self) -> None:
        """Runs one task for each address to dial, until cancelled."""
        interval = self._options.heartbeat_seconds
        async with asyncio.TaskGroup() as group:
            dialling: dict[str, asyncio.Task[None]] = {}
            while True:
                self._membership.advance_beat()
                wanted = self._list_addresses_to_dial()
                for address in wanted - dialling.keys():
                    dialling[address] = group.create_task(self._dial(address))
                for address in dialling.keys() - wanted:
                    dialling.pop(address).cancel()
                self._membership.forget()
                self._record_peer_states()
                began = self._monotonic()
                await asyncio.sleep(interval)
                self._handle_event_loop_pause(
                    self._monotonic() - began - interval
                )

    def _handle_event_loop_pause(self, seconds: float) -> None:
        if seconds > self._options.heartbeat_seconds:
            log.warning('This daemon was paused for {:.1f} s.', seconds)
            self._membership.compensate_pause(seconds)

    def _list_addresses_to_dial(self) -> set[str]:
        peers = choose_peers(
            self._membership, self._options.streams_between_zones
        )
        wanted = {m.address for m in peers if self._should_dial(m)}
        known = self._membership.list_known()
        up = {m.address for m in known if self._membership.is_up(m.name)}
        # A seed is dialled while no member known to be up has its address.
        # When all daemons were replaced during a network partition, and the
        # table is down, seeds are the only way to find each other again.
        wanted |= set(self._options.seeds) - up
        return wanted - {self._membership.local_member.address, ''}

    def _should_dial(self, member: Member) -> bool:
        if self._membership.local_member.name < member.name:
            return True
        if self._incoming[member.name]:
            self._no_stream_since.pop(member.name, None)
            return False
        now = self._monotonic()
        since = self._no_stream_since.setdefault(member.name, now)
        return now - since > self._options.silence_seconds

    def _record_peer_states(self) -> None:
        known = {member.name for member in self._membership.list_known()}
        for name in known | self._was_up.keys():
            up = name in known and self._membership.is_up(name)
            if up == self._was_up.get(name, False):
                continue
            self._was_up[name] = up
            kind = EventKind.PEER_UP if up else EventKind.PEER_DOWN
            self._events.record('peers', kind, cause=name)
            log.info('Peer {} is {}.', name, 'up' if up else 'down')
        for name in self._was_up.keys() - known:
            del self._was_up[name]
            self._no_stream_since.pop(name, None)

    async def _dial(self, address: str) -> None:
        pause = self._options.heartbeat_seconds
        while True:
            began = self._monotonic()
            with contextlib.suppress(*PEER_ERRORS):
                await self._call(address)
            lasted = self._monotonic() - began
            if lasted > 2 * self._options.silence_seconds:
                pause = self._options.heartbeat_seconds
            # Jitter: all peers of a daemon lose their streams at once.
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(2 * pause, MAX_RETRY_PAUSE_SECONDS)

    async def _call(self, address: str) -> None:
        channel = self._make_channel(address)
        try:
            stub = peer_grpc.PeerStub(channel)
            async with stub.Exchange.open() as stream:
                async with asyncio.timeout(self._options.silence_seconds):
                    await stream.send_request()
                await self._exchange_heartbeats(stream)
        finally:
            channel.close()

    async def _exchange_heartbeats(
        self,
        stream: object,
        on_heartbeat: Callable[[peer_pb2.Heartbeat], None] = lambda _: None,
    ) -> None:
        await exchange_heartbeats(
            stream,  # type: ignore[arg-type]
            self._codec,
            lambda: self._urgent,
            self._options.heartbeat_seconds,
            self._options.silence_seconds,
            on_heartbeat,
        )

    async def serve_stream(self, stream: object) -> None:
        """Exchanges heartbeats on a stream opened by a peer, until it ends."""
        names: set[str] = set()

        def count(message: peer_pb2.Heartbeat) -> None:
            if message.sender.name not in names:
                names.add(message.sender.name)
                self._incoming[message.sender.name] += 1

        try:
            with contextlib.suppress(*PEER_ERRORS):
                await self._exchange_heartbeats(stream, count)
        finally:
            self._incoming.subtract(names)

    def push(self) -> None:
        """Schedules an early heartbeat on every stream, for urgent changes."""
        now = self._monotonic()
        wait = max(0.0, self._push_due_at + MIN_PUSH_INTERVAL_SECONDS - now)
        if wait > MIN_PUSH_INTERVAL_SECONDS:
            return
        self._push_due_at = now + wait
        asyncio.get_running_loop().call_later(wait, self._send_heartbeats_now)

    def _send_heartbeats_now(self) -> None:
        urgent, self._urgent = self._urgent, asyncio.Event()
        self._membership.advance_beat()
        urgent.set()

    def _make_channel(self, address: str) -> Channel:
        host, _, port = address.rpartition(':')
        return Channel(host.strip('[]'), int(port), ssl=self._tls)

    def list_others(self) -> list[Member]:
        """Returns all other known daemons, without those that are stopping."""
        return [m for m in self._membership.list_known() if not m.stopping]

    def get_stub(self, address: str) -> peer_grpc.PeerStub:
        """Returns the gRPC stub for a daemon's address."""
        if address not in self._channels:
            self._channels[address] = self._make_channel(address)
        return peer_grpc.PeerStub(self._channels[address])

    async def wake_owner(self, slice_name: str, zone: str) -> None:
        """Notifies the peers of a zone of a new entry in a slice's inbox.

        If none of that zone is active, all active peers are notified.
        """
        members = self._membership.list_active(zone)
        names = {self._membership.local_member.name}
        calls = [
            self._wake(member.address, slice_name)
            for member in members or self._membership.list_active()
            if member.name not in names
        ]
        await asyncio.gather(*calls)

    async def _wake(self, address: str, slice_name: str) -> None:
        with contextlib.suppress(*PEER_ERRORS):
            await self.get_stub(address).Wake(
                peer_pb2.Nudge(slice=slice_name), timeout=CALL_SECONDS
            )

    async def fetch_changes(
        self, address: str, log_name: str, after: int
    ) -> peer_pb2.ChangesReply | None:
        """Fetches changes from a peer; returns None if the call fails."""
        request = peer_pb2.ChangesRequest(log=log_name, after=after)
        with contextlib.suppress(*PEER_ERRORS):
            reply: peer_pb2.ChangesReply = await self.get_stub(
                address
            ).ListChanges(request, timeout=CALL_SECONDS)
            return reply
        return None

    def close(self) -> None:
        """Closes the connections of unary calls."""
        for channel in self._channels.values():
            channel.close()


class PeerService(peer_grpc.PeerBase):
    """gRPC service that peers call.

    Args:
      peers: Serves the streams of heartbeats.
      events: Log of this daemon's events.
      wake_slice: Called with the name of a slice whose inbox has a new entry.
      list_changes: Returns the changes that a peer requests.
      describe: Returns this daemon's state as values that JSON can hold.
    """

    def __init__(
        self,
        peers: Peers,
        events: EventLog,
        wake_slice: Callable[[str], None],
        list_changes: Callable[
            [peer_pb2.ChangesRequest], peer_pb2.ChangesReply
        ],
        describe: Callable[[], dict[str, Any]],
    ):
        self._peers = peers
        self._events = events
        self._wake_slice = wake_slice
        self._list_changes = list_changes
        self._describe = describe

    async def Exchange(  # noqa: N802
        self, stream: Stream[peer_pb2.Heartbeat, peer_pb2.Heartbeat]
    ) -> None:
        """Exchanges heartbeats until the stream ends."""
        await self._peers.serve_stream(stream)

    async def Wake(  # noqa: N802
        self, stream: Stream[peer_pb2.Nudge, peer_pb2.Empty]
    ) -> None:
        """Makes the owner of a slice read its inbox now."""
        message = await stream.recv_message()
        if message is not None:
            self._wake_slice(message.slice)
        await stream.send_message(peer_pb2.Empty())

    async def ListChanges(  # noqa: N802
        self,
        stream: Stream[peer_pb2.ChangesRequest, peer_pb2.ChangesReply],
    ) -> None:
        """Returns changes of the configuration or of a slice."""
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(self._list_changes(message))

    async def ListEvents(  # noqa: N802
        self,
        stream: Stream[peer_pb2.EventsRequest, peer_pb2.EventsReply],
    ) -> None:
        """Returns this daemon's events that match the request."""
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
        """Returns this daemon's state."""
        await stream.recv_message()
        body = encode(self._describe())
        await stream.send_message(peer_pb2.Description(body=body))
