"""Client of the advice service, which decides which workers may run a step."""

from __future__ import annotations

import attrs
import orjson

from lentilmount.upstream.http import CallKind, HttpClient


@attrs.frozen
class Tickets:
    """Permissions to start a step on workers.

    Attributes:
      by_worker: A ticket for each worker that may run the step, by worker id.
      valid_seconds: Seconds for which the tickets are valid.
    """

    by_worker: dict[str, str]
    valid_seconds: float


@attrs.define
class AdviceClient:
    """Client of the advice service.

    Attributes:
      http_client: Sends the requests.
      timeout: Timeout of a call, in seconds.
    """

    http_client: HttpClient
    timeout: float

    async def ask(self, step: str, workers: list[str]) -> Tickets | None:
        """Returns the tickets for a step, or None without a usable answer.

        Args:
          step: Job, occurrence and number of the step.
          workers: Ids of the candidate workers, at most 100.
        """
        body = orjson.dumps({'step': step, 'workers': workers})
        answer = await self.http_client.call(
            'POST',
            '/advise',
            body,
            {'Content-Type': 'application/json'},
            timeout=self.timeout,
            kind=CallKind.ADVICE,
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
