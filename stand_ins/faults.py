"""Fault injection for the stand-ins, set over HTTP."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs
from tornado.web import HTTPError, RequestHandler

FAULTS_PATH = '/_faults'


@attrs.define
class Faults:
    """Current faults of one stand-in.

    Attributes:
      down: Whether every connection is closed before the call is handled.
      delay: Additional seconds before each call is handled.
      lose_answers: Number of next connections that are closed after the call
        was handled.
      lose_requests: Number of next connections that are closed before the
        call is handled.
      late_writes: If not 0, writes get no answer, and are applied after this
        many seconds.
      fail_starts: Whether every attempt fails on the worker at its start.
      slowdown: Factor on the service time of the worker's requests.
      hold: Whether jobs on the worker make no progress.
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
        """Sets the given faults, by field name.

        Raises:
          HTTPError: A name is not a field.
        """
        for name, value in values.items():
            if name not in attrs.asdict(self):
                raise HTTPError(400, reason=f'unknown fault {name}')
            setattr(self, name, value)


class FaultyHandler(RequestHandler):
    """Base of the handlers that apply `Faults` to each call."""

    def initialize(self, **parts: Any) -> None:
        """Stores the objects that the handler works on."""
        self.parts = parts
        self.faults: Faults = parts['faults']
        self.cut = False

    async def prepare(self) -> None:
        """Applies the faults that precede the handling of a call."""
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
        """Returns whether the answer is lost; if so, cuts the connection."""
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        self.cut_off()
        return True

    def reply(self, value: Any, status: int = 200) -> None:
        """Answers with JSON, unless a fault suppresses the answer."""
        if self.cut or self.lose_answer():
            return
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps(value))


class FaultsHandler(RequestHandler):
    """Reads and sets the faults of a stand-in."""

    def initialize(self, faults: Faults) -> None:
        """Stores the faults."""
        self.faults = faults

    def get(self) -> None:
        """Answers with the current faults."""
        self.finish(attrs.asdict(self.faults))

    def post(self) -> None:
        """Sets the faults that the body names; answers with all faults."""
        self.faults.update(json.loads(self.request.body))
        self.finish(attrs.asdict(self.faults))
