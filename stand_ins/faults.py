"""Switches for the faults of the platform, set over HTTP."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs
from tornado.web import HTTPError, RequestHandler

FAULTS_PATH = '/_faults'


@attrs.define
class Faults:
    """What is wrong with a stand-in at the moment.

    Attributes:
      down: Cut every connection before anything is done.
      delay: Seconds that each call takes longer.
      lose_answers: Cut this many connections after the work is done.
      lose_requests: Cut this many connections before anything is done.
      late_writes: Seconds after which a write that was cut off takes effect.
      fail_starts: A worker fails everything it starts.
      slowdown: Factor on the time that a worker takes for a request.
      hold: Jobs on a worker make no progress.
    """

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    late_writes: float = 0.0
    fail_starts: bool = False
    slowdown: float = 1.0
    hold: bool = False

    def update(self, values: dict[str, Any]) -> None:
        """Sets the switches that are named."""
        for name, value in values.items():
            if name not in attrs.asdict(self):
                raise HTTPError(400, reason=f'no switch {name}')
            setattr(self, name, value)


class FaultyHandler(RequestHandler):
    """A handler that obeys the switches."""

    def initialize(self, **parts: Any) -> None:
        """Keeps the parts of the stand-in."""
        self.parts = parts
        self.faults: Faults = parts['faults']
        self.cut = False

    async def prepare(self) -> None:
        """Applies the faults that come before the work."""
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            self.cut_off()
        elif self.faults.lose_requests > 0:
            self.faults.lose_requests -= 1
            self.cut_off()

    def cut_off(self) -> None:
        """Closes the connection without an answer."""
        self.cut = True
        self._finished = True
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def lose_answer(self) -> bool:
        """Cuts the connection after the work if so told."""
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        self.cut_off()
        return True

    def reply(self, value: Any, status: int = 200) -> None:
        """Answers with JSON."""
        if self.cut or self.lose_answer():
            return
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(value))


class FaultsHandler(RequestHandler):
    """Reads and sets the switches."""

    def initialize(self, faults: Faults) -> None:
        """Keeps the switches."""
        self.faults = faults

    def get(self) -> None:
        """Answers with the switches."""
        self.finish(attrs.asdict(self.faults))

    def post(self) -> None:
        """Sets the switches that are named in the body."""
        self.faults.update(json.loads(self.request.body))
        self.finish(attrs.asdict(self.faults))
