"""Passes what the owner of a slice learns of its workers to the routing."""

from __future__ import annotations

import asyncio

from lentilmount.batch.links import Link
from lentilmount.batch.manager import SliceManager
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
                for link in owner.links.values():
                    self._pass_on(link)

    def _pass_on(self, link: Link) -> None:
        # The same report taken in again with each look would outweigh what
        # the callers' own answers show.
        if self._passed.get(link.name) is not link.usage:
            self._passed[link.name] = link.usage
            self._pools.update_usage(link.usage)
        if link.record.leaving:
            mark = LeavingMark(link.name, link.record.boot)
            self._pools.mark_leaving(mark, 'the worker')
