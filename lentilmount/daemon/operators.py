"""Handlers of the resource API, which operators call."""

from __future__ import annotations

import hashlib
from typing import Any

import logbook
from tornado.web import Application

from lentilmount import resources
from lentilmount.access import Grant, Verb
from lentilmount.codec import (
    parse_json,
    structure_resource,
    unstructure,
)
from lentilmount.commands.checks import PLATFORM_KINDS, check_resource
from lentilmount.daemon.api import (
    ROOT,
    Api,
    ApiHandler,
    find_kind,
    list_visible,
)
from lentilmount.daemon.streams import TimeLineHandler, WatchHandler, WatchLimit
from lentilmount.daemon.web import NoRouteHandler
from lentilmount.errors import (
    ErrorKind,
    FieldProblem,
    InvalidError,
    LentilmountError,
)
from lentilmount.queries.difference import list_changes
from lentilmount.queries.pages import DEFAULT_LIMIT, ListFilter
from lentilmount.resources import Kind, Phase, Resource

log = logbook.Logger('operators')

MAX_LIMIT = 1000
MAX_REVISION = 2**53

NO_TEAM = '-'
"""Team in the route of a resource that belongs to the platform."""

_PUBLIC_STATUS = ('daemon', 'zone', 'revision', 'ready', 'fault')
"""Fields of a daemon's state that a token of a single team may read."""


class ResourcesHandler(ApiHandler):
    """Lists and applies resources of a kind."""

    async def get(self, kind_name: str) -> None:
        """Answers with a page of resources."""
        grant = self.admit()
        kind = find_kind(kind_name)
        team = self.read_team(grant)
        if kind in (Kind.WORKER, Kind.CONFIGURATION):
            grant.require(Verb.READ, '')
        # Made before the read: a watch from this cursor may repeat changes
        # that the page contains, but misses none.
        cursor = self.api.watcher.make_cursor()
        page = await self.api.reader.list_page(
            ListFilter(
                kind,
                list_visible(grant),
                team,
                self.get_query_argument('name', ''),
                self._read_phase(),
                self.get_query_argument('after', ''),
                max(1, self.read_number('limit', DEFAULT_LIMIT, MAX_LIMIT)),
            )
        )
        self.reply(
            {
                'items': page.items,
                'next': page.next,
                'revision': self.api.configuration.revision,
                'cursor': cursor,
            }
        )

    def _read_phase(self) -> Phase | None:
        given = self.get_query_argument('phase', '')
        allowed = [phase.value for phase in Phase]
        if given and given not in allowed:
            problem = f'must be one of {", ".join(allowed)}, not {given!r}'
            raise InvalidError(
                f'phase {problem}', fields=(FieldProblem('phase', problem),)
            )
        return Phase(given) if given else None

    async def post(self, kind_name: str) -> None:
        """Applies a resource."""
        grant = self.admit()
        kind = find_kind(kind_name)
        resource = structure_resource(parse_json(self.request.body))
        _check_kind(kind, resource)
        check_resource(resource, self.api.zones)
        verb = Verb.ADMIN if kind in PLATFORM_KINDS else Verb.WRITE
        grant.require(verb, resource.metadata.team)
        if kind in (Kind.WORKER, Kind.UPSTREAM):
            # The resource must exist: otherwise a mistyped name would be
            # accepted, and the intended worker or upstream would still
            # receive work.
            metadata = resource.metadata
            await self.api.reader.get(kind, metadata.team, metadata.name)
        if self.get_query_argument('dry_run', ''):
            await self._preview(resource)
        elif kind is Kind.JOB:
            await self._submit(grant, resource)
        else:
            await self._apply(grant, resource)

    async def _preview(self, resource: Resource) -> None:
        preview_source = (
            self.api.jobs
            if resource.kind is Kind.JOB
            else self.api.configuration_commands
        )
        current = await preview_source.preview(resource)
        changes = list_changes(current, resource)
        self.reply(
            {
                'resource': resource,
                'current': current,
                'changed': current is None or bool(changes),
                'changes': changes,
                'dry_run': True,
            }
        )

    async def _submit(self, grant: Grant, resource: Resource) -> None:
        submitted = await self.api.jobs.submit(resource)
        await self.api.status.notify_owner(submitted)
        _log_change(grant, 'submitted', resource.path, submitted.changed)
        answer = {
            'resource': submitted.resource,
            'changed': submitted.changed,
        }
        self.reply(answer, 201 if submitted.changed else 200)

    async def _apply(self, grant: Grant, resource: Resource) -> None:
        accepted = await self.api.configuration_commands.apply(
            resource, make_command_id(self, grant)
        )
        _log_change(grant, 'applied', resource.path, accepted.changed)
        await self.api.status.wait_for_revision(accepted.revision)
        self.reply(unstructure(accepted), 201 if accepted.changed else 200)


def _log_change(grant: Grant, verb: str, path: str, changed: bool) -> None:
    if changed:
        log.info('{} {} {}.', grant.name, verb, path)


def make_command_id(handler: ApiHandler, grant: Grant) -> str:
    """Returns the id under which a command is idempotent.

    The request id chosen by the caller is not enough: another caller that
    sends the same one would be answered with the first caller's resource.
    """
    digest = hashlib.sha256()
    for part in (grant.name, grant.team, handler.request.method or ''):
        digest.update(part.encode() + b'\0')
    digest.update(handler.request.uri.encode() + b'\0')
    digest.update(handler.request.body)
    return f'{handler.request_id}/{digest.hexdigest()[:32]}'


class ResourceHandler(ApiHandler):
    """Reads and deletes one resource."""

    async def get(self, kind_name: str, team: str, name: str) -> None:
        """Answers with the resource."""
        grant = self.admit()
        kind = find_kind(kind_name)
        team = _read_team_part(team)
        grant.require(Verb.READ, name if kind is Kind.TEAM else team)
        self.reply(await self.api.reader.get(kind, team, name))

    async def delete(self, kind_name: str, team: str, name: str) -> None:
        """Deletes the resource."""
        grant = self.admit()
        kind = find_kind(kind_name)
        team = _read_team_part(team)
        verb = Verb.ADMIN if kind in PLATFORM_KINDS else Verb.WRITE
        grant.require(verb, team)
        path = resources.make_path(kind, team, name)
        if kind is Kind.JOB:
            deleted = await self.api.jobs.delete(team, name)
            _log_change(grant, 'deleted', path, changed=True)
            self.reply({'resource': deleted.resource, 'changed': True})
            return
        accepted = await self.api.configuration_commands.delete(
            path,
            self.read_number('revision', 0, MAX_REVISION),
            make_command_id(self, grant),
        )
        _log_change(grant, 'deleted', path, changed=True)
        await self.api.status.wait_for_revision(accepted.revision)
        self.reply(accepted)


class CancelHandler(ApiHandler):
    """Cancels a job."""

    async def post(self, team: str, name: str) -> None:
        """Accepts the cancellation."""
        grant = self.admit()
        grant.require(Verb.WRITE, team)
        submitted = await self.api.jobs.cancel(team, name)
        path = resources.make_path(Kind.JOB, team, name)
        _log_change(grant, 'cancelled', path, submitted.changed)
        if submitted.changed:
            await self.api.status.notify_owner(submitted)
        answer = {
            'resource': submitted.resource,
            'changed': submitted.changed,
        }
        self.reply(answer, 202 if submitted.changed else 200)


class StatusHandler(ApiHandler):
    """Reports the daemon's state."""

    def get(self) -> None:
        """Answers with the daemon's state."""
        grant = self.admit()
        grant.require(Verb.READ, grant.team)
        self.reply(_filter_status(grant, self.api.status.describe()))


class DaemonsHandler(ApiHandler):
    """Reports the state of all daemons."""

    async def get(self) -> None:
        """Answers with all states, and the daemons that did not answer."""
        grant = self.admit()
        grant.require(Verb.READ, grant.team)
        others = await self.api.survey.describe_all()
        found = [state for state in others.values() if state is not None]
        found.append(self.api.status.describe())
        found.sort(key=lambda daemon: str(daemon['daemon']))
        unreachable = [name for name, state in others.items() if state is None]
        self.reply(
            {
                'daemons': [_filter_status(grant, daemon) for daemon in found],
                'unreachable': sorted(unreachable),
            }
        )


def _filter_status(grant: Grant, daemon: dict[str, Any]) -> dict[str, Any]:
    if grant.can_see_platform:
        return daemon
    return {name: daemon[name] for name in _PUBLIC_STATUS}


class HealthHandler(ApiHandler):
    """Liveness check: reports that the process runs."""

    is_open = True

    def get(self) -> None:
        """Answers ok."""
        self.reply({'status': 'ok'})


class ReadyHandler(ApiHandler):
    """Readiness check: reports whether to send requests to this daemon."""

    is_open = True

    def get(self) -> None:
        """Answers ready, or with the reason why the daemon is not."""
        fault = self.api.status.find_fault()
        if fault:
            raise LentilmountError(
                fault, kind=ErrorKind.NOT_READY, retry_after=1.0
            )
        self.reply({'status': 'ready'})


def _read_team_part(team: str) -> str:
    return '' if team == NO_TEAM else team


def _check_kind(kind: Kind, resource: Resource) -> None:
    if resource.kind is not kind:
        problem = FieldProblem(
            'kind',
            f'{resource.kind.value} was sent to the route of {kind.value}',
            f'post it to {ROOT}/{resource.kind.value.lower()}s',
        )
        raise InvalidError(str(problem), fields=(problem,))


def make_operators_app(api: Api) -> Application:
    """Builds the resource API's HTTP application."""
    parts: dict[str, Any] = {'api': api}
    streams = {**parts, 'seats': WatchLimit(api.max_watches)}
    return Application(
        [
            ('/healthz', HealthHandler, parts),
            ('/readyz', ReadyHandler, parts),
            (f'{ROOT}/status', StatusHandler, parts),
            (f'{ROOT}/daemons', DaemonsHandler, parts),
            (f'{ROOT}/watch', WatchHandler, streams),
            (f'{ROOT}/timeline', TimeLineHandler, parts),
            (rf'{ROOT}/jobs/([^/]+)/([^/]+)/cancel', CancelHandler, parts),
            (rf'{ROOT}/([a-z]+)', ResourcesHandler, parts),
            (rf'{ROOT}/([a-z]+)/([^/]+)/([^/]+)', ResourceHandler, parts),
        ],
        default_handler_class=NoRouteHandler,
        default_handler_args={'authenticator': api.authenticator},
    )
