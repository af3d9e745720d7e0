"""The listener of operators: the resource API."""

from __future__ import annotations

from typing import Any, Protocol

import attrs
from tornado.web import Application

from lentilmount import resources
from lentilmount.access import Gate, Grant, Verb
from lentilmount.codec import (
    parse_json,
    structure_resource,
    unstructure,
)
from lentilmount.commands.configure import Configurer
from lentilmount.commands.jobs import JobDesk, Submitted
from lentilmount.configuration import CONFIGURED_KINDS, Configuration
from lentilmount.daemon.web import Handler, NoRouteHandler
from lentilmount.errors import (
    ErrorKind,
    FieldProblem,
    InvalidError,
    LentilmountError,
    NotFoundError,
)
from lentilmount.queries.resources import Reader
from lentilmount.resources import Kind, Resource

ROOT = f'/{resources.API_VERSION}'
MAX_LIMIT = 1000

PLATFORM_KINDS = frozenset({Kind.WORKER, Kind.TEAM, Kind.CONFIGURATION})
"""Kinds that belong to the platform, not to a team."""


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
    status: StatusSource


def find_kind(name: str) -> Kind:
    """Finds a kind by its name in a route, such as services.

    Raises:
      NotFoundError: There is no such kind.
    """
    for kind in Kind:
        if name in (kind.value.lower(), kind.value.lower() + 's'):
            return kind
    known = ', '.join(kind.value.lower() for kind in Kind)
    raise NotFoundError(f'there is no kind {name}; there are {known}')


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
        if not given.isdecimal() or int(given) > most:
            problem = f'must be a whole number from 0 to {most}, not {given!r}'
            raise InvalidError(
                f'{name} {problem}', fields=(FieldProblem(name, problem),)
            )
        return int(given)


class ResourcesHandler(ApiHandler):
    """Lists and applies."""

    async def get(self, kind_name: str) -> None:
        """Answers with a page of resources."""
        grant = self.admit()
        kind = find_kind(kind_name)
        team = self._read_team(grant, kind)
        grant.require(Verb.READ, team)
        page = await self.api.reader.list_page(
            kind,
            team,
            self.get_query_argument('after', ''),
            max(1, self.read_number('limit', 100, MAX_LIMIT)),
        )
        phase = self.get_query_argument('phase', '')
        items = [
            item
            for item in page.items
            if not phase or item.status.phase.value == phase
        ]
        self.reply(
            {
                'items': items,
                'next': page.next,
                'revision': self.api.configuration.revision,
            }
        )

    def _read_team(self, grant: Grant, kind: Kind) -> str:
        if kind in PLATFORM_KINDS:
            return ''
        default = '' if grant.team == '*' else grant.team
        return self.get_query_argument('team', default)

    async def post(self, kind_name: str) -> None:
        """Applies a resource."""
        grant = self.admit()
        kind = find_kind(kind_name)
        resource = structure_resource(parse_json(self.request.body))
        _check_kind(kind, resource)
        verb = Verb.ADMIN if kind in PLATFORM_KINDS else Verb.WRITE
        grant.require(verb, resource.metadata.team)
        if self.get_query_argument('dry_run', ''):
            self.reply({'resource': resource, 'dry_run': True})
            return
        if kind is Kind.JOB:
            submitted = await self.api.jobs.submit(resource)
            await self.api.status.announce(submitted)
            self.reply(
                {
                    'resource': submitted.resource,
                    'changed': submitted.changed,
                },
                201 if submitted.changed else 200,
            )
            return
        accepted = await self.api.configurer.apply(resource, self.request_id)
        await self.api.status.reach(accepted.revision)
        self.reply(unstructure(accepted), 201 if accepted.changed else 200)


class ResourceHandler(ApiHandler):
    """Reads and deletes one resource."""

    async def get(self, kind_name: str, team: str, name: str) -> None:
        """Answers with the resource."""
        grant = self.admit()
        kind = find_kind(kind_name)
        team = _read_team_part(team)
        grant.require(Verb.READ, team)
        self.reply(await self.api.reader.get(kind, team, name))

    async def delete(self, kind_name: str, team: str, name: str) -> None:
        """Deletes the resource."""
        grant = self.admit()
        kind = find_kind(kind_name)
        team = _read_team_part(team)
        verb = Verb.ADMIN if kind in PLATFORM_KINDS else Verb.WRITE
        grant.require(verb, team)
        if kind not in CONFIGURED_KINDS:
            raise LentilmountError(
                'a job is not deleted; cancel it', kind=ErrorKind.METHOD
            )
        accepted = await self.api.configurer.delete(
            resources.make_path(kind, team, name),
            self.read_number('revision', 0, 2**53),
            self.request_id,
        )
        await self.api.status.reach(accepted.revision)
        self.reply(accepted)


class CancelHandler(ApiHandler):
    """Cancels a job."""

    async def post(self, team: str, name: str) -> None:
        """Accepts the cancellation."""
        self.admit().require(Verb.WRITE, team)
        submitted = await self.api.jobs.cancel(team, name)
        await self.api.status.announce(submitted)
        self.reply({'resource': submitted.resource, 'changed': True}, 202)


class StatusHandler(ApiHandler):
    """Tells how the daemon is."""

    def get(self) -> None:
        """Answers with the daemon's state."""
        self.admit().require(Verb.READ, self.admit().team)
        self.reply(self.api.status.describe())


class HealthHandler(ApiHandler):
    """Tells that the process lives."""

    def get(self) -> None:
        """Answers ok."""
        self.reply({'status': 'ok'})


class ReadyHandler(ApiHandler):
    """Tells whether the balancer may send requests here."""

    def get(self) -> None:
        """Answers ok or why not."""
        fault = self.api.status.find_fault()
        if fault:
            raise LentilmountError(
                fault, kind=ErrorKind.NOT_READY, retry_after=1.0
            )
        self.reply({'status': 'ready'})


def _read_team_part(team: str) -> str:
    return '' if team == '-' else team


def _check_kind(kind: Kind, resource: Resource) -> None:
    if resource.kind is not kind:
        raise InvalidError(
            f'kind: {resource.kind.value} was sent to the route of {kind.value}'
        )
    if kind is Kind.UPSTREAM or kind in PLATFORM_KINDS:
        return
    if not resource.metadata.team:
        raise InvalidError(
            'metadata.team: required field team is missing',
            fields=(
                FieldProblem(
                    'metadata.team', 'is missing', 'name the owning team'
                ),
            ),
        )


def make_operators_app(api: Api) -> Application:
    """Builds the resource API's HTTP application."""
    parts: dict[str, Any] = {'api': api}
    return Application(
        [
            ('/healthz', HealthHandler, parts),
            ('/readyz', ReadyHandler, parts),
            (f'{ROOT}/status', StatusHandler, parts),
            (rf'{ROOT}/jobs/([^/]+)/([^/]+)/cancel', CancelHandler, parts),
            (rf'{ROOT}/([a-z]+)', ResourcesHandler, parts),
            (rf'{ROOT}/([a-z]+)/([^/]+)/([^/]+)', ResourceHandler, parts),
        ],
        default_handler_class=NoRouteHandler,
        default_handler_args={'gate': api.gate},
    )
