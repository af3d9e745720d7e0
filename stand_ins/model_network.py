"""Calls to model workers, which get lost or arrive late, and a table."""

from __future__ import annotations

import asyncio
import enum
import math

import attrs
import orjson

from lentilmount.coordination.table import (
    ConflictError,
    Delete,
    Key,
    Operation,
    Put,
    Row,
    UnavailableError,
)
from lentilmount.platform.store import (
    PAGE_ROWS,
    Changes,
    HistoryLostError,
    PlatformTable,
    RawRow,
    RefusedError,
    decode_row,
)
from lentilmount.upstream.http import (
    CURL_ERROR,
    HEAD_BYTES,
    HttpClient,
    HttpResponse,
    measure_request,
)
from lentilmount.version_times import VersionTimes
from stand_ins.host_link import HostLink
from stand_ins.model_worker import POLL_PATH, START_PATH, ModelWorker
from stand_ins.rowstore import Address, Change, RowStore

CALL_SECONDS = 0.004
NEVER = 3600.0
TABLE_TIMEOUT_SECONDS = 0.6
REFUSED_STATUS = 503
OTHER_INSTANCE_STATUS = 421
EXPECTED_INSTANCE = 'X-Expected-Instance'
STATES_PREFIX = 'states/'
"""Start of the partitions with the state rows of jobs."""

NO_ANSWER = HttpResponse(CURL_ERROR, b'', {})


class Fault(enum.Enum):
    """What happens to a call.

    LOST calls are not carried out, UNANSWERED ones at once, LATE ones seconds
    later; none of them is answered. SLOW ones are delayed on both ways. The
    connection of RESET ones is reset once they are carried out, and the worker
    refuses starts from then on, for their delay.
    """

    NONE = 'none'
    LOST = 'lost'
    UNANSWERED = 'unanswered'
    LATE = 'late'
    SLOW = 'slow'
    RESET = 'reset'


@attrs.frozen
class CallFault:
    """Fault of one call, and its delay in seconds if it has one."""

    fault: Fault = Fault.NONE
    seconds: float = 0.0


class WriteFault(enum.Enum):
    """What happens to a write of the table.

    UNAVAILABLE and CONFLICTING ones are not applied, UNANSWERED ones are. SLOW
    ones are delayed before they are applied.
    """

    NONE = 'none'
    UNAVAILABLE = 'unavailable'
    UNANSWERED = 'unanswered'
    CONFLICTING = 'conflicting'
    SLOW = 'slow'


@attrs.frozen
class TableFault:
    """Fault of one write, and its delay in seconds if it has one."""

    fault: WriteFault = WriteFault.NONE
    seconds: float = 0.0


@attrs.define(eq=False)
class Link:
    """The way to the worker at one address.

    Attributes:
      worker: The worker, which may replace one that has crashed. The numbers of
        their incarnations go on.
      loses_calls: Whether no call arrives.
      loses_answers: Whether no answer arrives.
      faults: Faults of the next calls, by path.
      disturbed_at: Time in seconds of the newest fault.
      cuts: Times in seconds at which it was cut off and healed.
      reported_at: Time in seconds at which the first report of an incarnation
        arrived, by the number of the incarnation.
      refuses_until: Time in seconds until which the worker refuses starts, as
        it is unhealthy.
    """

    worker: ModelWorker
    loses_calls: bool = False
    loses_answers: bool = False
    faults: dict[str, list[CallFault]] = attrs.Factory(dict)
    disturbed_at: float = -math.inf
    cuts: list[tuple[float, float]] = attrs.Factory(list)
    reported_at: dict[int, float] = attrs.Factory(dict)
    refuses_until: float = -math.inf

    def cut(self, loses_calls: bool, loses_answers: bool, now: float) -> None:
        """Cuts the worker off, both ways or one, or heals the link."""
        is_cut = loses_calls or loses_answers
        if self.is_cut and not is_cut:
            self.disturbed_at = now
            self.cuts[-1] = (self.cuts[-1][0], now)
        elif is_cut and not self.is_cut:
            self.cuts.append((now, math.inf))
        self.loses_calls, self.loses_answers = loses_calls, loses_answers

    def is_cut_during(self, start: float, end: float) -> bool:
        """Returns whether it was cut off all the time between two times."""
        return any(cut <= start and end <= healed for cut, healed in self.cuts)

    @property
    def is_cut(self) -> bool:
        """Whether calls or their answers are lost."""
        return self.loses_calls or self.loses_answers

    def take_fault(self, path: str) -> CallFault:
        """Returns the fault of a call that is being sent."""
        faults = self.faults.get(path)
        fault = faults.pop(0) if faults else CallFault()
        if self.loses_calls and fault.fault is not Fault.LATE:
            return CallFault(Fault.LOST)
        return fault


@attrs.define(eq=False)
class Network(HttpClient):
    """Sends the calls of owners to model workers.

    Attributes:
      links: Links by address.
      late_calls: Number of calls that are still to be carried out late.
      repeats_reset_calls: Whether a call whose connection is reset is sent
        again unasked, and the answer to the copy is taken for its answer, as
        libcurl does on a reused connection.
      host_link: The link of the host that sends the calls.
    """

    links: dict[str, Link] = attrs.Factory(dict)
    late_calls: int = 0
    repeats_reset_calls: bool = False
    host_link: HostLink = attrs.Factory(HostLink)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None,
        timeout: float | None,
        base: str | None,
        total_timeout: float | None,
        reads_headers: bool,
        connect_timeout: float,
    ) -> HttpResponse:
        """See `HttpClient`."""
        link = self.links.get(str(base).removeprefix('http://'))
        if link is None:
            await asyncio.sleep(CALL_SECONDS)
            return NO_ANSWER
        try:
            async with asyncio.timeout(timeout):
                size = measure_request(path, body, headers)
                expected = (headers or {}).get(EXPECTED_INSTANCE, '')
                return await self._exchange(
                    link, path, body or b'', size, expected
                )
        except TimeoutError:
            return NO_ANSWER

    async def _exchange(
        self, link: Link, path: str, body: bytes, size: int, expected: str
    ) -> HttpResponse:
        passing = self.host_link.send(size)
        fault = link.take_fault(path)
        if fault.fault is not Fault.NONE:
            link.disturbed_at = _now()
        if fault.fault is Fault.LOST:
            await asyncio.sleep(NEVER)
        delay = CALL_SECONDS
        if fault.fault in (Fault.LATE, Fault.SLOW):
            delay = fault.seconds
        arrival = self._deliver(link, path, body, passing + delay, expected)
        if fault.fault is Fault.RESET:
            await arrival
            link.refuses_until = _now() + fault.seconds
            if not self.repeats_reset_calls:
                return NO_ANSWER
            arrival = self._deliver(link, path, body, delay, expected)
        if fault.fault in (Fault.LATE, Fault.UNANSWERED):
            await asyncio.sleep(NEVER)
        response = await arrival
        if response is None:
            return NO_ANSWER
        status, document = response
        incarnation = 0
        if path == POLL_PATH and status == 200:
            wait_ms = orjson.loads(body).get('waitMs', 0)
            report = await link.worker.report(wait_ms)
            if report is None:
                return NO_ANSWER
            document = report
            incarnation = link.worker.incarnation
        answer = orjson.dumps(document)
        passing = self.host_link.receive(HEAD_BYTES + len(answer))
        await asyncio.sleep(delay + passing)
        if link.loses_answers:
            link.disturbed_at = _now()
            await asyncio.sleep(NEVER)
        link.reported_at.setdefault(incarnation, _now())
        return HttpResponse(status, answer, {})

    def _deliver(
        self, link: Link, path: str, body: bytes, delay: float, expected: str
    ) -> asyncio.Future[tuple[int, dict[str, object]] | None]:
        """Carries out a call after a delay, whether its sender waits or not."""
        loop = asyncio.get_running_loop()
        arrival: asyncio.Future[tuple[int, dict[str, object]] | None]
        arrival = loop.create_future()
        sent_to = link.worker.incarnation if link.worker.is_up else 0
        self.late_calls += 1
        sent_at = _now()

        def deliver() -> None:
            self.late_calls -= 1
            response = None
            if link.worker.is_up:
                is_late = sent_to != link.worker.incarnation
                response = _carry_out(
                    link, path, body, is_late, sent_at, expected
                )
            if not arrival.done():
                arrival.set_result(response)

        loop.call_later(delay, deliver)
        return arrival


def _carry_out(
    link: Link,
    path: str,
    body: bytes,
    is_late: bool,
    sent_at: float,
    expected: str,
) -> tuple[int, dict[str, object]] | None:
    """Carries out a call; returns its answer, None if its worker crashes."""
    if expected != link.worker.id:
        return OTHER_INSTANCE_STATUS, {'clockMs': link.worker.clock_ms}
    if path == START_PATH and _now() < link.refuses_until:
        return REFUSED_STATUS, {}
    response = link.worker.receive(path, orjson.loads(body), is_late, sent_at)
    return response if link.worker.is_up else None


class MemoryTable(PlatformTable):
    """A table client that reads and writes a store in this process.

    Args:
      store: The store.
      faults: Faults of the next writes, taken from the front.

    Attributes:
      is_cut: Whether no call arrives.
    """

    def __init__(self, store: RowStore, faults: list[TableFault] | None = None):
        super().__init__(Network(), 1.0, version_times=VersionTimes(_now))
        self.is_cut = False
        self._store = store
        self._faults = [] if faults is None else faults

    async def _pass(self, seconds: float = CALL_SECONDS) -> None:
        """Waits until a call has arrived, whose answer carries the version.

        Raises:
          UnavailableError: It does not arrive.
        """
        if self.is_cut:
            await asyncio.sleep(TABLE_TIMEOUT_SECONDS)
            raise UnavailableError('cut off')
        await asyncio.sleep(seconds)
        self.version_times.record(self._store.version, _now())

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `PlatformTable`."""
        await self._pass()
        found = {}
        for key in keys:
            change = self._store.rows.get(_make_address(key))
            if change is not None:
                found[key] = decode_row(key, _make_raw(change))
        return found

    async def scan(
        self, partition: str, after: str = '', limit: int = PAGE_ROWS
    ) -> list[Row]:
        """See `PlatformTable`."""
        changes = await self.read_all(*partition.split('/', 1))
        return [
            decode_row(Key(partition, raw.key), raw)
            for raw in changes.rows
            if raw.key > after
        ][:limit]

    async def transact(self, token: str, operations: list[Operation]) -> int:
        """See `PlatformTable`."""
        fault = self._faults.pop(0) if self._faults else TableFault()
        queued = self._store.queue_transaction(_now())
        if queued is None:
            raise RefusedError('too many transactions are waiting')
        await self._pass(CALL_SECONDS + fault.seconds + queued)
        if fault.fault is WriteFault.UNAVAILABLE:
            raise UnavailableError('fault')
        states = [o.key for o in operations if _is_state(o.key)]
        if fault.fault is WriteFault.CONFLICTING and states:
            raise ConflictError(tuple(states))
        conditions = {_make_address(o.key): o.expected for o in operations}
        writes: dict[Address, bytes | None] = {}
        for operation in operations:
            if isinstance(operation, Put):
                value = orjson.dumps([token, operation.body])
                writes[_make_address(operation.key)] = value
            elif isinstance(operation, Delete):
                writes[_make_address(operation.key)] = None
        current = self._store.transact(conditions, writes)
        version = self._store.version
        await asyncio.sleep(CALL_SECONDS)
        if fault.fault is WriteFault.UNANSWERED:
            raise UnavailableError('fault')
        if current is not None:
            raise ConflictError(
                tuple(
                    o.key
                    for o in operations
                    if current[_make_address(o.key)] != o.expected
                )
            )
        return version

    async def read_all(self, table: str, part: str = '') -> Changes:
        """See `PlatformTable`."""
        await self._pass()
        rows = self._store.scan(table, part, '', '', 10_000)
        return Changes(tuple(map(_make_raw, rows)), self._store.version)

    async def read_range(self, table: str, after: str, end: str) -> Changes:
        """See `PlatformTable`."""
        await self._pass()
        rows = self._store.scan(table, '', after + '\0', end, PAGE_ROWS)
        return Changes(tuple(map(_make_raw, rows)), self._store.version)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        """See `PlatformTable`."""
        await self._pass()
        changes = await self._store.follow(table, after, wait)
        if changes is None:
            raise HistoryLostError(table)
        return Changes(tuple(map(_make_raw, changes)), self._store.version)


def _is_state(key: Key) -> bool:
    return key.partition.startswith(STATES_PREFIX)


def _make_address(key: Key) -> Address:
    table, _, part = key.partition.partition('/')
    return table, part, key.sort


def _make_raw(change: Change) -> RawRow:
    _, part, key = change.address
    is_removed = change.value is None
    return RawRow(key, change.value or b'', change.version, is_removed, part)


def _now() -> float:
    return asyncio.get_running_loop().time()
