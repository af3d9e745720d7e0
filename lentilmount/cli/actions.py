"""What each command of the tool does."""

from __future__ import annotations

import argparse
import pathlib
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import json5

from lentilmount.cli.client import ApiClient
from lentilmount.cli.output import write_json, write_resources
from lentilmount.context import Environment
from lentilmount.errors import InvalidError, NotFoundError
from lentilmount.status import ExitStatus

NO_TEAM = '-'


@attrs.frozen
class Context:
    """What a command works with."""

    client: ApiClient
    options: argparse.Namespace
    env: Environment


def read_resources(path: str, env: Environment) -> list[dict[str, Any]]:
    """Reads the resources of a file: an object or a list of them.

    Raises:
      InvalidError: The file cannot be read or is not JSON.
    """
    try:
        if path == '-':
            value = json5.loads(env.stdin.read())
        else:
            value = json5.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise InvalidError(f'{path}: {error}') from error
    return value if isinstance(value, list) else [value]


async def apply(context: Context) -> ExitStatus:
    """Applies every resource of a file, in order."""
    for item in read_resources(context.options.file, context.env):
        current = await _read_current(context, item)
        if current and item['kind'] != 'Job':
            revision = current['metadata']['revision']
            item['metadata'].setdefault('revision', revision)
        dry_run = '?dry_run=1' if context.options.dry_run else ''
        answer = await context.client.call(
            'POST',
            f'/v1/{item["kind"].lower()}s{dry_run}',
            item,
            uuid.uuid4().hex,
        )
        _tell_applied(context, answer)
    return ExitStatus.OK


def _tell_applied(context: Context, answer: dict[str, Any]) -> None:
    resource = answer['resource']
    metadata = resource['metadata']
    name = f'{metadata["team"]}/{metadata["name"]}'.lstrip('/')
    outcome = 'would be applied'
    if 'changed' in answer:
        outcome = 'accepted' if answer['changed'] else 'unchanged'
    line = f'{resource["kind"]} {name}: {outcome}'
    print(line, file=context.env.stdout)


async def _read_current(
    context: Context, item: dict[str, Any]
) -> dict[str, Any] | None:
    metadata = item.get('metadata', {})
    team = metadata.get('team') or NO_TEAM
    path = f'/v1/{item["kind"].lower()}s/{team}/{metadata.get("name")}'
    try:
        found: dict[str, Any] = await context.client.call('GET', path)
    except NotFoundError:
        return None
    return found


async def get(context: Context) -> ExitStatus:
    """Shows one resource."""
    team, _, name = context.options.name.rpartition('/')
    kind = context.options.kind.lower()
    item = await context.client.call(
        'GET', f'/v1/{kind}/{team or NO_TEAM}/{name}'
    )
    write_resources([item], context.options.output, context.env.stdout)
    return ExitStatus.OK


async def show_list(context: Context) -> ExitStatus:
    """Lists resources, page by page."""
    kind = context.options.kind.lower()
    items: list[dict[str, Any]] = []
    after = ''
    while True:
        page = await context.client.call(
            'GET', f'/v1/{kind}?team={context.options.team}&after={after}'
        )
        items += page['items']
        after = page['next']
        if not after:
            break
    write_resources(items, context.options.output, context.env.stdout)
    return ExitStatus.OK


async def cancel(context: Context) -> ExitStatus:
    """Cancels a job."""
    await context.client.call('POST', f'/v1/jobs/{context.options.name}/cancel')
    print(f'Job {context.options.name}: cancelling', file=context.env.stdout)
    return ExitStatus.OK


async def status(context: Context) -> ExitStatus:
    """Shows how the daemon is."""
    write_json(
        await context.client.call('GET', '/v1/status'), context.env.stdout
    )
    return ExitStatus.OK


ACTIONS: dict[str, Callable[[Context], Awaitable[ExitStatus]]] = {
    'apply': apply,
    'get': get,
    'list': show_list,
    'cancel': cancel,
    'status': status,
}
