"""Every command and option of the tool."""

from __future__ import annotations

import argparse

from lentilmount.context import Environment

SERVER_VARIABLE = 'LENTILMOUNT_SERVER'
TOKEN_VARIABLE = 'LENTILMOUNT_TOKEN'
KINDS = 'service, job, worker, team, upstream or configuration'


def make_parser(env: Environment) -> argparse.ArgumentParser:
    """Builds the parser."""
    parser = argparse.ArgumentParser(
        prog='lentilmount',
        description='Declares and follows services and jobs.',
    )
    parser.add_argument(
        '--server',
        default=env.variables.get(SERVER_VARIABLE, 'http://127.0.0.1:7000'),
        help=f'address of the resource API (${SERVER_VARIABLE})',
    )
    parser.add_argument(
        '--token',
        default=env.variables.get(TOKEN_VARIABLE, ''),
        help=f'bearer token (${TOKEN_VARIABLE})',
    )
    commands = parser.add_subparsers(dest='command', required=True)
    _add_apply(commands)
    _add_reads(commands)
    _add_changes(commands)
    return parser


def _add_apply(commands: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    apply = commands.add_parser('apply', help='create or change resources')
    apply.add_argument('-f', '--file', required=True, metavar='FILE')
    apply.add_argument('--dry-run', action='store_true')


def _add_reads(commands: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    get = commands.add_parser('get', help='show one resource')
    get.add_argument('kind', help=KINDS)
    get.add_argument('name', help='team/name, or the name alone')
    listing = commands.add_parser('list', help='list resources')
    listing.add_argument('kind', help=KINDS)
    listing.add_argument('--team', default='')
    for command in (get, listing):
        command.add_argument(
            '--output', choices=('table', 'json', 'jsonl'), default='table'
        )
    commands.add_parser('status', help='show how the daemon is')


def _add_changes(commands: argparse._SubParsersAction) -> None:  # type: ignore[type-arg]
    cancel = commands.add_parser('cancel', help='cancel a job')
    cancel.add_argument('name', help='team/name')
