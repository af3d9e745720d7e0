"""What other daemons report about the store, and which of them to ask next.

Load pattern: the store fails for some or all of hundreds of daemons, and each
of those asks the others whether it answers them. If each asked all others
several times per second, the calls would grow with the square of the number of
daemons and fill their processors and links just then. So a daemon that knows of
others that reach the store asks only some of those, and one that does not asks
a bounded number at a time, in turn.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping

import attrs

OUTAGE_SECONDS = 0.8
"""Time without a successful answer, with a failed call since, after which the
store counts as unreachable. An owner renews its lease every 0.5 s."""

VALID_SECONDS = 1.0
"""How long a report is used beyond the time that a round of reports takes."""

MAX_PEERS = 32
"""Maximum number of daemons asked at once where none is known to reach the
store: each of them, on deployments of up to 33 hosts."""

MAX_RELAYS = 8
"""Maximum number of daemons asked at once of those that reach the store. All
are lost at once only in a larger outage, which the next round finds."""

MAX_OUTAGE_SPAN_SECONDS = 1.2
"""Maximum time between the reports that together confirm an outage for all.

With the time for which it is believed, that is the lease of an owner, which
must not act on an outage that has been over for longer."""


@attrs.frozen
class PeerReport:
    """Report of another daemon about the store.

    Attributes:
      asked_at: Monotonic time at which it was asked, in seconds.
      age: Seconds since the store last answered it, or None if the daemon did
        not answer.
    """

    asked_at: float
    age: float | None

    @property
    def is_reachable(self) -> bool:
        """Whether the store answered that daemon."""
        return self.age is not None and self.age < OUTAGE_SECONDS

    @property
    def unreachable_since(self) -> float:
        """Monotonic time since which the store has not answered it."""
        return self.asked_at - (self.age or 0.0)


@attrs.frozen
class ConfirmedOutage:
    """A time at which the store answered no daemon.

    Attributes:
      at: That time, a monotonic time in seconds.
      span: Seconds between the first and the last of the reports.
    """

    at: float = -math.inf
    span: float = 0.0


@attrs.define
class PeerReports:
    """Newest report of each other daemon.

    Attributes:
      monotonic: Returns monotonic time in seconds.
    """

    monotonic: Callable[[], float]
    _reports: dict[str, PeerReport] = attrs.Factory(dict)

    def choose(self, others: list[str]) -> list[str]:
        """Returns the daemons to ask next.

        Args:
          others: Addresses of all other daemons.
        """
        if len(others) <= MAX_PEERS:
            return others
        reachable = self.list_reachable(others)
        if reachable:
            random.shuffle(reachable)
            return reachable[:MAX_RELAYS]
        return sorted(others, key=self._get_asked_at)[:MAX_PEERS]

    def _get_asked_at(self, address: str) -> float:
        report = self._reports.get(address)
        return -math.inf if report is None else report.asked_at

    def record(self, asked_at: float, ages: Mapping[str, float | None]) -> None:
        """Records the answers of daemons that were asked at the same time.

        Args:
          asked_at: Monotonic time in seconds.
          ages: See `PeerReport`, by address.
        """
        for address, age in ages.items():
            self._reports[address] = PeerReport(asked_at, age)

    def _list_recent(
        self, others: list[str], seconds: float
    ) -> dict[str, PeerReport]:
        now = self.monotonic()
        return {
            address: report
            for address in others
            if (report := self._reports.get(address)) is not None
            and now - report.asked_at < seconds
        }

    def has_asked(self, others: list[str]) -> bool:
        """Returns whether any daemon was asked lately."""
        return bool(self._list_recent(others, VALID_SECONDS))

    def list_reachable(self, others: list[str]) -> list[str]:
        """Lists the daemons that lately reached the store."""
        return [
            address
            for address, report in self._list_recent(
                others, VALID_SECONDS
            ).items()
            if report.is_reachable
        ]

    def find_outage(self, others: list[str]) -> ConfirmedOutage | None:
        """Returns an outage for all daemons if the reports confirm one.

        That is so if a majority of the daemons, the asking one included,
        reports, and there is a time at which the store answered none of these.
        """
        reports = [
            report
            for report in self._list_recent(
                others, VALID_SECONDS + MAX_OUTAGE_SPAN_SECONDS
            ).values()
            if report.age is not None
        ]
        if 2 * (len(reports) + 1) <= len(others) + 1:
            return None
        if any(report.is_reachable for report in reports):
            return None
        times = [report.asked_at for report in reports] or [self.monotonic()]
        outage = ConfirmedOutage(min(times), max(times) - min(times))
        if outage.span > MAX_OUTAGE_SPAN_SECONDS or any(
            report.unreachable_since > outage.at for report in reports
        ):
            return None
        return outage
