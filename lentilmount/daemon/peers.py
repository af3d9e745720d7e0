"""Peers: one stream of heartbeats with each partner, and the API for them."""

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
from lentilmount.daemon.heartbeats import Courier, News, converse
from lentilmount.events import EventKind, EventLog
from lentilmount.queries.timeline import EventFilter, select_events
from lentilmount.wire import peer_grpc, peer_pb2

log = logbook.Logger('peers')

CALL_SECONDS = 1.0
LONGEST_PAUSE_SECONDS = 5.0
"""Most seconds, before jitter, between two tries to reach an address."""

SOONEST_PUSH_SECONDS = 0.02
"""News that comes faster than this goes out together."""

PeerFailure = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    TimeoutError,
)


@attrs.frozen
class PeerOptions:
    """How a daemon talks to its peers.

    Attributes:
      seeds: Addresses to begin with.
      heartbeat_seconds: Between two heartbeats on a stream.
      silence_seconds: After which a silent stream is given up.
      links: How many streams join two zones.
    """

    seeds: tuple[str, ...] = ()
    heartbeat_seconds: float = 0.5
    silence_seconds: float = 2.0
    links: int = 2


class Peers:
    """Exchanges heartbeats with partners.

    Of two partners the one whose name sorts first dials. The other dials
    only where no stream came in for a while, so that a network that lets
    connections through one way only still joins them.

    Args:
      membership: Who is there.
      events: The time line.
      options: How to talk.
      get_news: Returns what this daemon tells.
      take_news: Takes what a peer told.
      monotonic: The clock for durations.
      tls: How calls to peers are secured, or None.
      gossip: What heartbeats carry of the entry path.
    """

    def __init__(
        self,
        membership: Membership,
        events: EventLog,
        options: PeerOptions,
        get_news: Callable[[], News],
        take_news: Callable[[News], None],
        monotonic: Callable[[], float],
        tls: ssl.SSLContext | None = None,
        gossip: Gossip | None = None,
    ):
        self._membership = membership
        self._events = events
        self._options = options
        self._courier = Courier(
            membership, events.hybrid, get_news, take_news, gossip
        )
        self._monotonic = monotonic
        self._tls = tls
        self._urgent = asyncio.Event()
        self._pushed_at = float('-inf')
        self._channels: dict[str, Channel] = {}
        self._incoming: collections.Counter[str] = collections.Counter()
        self._missing_since: dict[str, float] = {}
        self._up: dict[str, bool] = {}

    async def run(self) -> None:
        """Keeps one task for each address to dial until cancelled."""
        interval = self._options.heartbeat_seconds
        async with asyncio.TaskGroup() as group:
            dialling: dict[str, asyncio.Task[None]] = {}
            while True:
                self._membership.advance_beat()
                wanted = self._list_wanted()
                for address in wanted - dialling.keys():
                    dialling[address] = group.create_task(self._dial(address))
                for address in dialling.keys() - wanted:
                    dialling.pop(address).cancel()
                self._membership.forget()
                self._note_changes()
                began = self._monotonic()
                await asyncio.sleep(interval)
                self._note_pause(self._monotonic() - began - interval)

    def _note_pause(self, seconds: float) -> None:
        if seconds > self._options.heartbeat_seconds:
            log.warning('This daemon stood still for {:.1f} s.', seconds)
            self._membership.compensate_pause(seconds)

    def _list_wanted(self) -> set[str]:
        partners = choose_peers(self._membership, self._options.links)
        wanted = {m.address for m in partners if self._is_caller(m)}
        known = self._membership.list_known()
        up = {m.address for m in known if self._membership.is_up(m.name)}
        # A seed is dialled for as long as nobody up is known to be there:
        # after a cut in which all daemons were replaced, and with the table
        # down, seeds are the only way back.
        wanted |= set(self._options.seeds) - up
        return wanted - {self._membership.local_member.address, ''}

    def _is_caller(self, member: Member) -> bool:
        if self._membership.local_member.name < member.name:
            return True
        if self._incoming[member.name]:
            self._missing_since.pop(member.name, None)
            return False
        now = self._monotonic()
        since = self._missing_since.setdefault(member.name, now)
        return now - since > self._options.silence_seconds

    def _note_changes(self) -> None:
        known = {member.name for member in self._membership.list_known()}
        for name in known | self._up.keys():
            up = name in known and self._membership.is_up(name)
            if up == self._up.get(name, False):
                continue
            self._up[name] = up
            kind = EventKind.PEER_UP if up else EventKind.PEER_DOWN
            self._events.record('peers', kind, cause=name)
            log.info('Peer {} is {}.', name, 'up' if up else 'down')
        for name in self._up.keys() - known:
            del self._up[name]
            self._missing_since.pop(name, None)

    async def _dial(self, address: str) -> None:
        pause = self._options.heartbeat_seconds
        while True:
            began = self._monotonic()
            with contextlib.suppress(*PeerFailure):
                await self._call(address)
            lasted = self._monotonic() - began
            if lasted > 2 * self._options.silence_seconds:
                pause = self._options.heartbeat_seconds
            # Jitter, as all peers of a daemon lose it at the same moment.
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(2 * pause, LONGEST_PAUSE_SECONDS)

    async def _call(self, address: str) -> None:
        channel = self._make_channel(address)
        try:
            stub = peer_grpc.PeerStub(channel)
            async with stub.Exchange.open() as stream:
                async with asyncio.timeout(self._options.silence_seconds):
                    await stream.send_request()
                await self._converse(stream)
        finally:
            channel.close()

    async def _converse(
        self,
        stream: object,
        on_heartbeat: Callable[[peer_pb2.Heartbeat], None] = lambda _: None,
    ) -> None:
        await converse(
            stream,  # type: ignore[arg-type]
            self._courier,
            lambda: self._urgent,
            self._options.heartbeat_seconds,
            self._options.silence_seconds,
            on_heartbeat,
        )

    async def take_stream(self, stream: object) -> None:
        """Holds a stream that a peer opened, until it ends."""
        names: set[str] = set()

        def count(message: peer_pb2.Heartbeat) -> None:
            if message.sender.name not in names:
                names.add(message.sender.name)
                self._incoming[message.sender.name] += 1

        try:
            with contextlib.suppress(*PeerFailure):
                await self._converse(stream, count)
        finally:
            self._incoming.subtract(names)

    def push(self) -> None:
        """Sends a heartbeat on every stream soon, for news that is urgent."""
        now = self._monotonic()
        wait = max(0.0, self._pushed_at + SOONEST_PUSH_SECONDS - now)
        if wait > SOONEST_PUSH_SECONDS:
            return
        self._pushed_at = now + wait
        asyncio.get_running_loop().call_later(wait, self._push)

    def _push(self) -> None:
        urgent, self._urgent = self._urgent, asyncio.Event()
        self._membership.advance_beat()
        urgent.set()

    def _make_channel(self, address: str) -> Channel:
        host, _, port = address.rpartition(':')
        return Channel(host.strip('[]'), int(port), ssl=self._tls)

    def list_others(self) -> list[Member]:
        """Returns every other daemon that was not stopped as planned."""
        return [m for m in self._membership.list_known() if not m.stopping]

    def get_stub(self, address: str) -> peer_grpc.PeerStub:
        """Returns the stub of a daemon."""
        if address not in self._channels:
            self._channels[address] = self._make_channel(address)
        return peer_grpc.PeerStub(self._channels[address])

    async def wake_owner(self, slice_name: str, zone: str) -> None:
        """Tells the peers of a zone that a slice has something new."""
        members = self._membership.list_active(zone)
        names = {self._membership.local_member.name}
        calls = [
            self._wake(member.address, slice_name)
            for member in members or self._membership.list_active()
            if member.name not in names
        ]
        await asyncio.gather(*calls)

    async def _wake(self, address: str, slice_name: str) -> None:
        with contextlib.suppress(*PeerFailure):
            await self.get_stub(address).Wake(
                peer_pb2.Nudge(slice=slice_name), timeout=CALL_SECONDS
            )

    async def fetch_changes(
        self, address: str, log_name: str, after: int
    ) -> peer_pb2.ChangesReply | None:
        """Asks a peer for changes; None where it does not answer."""
        request = peer_pb2.ChangesRequest(log=log_name, after=after)
        with contextlib.suppress(*PeerFailure):
            reply: peer_pb2.ChangesReply = await self.get_stub(
                address
            ).ListChanges(request, timeout=CALL_SECONDS)
            return reply
        return None

    def close(self) -> None:
        """Closes the connections."""
        for channel in self._channels.values():
            channel.close()


class PeerService(peer_grpc.PeerBase):
    """What peers call.

    Args:
      peers: Takes the streams of heartbeats.
      events: The time line.
      wake_slice: Called when a slice has something new.
      list_changes: Answers peers that ask for changes.
      describe: Returns this daemon's state in plain values.
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
        await self._peers.take_stream(stream)

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
        """Answers with changes of the configuration or of a slice."""
        message = await stream.recv_message()
        if message is not None:
            await stream.send_message(self._list_changes(message))

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
