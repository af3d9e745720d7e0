"""Calls to the service that knows which workers may run a step."""

from __future__ import annotations

import attrs
import orjson

from lentilmount.upstream.http import HttpClient


@attrs.frozen
class Tickets:
    """What the service allows.

    Attributes:
      by_worker: A ticket for each worker that may run the step.
      valid_seconds: How long they may be used.
    """

    by_worker: dict[str, str]
    valid_seconds: float


@attrs.define
class AdviceClient:
    """Calls to the advice service.

    Attributes:
      caller: Sends the calls.
      timeout: Seconds for a call.
    """

    caller: HttpClient
    timeout: float

    async def ask(self, step: str, workers: list[str]) -> Tickets | None:
        """Asks which workers may run a step; None if there is no answer.

        Args:
          step: Job, occurrence and number of the step.
          workers: Ids, at most 100.
        """
        body = orjson.dumps({'step': step, 'workers': workers})
        answer = await self.caller.call(
            'POST',
            '/advise',
            body,
            {'Content-Type': 'application/json'},
            timeout=self.timeout,
        )
        if answer.status != 200:
            return None
        try:
            document = orjson.loads(answer.body)
            return Tickets(
                dict(document['eligible']),
                float(document['validityMs']) / 1000,
            )
        except (ValueError, TypeError, KeyError):
            return None
