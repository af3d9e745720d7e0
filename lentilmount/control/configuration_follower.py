"""Keeping the configuration of a daemon up to date."""

from __future__ import annotations

import asyncio

import logbook

from lentilmount.control.configuration_relay import ConfigurationSources
from lentilmount.control.routes import RouteTable
from lentilmount.control.table_feed import RETRY_SECONDS, TableFeed
from lentilmount.platform.store import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    PlatformTable,
)

log = logbook.Logger('configuration')

FEED_SECONDS = 0.8
"""Longest time for which the feed is asked to wait."""

FEED_SHARE = 0.25
"""The same as a share of the time in which a change is due. What a call told is
as old as the call, so two of them in a row have to fit into that time, also
from a store that is slow."""

SOURCE_SHARE = 0.125
"""The same for another daemon, which itself knows what the store told."""

STALE_SHARE = 0.75
"""Age, as a share of the time in which a change is due, from which another
daemon's word is not enough and the store is asked, without a wait."""

WATCH_SECONDS = 0.1
"""Between two looks at the age of the configuration."""


async def watch_age(routes: RouteTable) -> None:
    """Logs when the configuration becomes outdated, and when it is no more."""
    was_outdated = True
    while True:
        if routes.is_outdated is not was_outdated:
            was_outdated = routes.is_outdated
            if was_outdated:
                log.warning(
                    'The configuration may be outdated.',
                    extra={'age': round(routes.age, 3)},
                )
            else:
                log.info('The configuration is up to date.')
        await asyncio.sleep(WATCH_SECONDS)


async def follow_configuration(
    table: PlatformTable,
    routes: RouteTable,
    sources: ConfigurationSources | None = None,
) -> None:
    """Keeps a route table up to date for as long as it runs.

    Args:
      table: Where the configuration is.
      routes: The route table.
      sources: The daemons that pass it on, if there are any.
    """
    wait = min(FEED_SECONDS, FEED_SHARE * routes.apply_timeout)
    feed = TableFeed(
        table, CONFIGURATION_TABLE, wait, monotonic=routes.monotonic
    )
    while True:
        if sources is not None and await _follow_source(sources, routes):
            continue
        is_alone = sources is None or not sources.choose()
        feed.wait_seconds = wait if is_alone else 0.0
        await _follow_store(feed, routes)
        if routes.current is None and feed.position is not None:
            # The operators have not written it yet.
            feed.position = None
            await asyncio.sleep(RETRY_SECONDS)


async def _follow_source(
    sources: ConfigurationSources, routes: RouteTable
) -> bool:
    """Asks another daemon; returns whether what is known now is fresh."""
    wait = SOURCE_SHARE * routes.apply_timeout
    reading = await sources.read(routes.version, wait)
    if reading is None:
        return False
    row = reading.row
    if row is not None:
        routes.apply_row(row, routes.monotonic() - reading.as_of)
        if routes.version < row.version:
            return False
    routes.confirm(reading.as_of, reading.position)
    return routes.age < STALE_SHARE * routes.apply_timeout


async def _follow_store(feed: TableFeed, routes: RouteTable) -> None:
    if feed.position is not None:
        # The store keeps its history for seconds only.
        feed.position = max(feed.position, routes.position)
    for row in await feed.read():
        if row.key == CONFIGURATION_KEY:
            routes.apply_row(row, routes.monotonic() - feed.as_of)
    routes.confirm(feed.as_of, feed.position)
