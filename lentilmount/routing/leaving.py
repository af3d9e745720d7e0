"""Which workers are leaving: the first to say so is believed.

Three sources tell it: the host list, which lags; the worker or upstream
itself; and peers, which pass on what they know. A mark names the worker and
its boot and is kept for as long as that boot can matter. Nothing takes a mark
back: a list or a peer that does not mention it is merely behind. A worker
that booted anew has another boot, so the old mark does not touch it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

MAX_BOOTS = 4
"""Marks kept for one worker; only its newest boot can be routed to."""


@attrs.frozen
class LeavingMark:
    """One boot of a worker that is leaving."""

    worker: str
    boot: str


class LeavingMarks:
    """What is known to be leaving.

    Attributes:
      version: Raised with each change.
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
        """Takes in the host list, which names workers without their boot.

        The change from staying to leaving marks the boot known now, for good.
        While the list goes on naming the worker, a later boot is left alone
        too, but without a mark: the list may be speaking of the boot before.

        Args:
          leaving: Every worker that the list calls leaving.
          boots: The boot of each worker with an upstream.

        Returns:
          The marks that are new.
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
        """Tells whether a boot of a worker gets no new work."""
        marked = boot in self._boots.get(worker, ())
        return marked or worker in self._listed

    def list_marks(self) -> list[LeavingMark]:
        """Returns every mark, for peers."""
        return [
            LeavingMark(worker, boot)
            for worker, boots in self._boots.items()
            for boot in boots
        ]
