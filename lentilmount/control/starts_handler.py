"""Sends starts to workers for owners on other hosts; see `start_relay`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import orjson

from lentilmount.control.peer_handler import PeerHandler
from lentilmount.platform.workers import StartCommand, WorkerClient
from lentilmount.resources import Room
from lentilmount.scheduling.reports import WorkerEntry, WorkerState

STARTS_PATH = '/starts'

ANSWER_SECONDS = 0.5
"""Time after which the answers that have arrived are returned; one worker that
does not answer must not hold up those of the others."""

MakeWorkerClient = Callable[[int], WorkerClient]
"""Returns the client for workers that uses a fencing token."""


class StartsHandler(PeerHandler):
    """Sends starts to workers for the owner of their service."""

    def initialize(
        self,
        make_worker_client: MakeWorkerClient,
        is_closing: Callable[[], bool],
    ) -> None:
        """Receives the handler's arguments; see `make_peer_api`."""
        self.is_closing = is_closing
        self._make_worker_client = make_worker_client

    async def post(self) -> None:
        """Answers with the status of each start; null if it has none yet."""
        message = orjson.loads(self.request.body)
        client = self._make_worker_client(message['token'])
        calls = [
            asyncio.create_task(_start(client, row, message['payload']))
            for row in message['starts']
        ]
        await asyncio.wait(calls, timeout=ANSWER_SECONDS)
        self.finish(
            orjson.dumps(
                [call.result() if call.done() else None for call in calls]
            )
        )


async def _start(client: WorkerClient, row: list[Any], payload: str) -> str:
    worker_id, address, task, run, lease_until_ms, checkpoint, ticket = row
    answer = await client.start(
        _make_entry(worker_id, address),
        StartCommand(task, run, payload, lease_until_ms, checkpoint, ticket),
    )
    return answer.status.value


def _make_entry(worker_id: str, address: str) -> WorkerEntry:
    """Returns what a call to a worker needs of its registration."""
    return WorkerEntry(
        id=worker_id,
        started_ms=0,
        address=address,
        service='',
        zone='',
        state=WorkerState.READY,
        capacity=Room(),
    )
