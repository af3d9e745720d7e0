"""Base of the handlers of the resource API, and what they depend on."""

from __future__ import annotations

from typing import Any, Protocol

import attrs

from lentilmount.access import Authenticator, Grant, Verb
from lentilmount.commands.configure import ConfigurationCommands
from lentilmount.commands.jobs import JobCommands, JobResult
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
    """Provides the daemon's state, and notifies its parts of changes."""

    def describe(self) -> dict[str, Any]:
        """Returns the daemon's state as values that JSON can hold."""

    def find_fault(self) -> str:
        """Returns why the daemon is not ready; empty if it is ready."""

    async def notify_owner(self, submitted: JobResult) -> None:
        """Notifies the owner of a slice of a new entry in its inbox."""

    async def wait_for_revision(self, revision: int) -> None:
        """Waits, with a timeout, until a revision is in force here."""


@attrs.frozen
class Api:
    """The objects that the API's handlers use."""

    authenticator: Authenticator
    configuration: Configuration
    configuration_commands: ConfigurationCommands
    jobs: JobCommands
    reader: Reader
    watcher: Watcher
    survey: Survey
    events: EventLog
    status: StatusSource
    zones: tuple[str, ...]
    max_watches: int = 64


def find_kind(name: str) -> Kind:
    """Returns the kind with a name from a route, such as services.

    Raises:
      NotFoundError: There is no such kind.
    """
    for kind in Kind:
        if name.lower() in (kind.value.lower(), kind.value.lower() + 's'):
            return kind
    known = ', '.join(kind.value.lower() for kind in Kind)
    raise NotFoundError(f'there is no kind {name}; there are {known}')


def list_visible(grant: Grant) -> frozenset[str] | None:
    """Returns the teams whose resources a grant may read; None for all."""
    return None if grant.can_see_platform else frozenset({grant.team})


class ApiHandler(Handler):
    """A handler of the resource API."""

    def initialize(self, api: Api) -> None:  # type: ignore[override]
        """Sets the objects that the handlers use."""
        super().initialize(api.authenticator)
        self.api = api

    def read_number(self, name: str, default: int, maximum: int) -> int:
        """Returns a number from the query.

        Raises:
          InvalidError: The value is not a whole number from 0 to `maximum`.
        """
        given = self.get_query_argument(name, str(default))
        number = int(given) if given.isdecimal() and len(given) < 20 else -1
        if not 0 <= number <= maximum:
            problem = (
                f'must be a whole number from 0 to {maximum}, not {given!r}'
            )
            raise InvalidError(
                f'{name} {problem}', fields=(FieldProblem(name, problem),)
            )
        return number

    def read_kind(self) -> Kind | None:
        """Returns the kind given in the query, or None."""
        given = self.get_query_argument('kind', '')
        return find_kind(given) if given else None

    def read_team(self, grant: Grant) -> str:
        """Returns the team given in the query, after checking access to it.

        Raises:
          AccessError: The token does not allow to read that team.
        """
        team = self.get_query_argument('team', '')
        grant.require(Verb.READ, team or grant.team)
        return team
