"""Tracks workers that are leaving, which get no new requests.

There are three sources: the host list, which lags; the worker or upstream
itself; and peers, which pass on their marks. The first source that reports a
worker as leaving decides. A mark names the worker and its boot and is never
removed early: a host list or peer that lacks it is only out of date. After a
reboot the worker has another boot id, so an old mark does not apply to it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

MAX_BOOTS = 4
"""Marks kept for one worker; requests go only to its newest boot."""


@attrs.frozen
class LeavingMark:
    """Marks one boot of a worker as leaving."""

    worker: str
    boot: str


class LeavingMarks:
    """Set of workers that are leaving.

    Attributes:
      version: Increases with each change.
    """

    def __init__(self) -> None:
        self.version = 0
        self._boots: dict[str, list[str]] = {}
        self._listed: frozenset[str] = frozenset()

    def add(self, mark: LeavingMark) -> bool:
        """Adds a mark; returns whether it was new."""
        boots = self._boots.setdefault(mark.worker, [])
        if mark.boot in boots:
            return False
        boots.append(mark.boot)
        del boots[:-MAX_BOOTS]
        self.version += 1
        return True

    def update_from_host_list(
        self, leaving: Iterable[str], boots: Mapping[str, str]
    ) -> list[LeavingMark]:
        """Applies the host list, which names workers without their boot.

        When a worker is first listed as leaving, its current boot is marked
        permanently. While the worker stays listed, a later boot gets no new
        requests either, but no mark: the list may refer to the previous boot.

        Args:
          leaving: Names of all workers that are listed as leaving.
          boots: Current boot of each worker that runs an upstream.

        Returns:
          The new marks.
        """
        listed = frozenset(leaving)
        newly_listed = listed - self._listed
        if listed != self._listed:
            self.version += 1
        self._listed = listed
        marks = [
            LeavingMark(name, boots[name])
            for name in newly_listed
            if name in boots
        ]
        return [mark for mark in marks if self.add(mark)]

    def is_leaving(self, worker: str, boot: str) -> bool:
        """Returns whether a boot of a worker gets no new requests."""
        marked = boot in self._boots.get(worker, ())
        return marked or worker in self._listed

    def list_marks(self) -> list[LeavingMark]:
        """Returns all marks, to be sent to peers."""
        return [
            LeavingMark(worker, boot)
            for worker, boots in self._boots.items()
            for boot in boots
        ]
