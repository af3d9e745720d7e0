"""Client for the platform's object store (S3 REST protocol)."""

from __future__ import annotations

from typing import Protocol
from urllib.parse import quote

from lentilmount.errors import StoreError
from lentilmount.upstream.http import HttpClient

BUCKET = 'lentilmount'


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, name: str, data: bytes) -> None:
        """Writes a complete object."""

    async def get(self, name: str) -> bytes | None:
        """Reads an object; returns None if there is none."""


class HttpObjectStore:
    """The `ObjectStore` protocol over HTTP."""

    def __init__(self, base: str, timeout: float = 5.0):
        self._caller = HttpClient(base, timeout)

    async def put(self, name: str, data: bytes) -> None:
        """See `ObjectStore`."""
        response = await self._caller.call('PUT', self._path(name), data)
        if response.status != 200:
            raise StoreError(f'object {name}: HTTP status {response.status}')

    async def get(self, name: str) -> bytes | None:
        """See `ObjectStore`."""
        response = await self._caller.call('GET', self._path(name))
        if response.status == 404:
            return None
        if response.status != 200:
            raise StoreError(f'object {name}: HTTP status {response.status}')
        return response.body

    def _path(self, name: str) -> str:
        return f'/{BUCKET}/{quote(name)}'

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()
