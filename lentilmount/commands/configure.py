"""Commits configuration changes, each as one transaction and revision."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from typing import Any

import attrs

from lentilmount.batch.records import make_change_key
from lentilmount.codec import encode, structure_resource
from lentilmount.configuration import CONFIGURATION_LOG
from lentilmount.coordination.table import (
    ABSENT,
    ConflictError,
    Delete,
    Key,
    Operation,
    Put,
    Row,
    Table,
    UnavailableError,
)
from lentilmount.coordination.transactions import commit
from lentilmount.errors import (
    ConflictError as ResourceConflictError,
)
from lentilmount.errors import InvalidError, NotFoundError, StoreError
from lentilmount.resources import Resource
from lentilmount.rows import (
    REVISION_KEY,
    encode_resource,
    make_request_key,
    make_resource_key,
)

CONFLICT_RETRY_SECONDS = 5.0
"""Time in seconds for which a command is retried after conflicts with changes
of other resources."""

MAX_RETRY_PAUSE_SECONDS = 0.2
RETRY_AFTER_SECONDS = 2.0

MAX_LOG_ENTRIES = 1000
"""Number of change log entries that are kept; readers further behind load a
snapshot. At 1,900 changes a day this covers half a day."""


@attrs.frozen
class Accepted:
    """The result of a command.

    Attributes:
      revision: Revision of the configuration that includes the change.
      changed: Whether the command changed the configuration.
      resource: The resource as accepted; None if deleted.
    """

    revision: int
    changed: bool
    resource: Resource | None


class ConfigurationCommands:
    """Applies and deletes resources of the configuration."""

    def __init__(self, table: Table):
        self._table = table
        self._lock = asyncio.Lock()

    async def apply(self, resource: Resource, request_id: str) -> Accepted:
        """Creates or changes a resource.

        Args:
          resource: The desired resource; `metadata.revision` is the revision
            that the operator has read, 0 for a new resource.
          request_id: Idempotency key: a retry with the same id returns the
            first result.

        Raises:
          ConflictError: The resource is not at the given revision.
          InvalidError: The id was used for another command.
          StoreError: The outcome is unknown; retry with the same id.
        """
        return await self._accept(resource.path, resource, request_id)

    async def preview(self, resource: Resource) -> Resource | None:
        """Checks a resource as `apply` does, without writing.

        Returns:
          The current resource, or None if it does not exist.

        Raises:
          ConflictError: The resource is not at the given revision.
          StoreError: The table service is unavailable.
        """
        key = make_resource_key(resource.path)
        try:
            row = (await self._table.read([key])).get(key)
        except UnavailableError as error:
            raise StoreError('the table service does not answer') from error
        current = structure_resource(row.body) if row else None
        if current is None or current.spec != resource.spec:
            _check_revision(
                resource.path, resource.metadata.revision, row, resource
            )
        return current

    async def delete(
        self, path: str, revision: int, request_id: str
    ) -> Accepted:
        """Deletes a resource; see `apply`.

        Raises:
          NotFoundError: There is no such resource.
        """
        return await self._accept(path, None, request_id, revision)

    async def _accept(
        self,
        path: str,
        resource: Resource | None,
        request_id: str,
        revision: int = 0,
    ) -> Accepted:
        digest = _make_digest(path, resource, revision)
        deadline = time.monotonic() + CONFLICT_RETRY_SECONDS
        pause = 0.005
        while time.monotonic() < deadline:
            try:
                # Every change increments the same revision row, so concurrent
                # commands of one daemon would conflict with each other.
                async with self._lock:
                    return await self._try_accept(
                        path, resource, request_id, revision, digest
                    )
            except ConflictError:
                # The configuration changed between the read and the write; the
                # next read shows whether this resource was changed.
                await asyncio.sleep(pause * random.uniform(0.5, 1.5))
                pause = min(2 * pause, MAX_RETRY_PAUSE_SECONDS)
            except UnavailableError as error:
                raise StoreError(
                    'the table service does not answer; send the command '
                    'again with the same request id',
                    retry_after=RETRY_AFTER_SECONDS,
                ) from error
        raise StoreError(
            'too many others change the configuration; try again',
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def _try_accept(
        self,
        path: str,
        resource: Resource | None,
        request_id: str,
        revision: int,
        digest: str,
    ) -> Accepted:
        key = make_resource_key(path)
        request_key = make_request_key(request_id)
        rows = await self._table.read([REVISION_KEY, key, request_key])
        if request_key in rows:
            return _read_stored_result(rows[request_key], digest)
        counter = rows.get(REVISION_KEY)
        newest = counter.version if counter else ABSENT
        row = rows.get(key)
        if resource is not None:
            revision = resource.metadata.revision
        if row is not None and resource is not None:
            current = structure_resource(row.body)
            if current.spec == resource.spec:
                return Accepted(newest, False, current)
        _check_revision(path, revision, row, resource)
        return await self._write(
            path, resource, row, newest, request_key, digest
        )

    async def _write(
        self,
        path: str,
        resource: Resource | None,
        row: Row | None,
        newest: int,
        request_key: Key,
        digest: str,
    ) -> Accepted:
        key = make_resource_key(path)
        accepted = Accepted(
            newest + 1, True, _set_revision(resource, newest + 1)
        )
        accepted_resource = accepted.resource
        plain = (
            encode_resource(accepted_resource) if accepted_resource else None
        )
        operations: list[Operation] = [
            Put(REVISION_KEY, {}, newest),
            Put(
                make_change_key(CONFIGURATION_LOG, newest + 1),
                {'path': path, 'resource': plain},
            ),
            Put(
                request_key,
                {
                    'revision': newest + 1,
                    'resource': plain,
                    'digest': digest,
                    'at': time.time(),
                },
            ),
            *await self._prune_log(newest + 1),
        ]
        if plain is not None:
            version = row.version if row else ABSENT
            operations.append(Put(key, plain, version))
        elif row is not None:
            operations.append(Delete(key, row.version))
        await commit(self._table, operations, request_key)
        return accepted

    async def _prune_log(self, newest: int) -> list[Operation]:
        key = make_change_key(
            CONFIGURATION_LOG, max(0, newest - MAX_LOG_ENTRIES)
        )
        rows = await self._table.read([key])
        return [Delete(row.key, row.version) for row in rows.values()]


def _make_digest(path: str, resource: Resource | None, revision: int) -> str:
    """Hashes a command, to detect another one with the same request id."""
    body: Any = encode(resource) if resource else b''
    text = f'{path}\0{revision}\0'.encode() + body
    return hashlib.sha256(text).hexdigest()


def _set_revision(resource: Resource | None, revision: int) -> Resource | None:
    if resource is None:
        return None
    metadata = attrs.evolve(resource.metadata, revision=revision)
    return attrs.evolve(resource, metadata=metadata)


def _read_stored_result(row: Row, digest: str) -> Accepted:
    if row.body.get('digest', digest) != digest:
        raise InvalidError(
            f'request id {row.key.sort} was used for another command; '
            f'send this one with a new id'
        )
    plain = row.body['resource']
    resource = structure_resource(plain) if plain else None
    return Accepted(row.body['revision'], True, resource)


def _check_revision(
    path: str, given: int, row: Row | None, resource: Resource | None
) -> None:
    if row is None:
        if resource is None:
            raise NotFoundError(f'there is no {path}')
        if given:
            raise ResourceConflictError(
                f'{path} does not exist, but revision {given} was given; '
                f'leave metadata.revision out to create it',
                extra={'given_revision': given, 'current_revision': 0},
            )
        return
    current = structure_resource(row.body).metadata.revision
    if given != current:
        raise ResourceConflictError(
            f'{path} is at revision {current}, not {given}; read it again '
            f'and send metadata.revision {current}',
            extra={'given_revision': given, 'current_revision': current},
        )
