"""What every handler of the resource API stands on."""

from __future__ import annotations

from typing import Any, Protocol

import attrs

from lentilmount.access import Gate, Grant, Verb
from lentilmount.commands.configure import Configurer
from lentilmount.commands.jobs import JobDesk, Submitted
from lentilmount.configuration import Configuration
from lentilmount.daemon.survey import Survey
from lentilmount.daemon.web import Handler
from lentilmount.errors import FieldProblem, InvalidError, NotFoundError
from lentilmount.events import EventLog
from lentilmount.queries.resources import Reader
from lentilmount.queries.watch import Watcher
from lentilmount.resources import API_VERSION, Kind

ROOT = f'/{API_VERSION}'


class StatusSource(Protocol):
    """What can tell how the daemon is."""

    def describe(self) -> dict[str, Any]:
        """Returns the daemon's state in plain values."""

    def find_fault(self) -> str:
        """Returns why the daemon is not ready, or ''."""

    async def announce(self, submitted: Submitted) -> None:
        """Tells the owner of a slice that its inbox has something new."""

    async def reach(self, revision: int) -> None:
        """Waits a while until an accepted revision is in force here."""


@attrs.frozen
class Api:
    """The parts that the API stands on."""

    gate: Gate
    configuration: Configuration
    configurer: Configurer
    jobs: JobDesk
    reader: Reader
    watcher: Watcher
    survey: Survey
    events: EventLog
    status: StatusSource
    zones: tuple[str, ...]
    most_watches: int = 64


def find_kind(name: str) -> Kind:
    """Finds a kind by its name in a route, such as services.

    Raises:
      NotFoundError: There is no such kind.
    """
    for kind in Kind:
        if name.lower() in (kind.value.lower(), kind.value.lower() + 's'):
            return kind
    known = ', '.join(kind.value.lower() for kind in Kind)
    raise NotFoundError(f'there is no kind {name}; there are {known}')


def list_visible(grant: Grant) -> frozenset[str] | None:
    """Returns the teams whose things a grant sees; None for everything."""
    return None if grant.sees_platform else frozenset({grant.team})


class ApiHandler(Handler):
    """A handler of the resource API."""

    def initialize(self, api: Api) -> None:  # type: ignore[override]
        """Keeps the parts."""
        super().initialize(api.gate)
        self.api = api

    def read_number(self, name: str, default: int, most: int) -> int:
        """Reads a number from the query.

        Raises:
          InvalidError: Not a whole number from 0 to `most`.
        """
        given = self.get_query_argument(name, str(default))
        number = int(given) if given.isdecimal() and len(given) < 20 else -1
        if not 0 <= number <= most:
            problem = f'must be a whole number from 0 to {most}, not {given!r}'
            raise InvalidError(
                f'{name} {problem}', fields=(FieldProblem(name, problem),)
            )
        return number

    def read_kind(self) -> Kind | None:
        """Reads the kind from the query, if it is there."""
        given = self.get_query_argument('kind', '')
        return find_kind(given) if given else None

    def read_team(self, grant: Grant) -> str:
        """Reads the team from the query, and checks that it is visible.

        Raises:
          AccessError: The token is for another team.
        """
        team = self.get_query_argument('team', '')
        grant.require(Verb.READ, team or grant.team)
        return team
