"""Measures bytes, messages and CPU time of heartbeats by number of daemons.

The heartbeat code of all daemons runs in this process, on in-memory streams
that count messages and bytes. The cost of the transport is measured
separately, on one real connection.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence

import attrs
from grpclib.client import Channel
from grpclib.server import Server, Stream
from tornado.netutil import bind_sockets

from lentilmount.clock import HybridClock, SystemClock
from lentilmount.coordination.membership import Member, Membership
from lentilmount.coordination.mesh import choose_peers
from lentilmount.daemon.heartbeats import (
    HeartbeatCodec,
    VersionReport,
    exchange_heartbeats,
)
from lentilmount.wire import peer_grpc, peer_pb2

HEARTBEAT_SECONDS = 0.5
SILENCE_SECONDS = 2.0
ZONE_LINKS = 2
FRAME_BYTES = 9 + 5 + 40
"""Size of the HTTP/2, gRPC and TCP/IP headers of each message."""

CHANGES_PER_SECOND = 37.0
"""Rate of log entries of all slices at full size: one for each task start."""


@attrs.define
class Counts:
    """Messages and bytes sent and received by one daemon."""

    messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class _StreamEnd:
    """One end of an in-memory stream."""

    def __init__(self, counts: Counts):
        self.counts = counts
        self.queue: asyncio.Queue[peer_pb2.Heartbeat] = asyncio.Queue()
        self.peer = self

    async def send_message(self, message: peer_pb2.Heartbeat) -> None:
        data = message.SerializeToString()
        self.counts.messages += 1
        self.counts.sent_bytes += len(data) + FRAME_BYTES
        self.peer.counts.received_bytes += len(data) + FRAME_BYTES
        await self.peer.queue.put(peer_pb2.Heartbeat.FromString(data))

    async def recv_message(self) -> peer_pb2.Heartbeat | None:
        return await self.queue.get()


class _Daemon:
    """The heartbeat part of a daemon."""

    def __init__(self, me: Member, clock: SystemClock, slices: Sequence[str]):
        self.membership = Membership(me, SILENCE_SECONDS, clock.monotonic)
        self.counts = Counts()
        self.report = VersionReport(
            1, dict.fromkeys(slices, 0), dict.fromkeys(slices, 0)
        )
        self.codec = HeartbeatCodec(
            self.membership,
            HybridClock(clock),
            lambda: self.report,
            self._apply,
        )

    def _apply(self, report: VersionReport) -> None:
        for name, sequence in report.sequences.items():
            if sequence > self.report.sequences.get(name, -1):
                self.report.sequences[name] = sequence
                self.report.origins[name] = report.zone

    async def send_heartbeats(self) -> None:
        while True:
            self.membership.advance_beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def append_changes(self, slice_name: str, per_second: float) -> None:
        while True:
            await asyncio.sleep(1.0 / per_second)
            self.report.sequences[slice_name] += 1
            self.report.origins.pop(slice_name, None)


@attrs.frozen
class MeshCost:
    """Cost of heartbeats per daemon.

    Attributes:
      messages: Mean number of messages sent per second.
      cores: Mean CPU usage for writing and reading heartbeats, in cores.
      sent_bytes: Mean number of bytes sent per second.
      max_bytes: Bytes sent and received per second by the busiest daemon.
      min_active: Minimum number of daemons that a daemon sees as active at the
        end.
    """

    messages: float
    cores: float
    sent_bytes: float
    max_bytes: float
    min_active: int


async def measure_mesh(
    zones: int, per_zone: int, seconds: float, is_full: bool = False
) -> MeshCost:
    """Measures the heartbeats of a deployment.

    Args:
      zones: Number of availability zones.
      per_zone: Number of daemons, and of slices, in each zone.
      seconds: Length of the measurement.
      is_full: Whether each daemon is connected to all others (a full mesh,
        for comparison).
    """
    clock = SystemClock()
    members = [
        Member(f'entry-{z}-{n}', f'zone-{z}', f'10.0.{z}.{n}:7000', 1)
        for z in range(zones)
        for n in range(per_zone)
    ]
    slices = [f'zone-{z}/{n}' for z in range(zones) for n in range(per_zone)]
    nodes = {m.name: _Daemon(m, clock, slices) for m in members}
    coroutines = []
    for node in nodes.values():
        node.membership.observe(members)
        coroutines.append(node.send_heartbeats())
    for slice_name, node in zip(slices, nodes.values(), strict=True):
        coroutines.append(
            node.append_changes(slice_name, CHANGES_PER_SECOND / len(slices))
        )
    for one, two in _list_pairs(nodes, is_full):
        ends = _StreamEnd(nodes[one].counts), _StreamEnd(nodes[two].counts)
        ends[0].peer, ends[1].peer = ends[1], ends[0]
        for name, end in zip((one, two), ends, strict=True):
            coroutines.append(_converse(nodes[name], end))
    tasks = [asyncio.create_task(some) for some in coroutines]
    await asyncio.sleep(2 * HEARTBEAT_SECONDS)
    for node in nodes.values():
        node.counts.messages = node.counts.sent_bytes = 0
        node.counts.received_bytes = 0
    cpu_seconds = time.process_time()
    await asyncio.sleep(seconds)
    cpu_seconds = time.process_time() - cpu_seconds
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    counts = [node.counts for node in nodes.values()]
    share = seconds * len(nodes)
    return MeshCost(
        sum(c.messages for c in counts) / share,
        cpu_seconds / share,
        sum(c.sent_bytes for c in counts) / share,
        max(c.sent_bytes + c.received_bytes for c in counts) / seconds,
        min(len(node.membership.list_active()) for node in nodes.values()),
    )


def _list_pairs(
    nodes: dict[str, _Daemon], is_full: bool
) -> list[tuple[str, str]]:
    if is_full:
        return [(one, two) for one in nodes for two in nodes if one < two]
    return [
        (name, partner.name)
        for name, node in nodes.items()
        for partner in choose_peers(node.membership, ZONE_LINKS)
        if name < partner.name
    ]


async def _converse(node: _Daemon, end: _StreamEnd) -> None:
    await exchange_heartbeats(
        end,
        node.codec,
        asyncio.Event,
        HEARTBEAT_SECONDS,
        SILENCE_SECONDS,
        lambda _: None,
    )


class _EchoService(peer_grpc.PeerBase):
    """Echoes heartbeats on a stream, and serves a unary call."""

    async def Exchange(  # noqa: N802
        self, stream: Stream[peer_pb2.Heartbeat, peer_pb2.Heartbeat]
    ) -> None:
        async for message in stream:
            await stream.send_message(message)

    async def Wake(  # noqa: N802
        self, stream: Stream[peer_pb2.Nudge, peer_pb2.Empty]
    ) -> None:
        await stream.recv_message()
        await stream.send_message(peer_pb2.Empty())

    async def ListChanges(self, stream: object) -> None:  # noqa: N802
        raise NotImplementedError

    async def ListEvents(self, stream: object) -> None:  # noqa: N802
        raise NotImplementedError

    async def Describe(self, stream: object) -> None:  # noqa: N802
        raise NotImplementedError


async def measure_transport(rounds: int) -> tuple[float, float]:
    """Measures the cost of messages on a real connection.

    Returns:
      CPU time in seconds, of both ends together, of a message and its
      response on an open stream, and of a unary call.
    """
    server = Server([_EchoService()])
    (bound,) = bind_sockets(0, '127.0.0.1')
    await server.start(sock=bound)
    channel = Channel('127.0.0.1', bound.getsockname()[1])
    stub = peer_grpc.PeerStub(channel)
    message = peer_pb2.Heartbeat(revision=1)
    try:
        async with stub.Exchange.open() as stream:
            await stream.send_message(message)
            await stream.recv_message()
            cpu_seconds = time.process_time()
            for _ in range(rounds):
                await stream.send_message(message)
                await stream.recv_message()
            streamed = (time.process_time() - cpu_seconds) / rounds
            await stream.end()
        nudge = peer_pb2.Nudge(slice='a/0')
        await stub.Wake(nudge)
        cpu_seconds = time.process_time()
        for _ in range(rounds):
            await stub.Wake(nudge)
        unary = (time.process_time() - cpu_seconds) / rounds
    finally:
        channel.close()
        server.close()
        await server.wait_closed()
    return streamed, unary
