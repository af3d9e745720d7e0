"""Checks a resource against the deployment, beyond its single fields."""

from __future__ import annotations

from collections.abc import Iterable

from lentilmount.errors import FieldProblem, InvalidError
from lentilmount.resources import JobSpec, Kind, Resource, ServiceSpec

PLATFORM_KINDS = frozenset({Kind.WORKER, Kind.TEAM, Kind.CONFIGURATION})
"""Kinds of resource that belong to the platform, not to a team."""


def check_resource(resource: Resource, zones: Iterable[str]) -> None:
    """Checks the owner and zones of a resource, also for a dry run.

    Raises:
      InvalidError: The resource is invalid; lists every invalid field.
    """
    known = sorted(set(zones))
    problems = [*_check_owner(resource), *_check_zones(resource, known)]
    if problems:
        summary = '; '.join(str(problem) for problem in problems)
        raise InvalidError(summary, fields=tuple(problems))


def _check_owner(resource: Resource) -> list[FieldProblem]:
    team = resource.metadata.team
    if resource.kind in PLATFORM_KINDS:
        if not team:
            return []
        problem = f'{resource.kind.value} belongs to no team, not to {team}'
        return [FieldProblem('metadata.team', problem, 'leave it out')]
    if team:
        return []
    return [
        FieldProblem(
            'metadata.team', 'is missing, and required', 'name the owning team'
        )
    ]


def _check_zones(resource: Resource, known: list[str]) -> list[FieldProblem]:
    spec = resource.spec
    requested: list[tuple[str, str]] = []
    if isinstance(spec, ServiceSpec):
        requested = [(f'spec.zones[{n}]', z) for n, z in enumerate(spec.zones)]
    elif isinstance(spec, JobSpec) and spec.zone:
        requested = [('spec.zone', spec.zone)]
    return [
        FieldProblem(
            field,
            f'there is no availability zone {zone}',
            f'use one of {", ".join(known)}',
        )
        for field, zone in requested
        if zone not in known
    ]
