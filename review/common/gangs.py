"""Gangs: their tasks work from when all are there, and end together."""

from __future__ import annotations

import asyncio
import math
from typing import Any

from stand_ins.model_worker import Execution

GANG_TIMEOUT_SECONDS = 3.0


class Gangs:
    """The gangs on all workers, by step and run.

    The payload of a gang is 'gang COUNT MS', that of other tasks 'MS'.
    """

    def __init__(self) -> None:
        self._members: dict[tuple[str, int], list[tuple[Any, Execution]]] = {}
        self._payloads: dict[str, str] = {}

    def choose_work(
        self, task: str, run: int, payload: str
    ) -> tuple[float, str]:
        if not payload.startswith('gang'):
            return int(payload) / 1000, 'done'
        self._payloads[task.rpartition('.')[0]] = payload
        asyncio.get_running_loop().call_soon(self._check, task, run)
        return math.inf, ''

    def watch(self, worker: Any) -> None:
        """Has a worker tell when runs start and end."""
        tell = worker.model.on_change

        def note(execution: Execution) -> None:
            tell(execution)
            key = (execution.task.rpartition('.')[0], execution.run)
            if not execution.kind:
                self._members.setdefault(key, []).append(
                    (worker.model, execution)
                )
            elif key in self._members:
                self._break(key, execution)

        worker.model.on_change = note

    def _check(self, task: str, run: int) -> None:
        key = (task.rpartition('.')[0], run)
        _, count, milliseconds = self._payloads[key[0]].split()
        members = self._members.get(key, [])
        present = [e for _, e in members if not e.kind]
        loop = asyncio.get_running_loop()
        if len(present) == int(count):
            loop.call_later(int(milliseconds) / 1000, self._end, key)
        elif len(members) == 1:
            loop.call_later(
                GANG_TIMEOUT_SECONDS, self._give_up, key, int(count)
            )

    def _end(self, key: tuple[str, int]) -> None:
        for model, execution in self._members.pop(key, []):
            if not execution.kind:
                model._end(execution, 'done')

    def _give_up(self, key: tuple[str, int], count: int) -> None:
        members = self._members.get(key, [])
        if len(members) == count:
            return
        for model, execution in self._members.pop(key, []):
            if not execution.kind:
                model._end(execution, 'alone')

    def _break(self, key: tuple[str, int], ended: Execution) -> None:
        if not key[0] in self._payloads:
            self._members.pop(key)
            return
        for model, execution in self._members.pop(key, []):
            if execution is not ended and not execution.kind:
                model._end(execution, 'broken')
