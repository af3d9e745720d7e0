"""Client for the platform's host list (Prometheus HTTP service discovery)."""

from __future__ import annotations

import json
from typing import Any, Protocol

import attrs

from lentilmount.errors import StoreError
from lentilmount.upstream.http import HttpClient


@attrs.frozen
class Host:
    """A host of the host list, which lags behind the actual state.

    Attributes:
      name: Name of the worker.
      address: IP address and port of the worker's API.
      zone: Availability zone of the host.
      rack: Rack of the host.
      leaving: Whether the host is about to be removed.
    """

    name: str
    address: str
    zone: str
    rack: str
    leaving: bool


class HostList(Protocol):
    """The platform's host list."""

    async def list_hosts(self) -> list[Host]:
        """Reads the whole list; returns the same object if it is unchanged."""


def parse_hosts(groups: list[Any]) -> list[Host]:
    """Parses the target groups of the protocol."""
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
        response = await self._caller.call('GET', '/v1/hosts', headers=headers)
        if response.status == 304:
            return self._hosts
        if response.status != 200:
            raise StoreError(f'host list: HTTP status {response.status}')
        self._hosts = parse_hosts(json.loads(response.body))
        self._etag = response.headers.get('Etag', '')
        return self._hosts

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()
