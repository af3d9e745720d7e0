"""Forwards workers' reports from owned slices to the routing."""

from __future__ import annotations

import asyncio

from lentilmount.batch.manager import SliceManager
from lentilmount.batch.worker_session import WorkerSession
from lentilmount.routing.leaving import LeavingMark
from lentilmount.routing.pools import Pools
from lentilmount.upstream.workers import Usage

POLL_SECONDS = 0.25
"""Period of the polls. A worker's state reaches the routing of a daemon after
one sync, one poll and one heartbeat."""


class WorkerFeed:
    """Polls the worker sessions of the slices that this daemon owns."""

    def __init__(self, manager: SliceManager, pools: Pools):
        self._manager = manager
        self._pools = pools
        self._forwarded_usage: dict[str, tuple[Usage, ...]] = {}

    async def run(self) -> None:
        """Polls until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            for owner in self._manager.owners.values():
                for session in owner.sessions.values():
                    self._forward(session)

    def _forward(self, session: WorkerSession) -> None:
        # A report that is applied again with each poll would outweigh what
        # the answers to callers show.
        if self._forwarded_usage.get(session.name) is not session.usage:
            self._forwarded_usage[session.name] = session.usage
            self._pools.update_usage(session.usage)
        if session.record.leaving:
            mark = LeavingMark(session.name, session.record.boot)
            self._pools.mark_leaving(mark, 'the worker')
