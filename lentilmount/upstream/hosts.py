"""The platform's host list, as Prometheus HTTP service discovery."""

from __future__ import annotations

import json
from typing import Any, Protocol

import attrs

from lentilmount.errors import StoreError
from lentilmount.upstream.http import HttpClient


@attrs.frozen
class Host:
    """A host of the list; the list lags behind the truth.

    Attributes:
      name: The worker's name.
      address: IP number and port of its API.
      zone: Its availability zone.
      rack: Its rack.
      leaving: Whether it is going away.
    """

    name: str
    address: str
    zone: str
    rack: str
    leaving: bool


class HostList(Protocol):
    """The platform's host list."""

    async def list_hosts(self) -> list[Host]:
        """Reads the whole list; the same object while it has not changed."""


def parse_hosts(groups: list[Any]) -> list[Host]:
    """Reads target groups of the protocol."""
    return [
        Host(
            name=group['labels']['name'],
            address=target,
            zone=group['labels']['zone'],
            rack=group['labels']['rack'],
            leaving=group['labels'].get('state') == 'leaving',
        )
        for group in groups
        for target in group['targets']
    ]


class HttpHostList:
    """The `HostList` protocol over HTTP."""

    def __init__(self, base: str, timeout: float = 2.0):
        self._caller = HttpClient(base, timeout)
        self._etag = ''
        self._hosts: list[Host] = []

    async def list_hosts(self) -> list[Host]:
        """See `HostList`."""
        headers = {'If-None-Match': self._etag} if self._etag else None
        answer = await self._caller.call('GET', '/v1/hosts', headers=headers)
        if answer.status == 304:
            return self._hosts
        if answer.status != 200:
            raise StoreError(f'host list: HTTP status {answer.status}')
        self._hosts = parse_hosts(json.loads(answer.body))
        self._etag = answer.headers.get('Etag', '')
        return self._hosts

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()
