"""Polls the list of workers that are registered in the store."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Iterable, Mapping

import attrs
import logbook

from lentilmount.control.cordons import Cordons
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.documents import decode_registration
from lentilmount.platform.store import WORKERS_TABLE, PlatformTable, RawRow
from lentilmount.scheduling.reports import WorkerEntry

log = logbook.Logger('registry')

POLL_SECONDS = 0.4
"""Interval between reads of a short list. A draining worker may be given work
for 2 s after it says so; a feed would return each heartbeat instead."""

MAX_POLL_SECONDS = 0.8
"""Interval between reads of a long list. Two reads, each taking 0.2 s on the
slowest link, fit well into the 2 s during which a draining worker may be given
work; for services with longer lists that time is 3 s."""

ROWS_PER_SECOND = 250.0
"""Entries read per second above which reads become less frequent. An entry has
about 430 bytes, so this takes 0.9 Mbit/s of the 5 of the slowest link. Reading
300 workers every 0.4 s took 2.5 Mbit/s, more than all commands on a quiet
day."""

ENTRY_BYTES = 430
"""Bytes of an entry in an answer."""

MAX_LINK_SHARE = 0.15
"""Share of the host's link above which reads become less frequent: the answers
to calls to workers need the rest."""

LOGGED_WORKERS = 10
"""Number of workers that a log line names at most."""

START_SECONDS = 0.6
"""Time from the last look at a registration until the start that follows from
it has arrived at the worker."""

MAX_LIST_SECONDS = 2.5
"""Longest time after the request of a list for which starts go by it: it may
lack that a worker drains, however new the entry is."""

RETURN_SECONDS = 2.2
"""Time after an outage of the store during which the list may be incomplete.
Entries that expired in the outage are written again within about 2 s; a list
requested earlier may lack them."""


def choose_pause(
    entries: int, link_bytes_per_second: float = math.inf
) -> float:
    """Returns the seconds until a list of that many entries is read again."""
    on_link = entries * ENTRY_BYTES / (MAX_LINK_SHARE * link_bytes_per_second)
    pause = max(entries / ROWS_PER_SECOND, on_link)
    return min(max(POLL_SECONDS, pause), MAX_POLL_SECONDS)


@attrs.define
class _Decoder:
    """Decodes registrations, each version once.

    A worker writes its registration each second or so, and the list is read
    more often than that.
    """

    _known: dict[str, tuple[int, WorkerEntry | None]] = attrs.Factory(dict)

    def decode(self, rows: Iterable[RawRow]) -> dict[str, WorkerEntry | None]:
        """Returns the entries by key; None for malformed ones."""
        known, self._known = self._known, {}
        for row in rows:
            found = known.get(row.key)
            if found is None or found[0] != row.version:
                found = (row.version, decode_registration(row.key, row.value))
            self._known[row.key] = found
        return {key: entry for key, (_, entry) in self._known.items()}


async def poll_workers(
    table: PlatformTable,
    service: str,
    on_entry: Callable[[WorkerEntry], None],
    on_missing: Callable[[str], None],
    monotonic: Callable[[], float] = time.monotonic,
    on_complete: Callable[[], None] = lambda: None,
    is_complete: bool = True,
    link_bytes_per_second: float = math.inf,
    capacity_seconds: float = math.inf,
    cordon_seconds: float = math.inf,
) -> None:
    """Reports each worker's registration, and its disappearance.

    Args:
      table: Table where workers register.
      service: Name of the service whose workers are reported.
      on_entry: Called with each entry of each read.
      on_missing: Called with the id of a worker whose entry is gone.
      monotonic: Clock for durations.
      on_complete: Called after each read of a list that is certainly complete.
      is_complete: Whether the list is complete at first. It may not be if the
        store may have been unavailable until now.
      link_bytes_per_second: Rate of the host's network link.
      capacity_seconds: Time after which a capacity that has shrunk binds.
      cordon_seconds: Time after which the cordon of a zone binds.
    """
    decoder = _Decoder()
    cordons = Cordons(table, monotonic, cordon_seconds)
    logged_cordons: dict[str, int] = {}
    known: set[str] = set()
    unreadable: set[str] = set()
    outdated: set[str] = set()
    complete_from = -math.inf if is_complete else math.inf
    while True:
        sent_at = monotonic()
        try:
            found, _ = await asyncio.gather(
                table.read_all(WORKERS_TABLE), cordons.refresh()
            )
        except UnavailableError as error:
            log.warning('Cannot read the list of workers: {}', error)
            complete_from = math.inf
            await asyncio.sleep(POLL_SECONDS)
            continue
        complete_from = min(complete_from, monotonic() + RETURN_SECONDS)
        seen = set()
        previously_outdated, outdated = outdated, set()
        now = monotonic()
        in_cordons = dict.fromkeys(cordons.zones, 0)
        written_at = _find_write_times(table, found.rows, sent_at, now)
        for key, entry in decoder.decode(found.rows).items():
            if entry is None:
                if key not in unreadable:
                    log.warning('Entry {} describes no valid worker.', key)
                unreadable.add(key)
            elif entry.service == service:
                seen.add(entry.id)
                usable_until = min(
                    written_at[key] + capacity_seconds - START_SECONDS,
                    sent_at + MAX_LIST_SECONDS,
                    cordons.valid_until - START_SECONDS,
                )
                if now > usable_until:
                    outdated.add(entry.id)
                is_cordoned = entry.zone in cordons.zones
                if is_cordoned:
                    in_cordons[entry.zone] += 1
                on_entry(
                    attrs.evolve(
                        entry,
                        usable_until=usable_until,
                        is_cordoned=is_cordoned,
                    )
                )
        _log_outdated(previously_outdated, outdated, service)
        if in_cordons.keys() != logged_cordons.keys():
            _log_cordons(logged_cordons, in_cordons, service)
            logged_cordons = in_cordons
        if sent_at >= complete_from:
            for worker_id in known - seen:
                on_missing(worker_id)
            known = seen
            on_complete()
        else:
            known |= seen
        await asyncio.sleep(
            choose_pause(len(found.rows), link_bytes_per_second)
        )


def _log_outdated(before: set[str], outdated: set[str], service: str) -> None:
    """Logs which workers get no starts as their registrations are too old."""
    if outdated == before:
        return
    log.info(
        '{} registrations are too old to start tasks by.',
        len(outdated),
        extra={
            'service': service,
            'workers': sorted(outdated)[:LOGGED_WORKERS],
        },
    )


def _log_cordons(
    before: Mapping[str, int], workers: Mapping[str, int], service: str
) -> None:
    """Logs which zones are cordoned.

    Args:
      before: Number of workers by cordoned zone when it was logged last.
      workers: The same now; none in a zone that does not exist.
      service: Name of the service.
    """
    log.info(
        'Cordoned zones: {}.',
        ', '.join(sorted(workers)) or 'none',
        extra={
            'service': service,
            'workers': dict(workers),
            'uncordoned': sorted(before.keys() - workers.keys()),
        },
    )


def _find_write_times(
    table: PlatformTable, rows: Iterable[RawRow], sent_at: float, now: float
) -> dict[str, float]:
    """Returns when each row may have been written at the earliest, by key.

    A row that is read again is no newer for that: in an outage of the store no
    worker writes. Of rows older than all that this process has seen, only the
    least age is known.

    Args:
      table: Table that was read.
      rows: The rows.
      sent_at: Monotonic time at which they were requested.
      now: Monotonic time.
    """
    ages = table.version_times.bound_ages({row.version for row in rows})
    found = {}
    for row in rows:
        age = ages[row.version]
        most = age.most if age.most < math.inf else age.least
        found[row.key] = min(sent_at, now - most)
    return found
