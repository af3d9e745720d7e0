"""Queries all other daemons in parallel; None stands for no answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from lentilmount.clock import Stamp
from lentilmount.codec import decode, parse_json
from lentilmount.coordination.membership import Member
from lentilmount.daemon.peers import PEER_ERRORS
from lentilmount.events import Event
from lentilmount.queries.timeline import Cursor, EventFilter
from lentilmount.wire import peer_grpc, peer_pb2

CALL_SECONDS = 2.0

T = TypeVar('T')


class PeerAccess(Protocol):
    """Lists the other daemons and provides gRPC stubs for them."""

    def list_others(self) -> list[Member]:
        """Returns all other known daemons, without those that are stopping."""

    def get_stub(self, address: str) -> peer_grpc.PeerStub:
        """Returns the gRPC stub for a daemon's address."""


class Survey:
    """Queries all other daemons for their events and states."""

    def __init__(self, peers: PeerAccess):
        self._peers = peers

    async def list_events(
        self, wanted: EventFilter, cursor: Cursor
    ) -> dict[str, list[Event] | None]:
        """See `OtherDaemons`."""

        async def ask(member: Member) -> list[Event]:
            after = cursor.get(member.name, Stamp(wanted.since_millis, 0))
            stub = self._peers.get_stub(member.address)
            request = peer_pb2.EventsRequest(
                resource=wanted.resource,
                request=wanted.request,
                after_millis=after.millis,
                after_counter=after.counter,
                until_millis=wanted.until_millis,
                limit=wanted.limit,
            )
            reply = await stub.ListEvents(request, timeout=CALL_SECONDS)
            return [decode(body, Event) for body in reply.events]

        return await self._ask_all(ask)

    async def describe_all(self) -> dict[str, dict[str, Any] | None]:
        """Returns the state of each other daemon, or None for no answer."""

        async def ask(member: Member) -> dict[str, Any]:
            stub = self._peers.get_stub(member.address)
            reply = await stub.Describe(peer_pb2.Empty(), timeout=CALL_SECONDS)
            described: dict[str, Any] = parse_json(reply.body)
            return described

        return await self._ask_all(ask)

    async def _ask_all(
        self, ask: Callable[[Member], Awaitable[T]]
    ) -> dict[str, T | None]:
        members = self._peers.list_others()
        answers = await asyncio.gather(*(_ask(ask, m) for m in members))
        return {m.name: a for m, a in zip(members, answers, strict=True)}


async def _ask(
    ask: Callable[[Member], Awaitable[T]], member: Member
) -> T | None:
    try:
        return await ask(member)
    except PEER_ERRORS:
        return None
