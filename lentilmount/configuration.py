"""The active configuration: what operators declared, up to a revision."""

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
"""Kinds of resource that are part of the configuration."""

CONFIGURATION_LOG = 'configuration'
DEFAULT_NAME = 'default'

RECENT_CHANGES = 500
"""Maximum changes kept for peers that are behind; peers further behind load a
snapshot."""


@attrs.frozen
class Change:
    """One accepted change: the new resource, or None if it was deleted."""

    revision: int
    path: str
    resource: Resource | None


class Configuration:
    """The configuration that is active in this daemon; never goes back.

    Attributes:
      revision: Revision of the newest active change; 0 for none.
      known: Newest revision that is known to exist.
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
        """Whether this daemon has ever had the newest known revision.

        A starting daemon is not ready until it has the newest known revision,
        as it would serve an outdated configuration. A daemon that was current
        and falls behind stays ready: if every daemon of a partitioned zone
        became unready, that zone would stop serving.
        """
        return self._was_current

    @property
    def is_behind(self) -> bool:
        """Whether a newer revision than the active one is known to exist."""
        return self.revision < self.known

    def apply(self, changes: Iterable[Change]) -> None:
        """Applies changes in order of revision, each once.

        Changes that do not directly follow the active revision are ignored:
        an older one would revert the configuration, and a gap would lose a
        change.
        """
        for change in sorted(changes, key=lambda c: c.revision):
            if change.revision != self.revision + 1:
                continue
            self._set(change.path, change.resource)
            self.revision = change.revision
            self._recent.append(change)
        self._notify_changed()

    def load(self, revision: int, resources: Iterable[Resource]) -> None:
        """Replaces all resources by a newer snapshot; ignores an older one."""
        if revision <= self.revision:
            return
        self._resources = {r.path: r for r in resources}
        self._recent.clear()
        self.revision = revision
        self._notify_changed()

    def record_known_revision(self, revision: int) -> None:
        """Records that a revision is known to exist."""
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

    def _notify_changed(self) -> None:
        self.known = max(self.known, self.revision)
        if self.revision and not self.is_behind:
            self._was_current = True
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self) -> None:
        """Waits for the next change."""
        await self._changed.wait()

    async def wait_for_revision(self, revision: int, timeout: float) -> bool:
        """Waits until a revision is active, at most `timeout` seconds.

        Returns:
          Whether it is active.
        """
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
        """Returns the spec of a service, or None."""
        resource = self.get(Kind.SERVICE, team, name)
        if resource is None or not isinstance(resource.spec, ServiceSpec):
            return None
        return resource.spec

    def get_team(self, team: str) -> TeamSpec:
        """Returns the spec of a team, or the default."""
        resource = self.get(Kind.TEAM, '', team)
        if resource is None or not isinstance(resource.spec, TeamSpec):
            return TeamSpec()
        return resource.spec

    def get_worker(self, name: str) -> WorkerSpec:
        """Returns the spec of a worker, or the default."""
        resource = self.get(Kind.WORKER, '', name)
        if resource is None or not isinstance(resource.spec, WorkerSpec):
            return WorkerSpec()
        return resource.spec

    def get_weights(self) -> ConfigurationSpec:
        """Returns the cost weights and budgets, or the defaults."""
        resource = self.get(Kind.CONFIGURATION, '', DEFAULT_NAME)
        if resource is None or not isinstance(resource.spec, ConfigurationSpec):
            return ConfigurationSpec()
        return resource.spec
