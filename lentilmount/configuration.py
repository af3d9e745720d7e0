"""The configuration in force: what operators declared, up to a revision."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Iterable, Iterator

import attrs

from lentilmount.resources import (
    ConfigurationSpec,
    Kind,
    Resource,
    ServiceSpec,
    TeamSpec,
    WorkerSpec,
    make_path,
)

CONFIGURED_KINDS = frozenset(
    {
        Kind.SERVICE,
        Kind.TEAM,
        Kind.WORKER,
        Kind.UPSTREAM,
        Kind.CONFIGURATION,
    }
)
"""Kinds that take part in the configuration's revision."""

CONFIGURATION_LOG = 'configuration'
DEFAULT_NAME = 'default'

RECENT_CHANGES = 500
"""Most changes kept for peers that are behind; others get a snapshot."""


@attrs.frozen
class Change:
    """One accepted change: a resource, or None where it was deleted."""

    revision: int
    path: str
    resource: Resource | None


class Configuration:
    """What is in force here; its revision only rises.

    Attributes:
      revision: The newest change that is in force; 0 for none.
      known: The newest revision that is known to exist.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.known = 0
        self._was_current = False
        self._resources: dict[str, Resource] = {}
        self._recent: collections.deque[Change] = collections.deque(
            maxlen=RECENT_CHANGES
        )
        self._changed = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether the newest revision known was ever in force here.

        A daemon that starts and learns that a newer revision exists is not
        ready until it has it: what it would serve by may have been replaced
        long ago. One that was current and falls behind stays ready, as
        taking every daemon of a cut zone out would stop that zone.
        """
        return self._was_current

    @property
    def is_behind(self) -> bool:
        """Whether a revision is known that is not in force here."""
        return self.revision < self.known

    def apply(self, changes: Iterable[Change]) -> None:
        """Puts changes in force, each once and in order.

        A change at or below the revision in force is old news: taking it
        would make the configuration go back.
        """
        for change in sorted(changes, key=lambda c: c.revision):
            if change.revision != self.revision + 1:
                continue
            self._set(change.path, change.resource)
            self.revision = change.revision
            self._recent.append(change)
        self._wake()

    def load(self, revision: int, resources: Iterable[Resource]) -> None:
        """Replaces everything by a newer snapshot; an older one is ignored."""
        if revision <= self.revision:
            return
        self._resources = {r.path: r for r in resources}
        self._recent.clear()
        self.revision = revision
        self._wake()

    def note(self, revision: int) -> None:
        """Takes note that a revision exists somewhere."""
        self.known = max(self.known, revision)

    def list_after(self, revision: int) -> list[Change] | None:
        """Returns the changes after a revision; None if not all are kept."""
        changes = [c for c in self._recent if c.revision > revision]
        if len(changes) != max(0, self.revision - revision):
            return None
        return changes

    def list_all(self) -> list[Resource]:
        """Returns every resource."""
        return list(self._resources.values())

    def _set(self, path: str, resource: Resource | None) -> None:
        if resource is None:
            self._resources.pop(path, None)
        else:
            self._resources[path] = resource

    def _wake(self) -> None:
        self.known = max(self.known, self.revision)
        if self.revision and not self.is_behind:
            self._was_current = True
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> None:
        """Waits for the next change."""
        await self._changed.wait()

    async def reach(self, revision: int, timeout: float) -> bool:
        """Waits until a revision is in force; returns whether it is."""
        try:
            async with asyncio.timeout(timeout):
                while self.revision < revision:
                    await self.wait()
        except TimeoutError:
            return False
        return True

    def get(self, kind: Kind, team: str, name: str) -> Resource | None:
        """Returns a resource, or None."""
        return self._resources.get(make_path(kind, team, name))

    def list_kind(self, kind: Kind) -> Iterator[Resource]:
        """Yields the resources of one kind in the order of their paths."""
        for path in sorted(self._resources):
            resource = self._resources[path]
            if resource.kind is kind:
                yield resource

    def get_service(self, team: str, name: str) -> ServiceSpec | None:
        """Returns what a service declares, or None."""
        resource = self.get(Kind.SERVICE, team, name)
        if resource is None or not isinstance(resource.spec, ServiceSpec):
            return None
        return resource.spec

    def get_team(self, team: str) -> TeamSpec:
        """Returns a team's share, or the default one."""
        resource = self.get(Kind.TEAM, '', team)
        if resource is None or not isinstance(resource.spec, TeamSpec):
            return TeamSpec()
        return resource.spec

    def get_worker(self, name: str) -> WorkerSpec:
        """Returns what operators set of a worker."""
        resource = self.get(Kind.WORKER, '', name)
        if resource is None or not isinstance(resource.spec, WorkerSpec):
            return WorkerSpec()
        return resource.spec

    def get_weights(self) -> ConfigurationSpec:
        """Returns how this deployment weighs things."""
        resource = self.get(Kind.CONFIGURATION, '', DEFAULT_NAME)
        if resource is None or not isinstance(resource.spec, ConfigurationSpec):
            return ConfigurationSpec()
        return resource.spec
