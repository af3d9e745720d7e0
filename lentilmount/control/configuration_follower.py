"""Keeps the configuration of a daemon up to date."""

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

MAX_FEED_WAIT_SECONDS = 0.8
"""Longest time for which the store's feed is asked to wait for a change."""

FEED_WAIT_SHARE = 0.25
"""The same as a share of the time in which a change must be in force. An answer
is as old as its call, so two calls in a row must fit into that time, also when
the store is slow."""

SOURCE_WAIT_SHARE = 0.125
"""The same for a peer as the source, whose own data has an age already."""

MAX_SOURCE_AGE_SHARE = 0.75
"""Age, as a share of the time in which a change must be in force, above which
the answer of a peer is too old and the store is read, without a wait."""

AGE_CHECK_SECONDS = 0.1
"""Period of the check of the configuration's age."""


async def watch_age(routes: RouteTable) -> None:
    """Logs when the configuration becomes outdated or up to date again."""
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
        await asyncio.sleep(AGE_CHECK_SECONDS)


async def follow_configuration(
    table: PlatformTable,
    routes: RouteTable,
    sources: ConfigurationSources | None = None,
) -> None:
    """Keeps a route table up to date until it is cancelled.

    Args:
      table: Client of the store with the configuration.
      routes: The route table.
      sources: The daemons that may serve the configuration, if any.
    """
    wait = min(MAX_FEED_WAIT_SECONDS, FEED_WAIT_SHARE * routes.apply_timeout)
    feed = TableFeed(
        table, CONFIGURATION_TABLE, wait, monotonic=routes.monotonic
    )
    while True:
        if sources is not None and await _follow_source(sources, routes):
            continue
        has_no_source = sources is None or not sources.choose()
        feed.wait_seconds = wait if has_no_source else 0.0
        await _follow_store(feed, routes)
        if routes.current is None and feed.position is not None:
            # The operators have not written any configuration yet.
            feed.position = None
            await asyncio.sleep(RETRY_SECONDS)


async def _follow_source(
    sources: ConfigurationSources, routes: RouteTable
) -> bool:
    """Reads from a peer; returns whether the configuration is fresh now."""
    wait = SOURCE_WAIT_SHARE * routes.apply_timeout
    found = await sources.read(routes.version, wait)
    if found is None:
        return False
    row = found.row
    if row is not None:
        routes.apply_row(row, routes.monotonic() - found.as_of)
        if routes.version < row.version:
            return False
    routes.confirm(found.as_of, found.position)
    return routes.age < MAX_SOURCE_AGE_SHARE * routes.apply_timeout


async def _follow_store(feed: TableFeed, routes: RouteTable) -> None:
    if feed.position is not None:
        # A peer may have advanced the position, and the store keeps its
        # history for seconds only.
        feed.position = max(feed.position, routes.position)
    for row in await feed.read():
        if row.key == CONFIGURATION_KEY:
            routes.apply_row(row, routes.monotonic() - feed.as_of)
    routes.confirm(feed.as_of, feed.position)
