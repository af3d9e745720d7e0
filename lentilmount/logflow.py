"""A log handler that never blocks and limits the rate of each message.

If the reader of the daemon's output stalls, the pipe fills and a blocking
write would stop the event loop until every lease of the daemon expires. If a
fault repeats thousands of times a second, writing its lines would use the CPU
time that the work needs. So lines that do not fit the backlog are dropped, and
each kind of line has a limit per second; both are counted and reported.
"""

from __future__ import annotations

import collections
import os
import time
from collections.abc import Callable
from typing import Any

import logbook
import orjson

from lentilmount.logs import LEVELS, make_line

MAX_LINES_PER_SECOND = 200
"""Limit for each kind of line. Lines that hold many tasks stay below it at any
size; see `control/placement_log.py`. A line costs about 25 us, so one kind uses
at most 0.5% of a core."""

BACKLOG_BYTES = 256 * 1024
"""Bound on buffered output for a slow reader; lines beyond it are dropped."""

LineKind = tuple[str, str, str]
"""Name of the logger, the message before formatting, and the service or ''.
A daemon may own several services, and each is to be logged in full."""


class NonBlockingHandler(logbook.Handler):  # type: ignore[misc]
    """Writes JSON lines to a file descriptor that never blocks.

    Args:
      descriptor: File descriptor to write to; it is made non-blocking.
      level: Name of the minimum level.
      clock: Returns monotonic time in seconds, for the rate limit.
    """

    def __init__(
        self,
        descriptor: int,
        level: str,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__(LEVELS[level], bubble=False)
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._second = 0
        self._line_counts: collections.Counter[LineKind] = collections.Counter()
        self._suppressed: collections.Counter[LineKind] = collections.Counter()
        self._backlog = bytearray()
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a line, unless its kind has reached the limit per second."""
        second = int(self._clock())
        if second != self._second:
            self._report_suppressed()
            self._second = second
            self._line_counts.clear()
        kind = (
            record.channel or '',
            str(record.msg),
            str(record.extra.get('service', '')),
        )
        self._line_counts[kind] += 1
        if self._line_counts[kind] > MAX_LINES_PER_SECOND:
            self._suppressed[kind] += 1
            return
        self._write(make_line(record))

    def _report_suppressed(self) -> None:
        """Reports how many lines of each kind were left out.

        A report that does not fit the backlog is made again later.
        """
        unreported: collections.Counter[LineKind] = collections.Counter()
        for kind, count in self._suppressed.items():
            part, text, service = kind
            is_written = self._write(
                {
                    'level': 'warning',
                    'part': 'logs',
                    'message': f'Left out {count} lines.',
                    'of': f'{part}: {text}',
                    'of_service': service,
                }
            )
            if not is_written:
                unreported[kind] = count
        self._suppressed = unreported

    def _write(self, line: dict[str, Any]) -> bool:
        """Writes a line or adds it to the backlog; returns whether it fits."""
        if self.dropped and not self._backlog:
            line = {**line, 'dropped_before': self.dropped}
            self.dropped = 0
        data = orjson.dumps(line, default=str) + b'\n'
        if len(self._backlog) + len(data) > BACKLOG_BYTES:
            self.dropped += 1
            return False
        self._backlog += data
        self._flush()
        return True

    def _flush(self) -> None:
        try:
            while self._backlog:
                written = os.write(self._descriptor, self._backlog)
                del self._backlog[:written]
        except BlockingIOError:
            # The reader is slow; the rest is written with the next line.
            return
        except OSError:
            # The reader is gone, so the error cannot be reported anywhere.
            self.dropped += 1
            self._backlog.clear()
