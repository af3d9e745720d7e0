"""What a list asks for, and one page of its answer."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lentilmount.resources import Kind, Phase, Resource

DEFAULT_LIMIT = 100


@attrs.frozen
class ListFilter:
    """Which resources are wanted.

    Attributes:
      kind: Their kind.
      teams: Teams whose resources are visible; None for everything.
      team: Only this team's, if given.
      name: Only names that begin so.
      phase: Only in this phase, if given.
      after: Where the page before ended; its `next`.
      limit: Most resources of the page.
    """

    kind: Kind
    teams: frozenset[str] | None = None
    team: str = ''
    name: str = ''
    phase: Phase | None = None
    after: str = ''
    limit: int = DEFAULT_LIMIT

    def sees(self, team: str) -> bool:
        """Tells whether a team's resources are visible and wanted."""
        visible = self.teams is None or team in self.teams
        return visible and (not self.team or team == self.team)

    def accepts(self, resource: Resource) -> bool:
        """Tells whether a resource is wanted."""
        metadata = resource.metadata
        is_team = resource.kind is Kind.TEAM
        return (
            self.sees(metadata.name if is_team else metadata.team)
            and metadata.name.startswith(self.name)
            and self.phase in (None, resource.status.phase)
        )


@attrs.frozen
class Page:
    """Some resources, and where the next page begins, or ''."""

    items: tuple[Resource, ...]
    next: str = ''


def make_place(resource: Resource) -> str:
    """Returns where a resource stands in a list."""
    return f'{resource.metadata.team}/{resource.metadata.name}'


def make_page(items: Iterable[Resource], wanted: ListFilter) -> Page:
    """Cuts a page out of all resources of a kind."""
    left = sorted(
        (item for item in items if make_place(item) > wanted.after),
        key=make_place,
    )
    found = [item for item in left if wanted.accepts(item)]
    page = tuple(found[: wanted.limit])
    more = len(found) > wanted.limit
    return Page(page, make_place(page[-1]) if more else '')
