"""Passes what the owner of a slice learns of its workers to the routing."""

from __future__ import annotations

import asyncio

from lentilmount.batch.manager import SliceManager
from lentilmount.batch.worker_session import WorkerSession
from lentilmount.routing.leaving import LeavingMark
from lentilmount.routing.pools import Pools
from lentilmount.upstream.workers import Usage

LOOK_SECONDS = 0.25
"""A worker's word takes one sync, one look and one heartbeat to get around."""


class WorkerFeed:
    """Looks at the links of the slices that this daemon owns."""

    def __init__(self, manager: SliceManager, pools: Pools):
        self._manager = manager
        self._pools = pools
        self._passed: dict[str, tuple[Usage, ...]] = {}

    async def run(self) -> None:
        """Looks until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            for owner in self._manager.owners.values():
                for session in owner.sessions.values():
                    self._pass_on(session)

    def _pass_on(self, session: WorkerSession) -> None:
        # The same report taken in again with each look would outweigh what
        # the callers' own answers show.
        if self._passed.get(session.name) is not session.usage:
            self._passed[session.name] = session.usage
            self._pools.update_usage(session.usage)
        if session.record.leaving:
            mark = LeavingMark(session.name, session.record.boot)
            self._pools.mark_leaving(mark, 'the worker')
