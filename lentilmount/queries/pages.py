"""Filters and pages of list queries."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lentilmount.resources import Kind, Phase, Resource

DEFAULT_LIMIT = 100


@attrs.frozen
class ListFilter:
    """Filter and page limit of a list query.

    Attributes:
      kind: Kind of resource.
      teams: Teams whose resources are visible; None for all teams.
      team: Only resources of this team, if given.
      name: Only names with this prefix.
      phase: Only resources in this phase, if given.
      after: The field `next` of the previous page; '' for the first page.
      limit: Maximum number of resources on the page.
    """

    kind: Kind
    teams: frozenset[str] | None = None
    team: str = ''
    name: str = ''
    phase: Phase | None = None
    after: str = ''
    limit: int = DEFAULT_LIMIT

    def can_see(self, team: str) -> bool:
        """Returns whether a team's resources are visible and match."""
        visible = self.teams is None or team in self.teams
        return visible and (not self.team or team == self.team)

    def accepts(self, resource: Resource) -> bool:
        """Returns whether a resource is visible and matches the filter."""
        metadata = resource.metadata
        is_team = resource.kind is Kind.TEAM
        return (
            self.can_see(metadata.name if is_team else metadata.team)
            and metadata.name.startswith(self.name)
            and self.phase in (None, resource.status.phase)
        )


@attrs.frozen
class Page:
    """A page of resources; `next` continues the list, '' on the last page."""

    items: tuple[Resource, ...]
    next: str = ''


def make_sort_key(resource: Resource) -> str:
    """Returns the key by which lists are sorted and continued."""
    return f'{resource.metadata.team}/{resource.metadata.name}'


def make_page(items: Iterable[Resource], wanted: ListFilter) -> Page:
    """Returns the page of a filter from all resources of a kind."""
    remaining = sorted(
        (item for item in items if make_sort_key(item) > wanted.after),
        key=make_sort_key,
    )
    found = [item for item in remaining if wanted.accepts(item)]
    page = tuple(found[: wanted.limit])
    more = len(found) > wanted.limit
    return Page(page, make_sort_key(page[-1]) if more else '')
