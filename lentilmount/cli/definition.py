"""Definition of the commands and options, and the argument parser."""

from __future__ import annotations

import argparse
import sys
from typing import Any

import attrs

import lentilmount
from lentilmount.context import Environment

SERVER_VARIABLE = 'LENTILMOUNT_SERVER'
TOKEN_VARIABLE = 'LENTILMOUNT_TOKEN'
AUTHORITY_VARIABLE = 'LENTILMOUNT_AUTHORITY'
DEFAULT_SERVER = 'http://127.0.0.1:7000'
DEFAULT_WAIT_SECONDS = 300.0

KINDS = 'service, job, worker, team, upstream or configuration'

EXIT_STATUSES = """
exit statuses:
  0    done
  1    an internal error, or what was waited for failed
  2    wrong use of the command line
  3    the input is not valid
  4    there is no such resource
  5    the resource changed meanwhile, or a cursor is too old
  6    the token is missing, wrong, or does not allow this
  7    the daemon, or the platform behind it, cannot answer now
  8    the time for waiting is over
  130  interrupted
"""


@attrs.frozen
class Option:
    """An option or positional argument, as passed to `add_argument`.

    Attributes:
      names: Flags of an option, or the name of a positional argument.
      parameters: Keyword arguments of `add_argument`.
    """

    names: tuple[str, ...]
    parameters: dict[str, Any]


def _option(*names: str, **parameters: Any) -> Option:
    return Option(names, parameters)


def _flag(name: str, text: str) -> Option:
    return _option(name, action='store_true', help=text)


@attrs.frozen
class Command:
    """A command of the tool.

    Attributes:
      name: Name on the command line.
      text: Help text.
      example: Command line that the help shows as an example.
      options: Its options and arguments.
    """

    name: str
    text: str
    example: str
    options: tuple[Option, ...] = ()


KIND = _option('kind', help=KINDS)
NAME = _option('name', help='team/name, or the name alone')
NAMES = _option('names', nargs='+', metavar='name', help='team/name')
WORKERS = _option('names', nargs='+', metavar='worker', help='a worker')
FILE = _option(
    '-f', '--file', required=True, metavar='FILE', help='a file; - for stdin'
)
TEAM = _option('--team', default='', help='only this team')
PREFIX = _option('--name', default='', help='only names that begin so')
OUTPUT = _option(
    '--output',
    choices=('table', 'json', 'jsonl'),
    default='table',
    help='form of the output (default: table)',
)
WAIT = _flag('--wait', 'wait until it is done, and show the progress')
TIMEOUT = _option(
    '--timeout',
    type=float,
    default=DEFAULT_WAIT_SECONDS,
    metavar='SECONDS',
    help='longest wait (default: 300)',
)

SINCE = _option('--since', default='', help='such as 30s, 10m, 2h, or a time')
UNTIL = _option('--until', default='', help='such as 30s, 10m, 2h, or a time')

COMMANDS = (
    Command(
        'apply',
        'create or change the resources of a file',
        'lentilmount apply -f examples/nilewave.json --dry-run',
        (
            FILE,
            _flag('--dry-run', 'check, and show what would change'),
            WAIT,
            TIMEOUT,
        ),
    ),
    Command(
        'validate',
        'check a file without asking a daemon',
        'lentilmount validate -f examples/nilewave.json',
        (FILE,),
    ),
    Command(
        'get',
        'show one resource',
        'lentilmount get job nilewave-billing/run-1 --output json',
        (KIND, NAME, OUTPUT),
    ),
    Command(
        'describe',
        'show one resource with its latest events',
        'lentilmount describe service nilewave-desk/airtime-desk',
        (KIND, NAME),
    ),
    Command(
        'list',
        'list resources of a kind',
        'lentilmount list job --team nilewave-billing --phase running',
        (
            KIND,
            TEAM,
            PREFIX,
            _option('--phase', default='', help='only in this phase'),
            OUTPUT,
        ),
    ),
    Command(
        'watch',
        'follow resources as they change',
        'lentilmount watch job --team nilewave-billing --output jsonl',
        (
            _option('kind', nargs='?', default='', help=KINDS),
            TEAM,
            PREFIX,
            _option('--cursor', default='', help='go on after this place'),
            _option(
                '--count', type=int, default=0, help='end after so many lines'
            ),
            OUTPUT,
        ),
    ),
    Command(
        'cancel',
        'cancel jobs',
        'lentilmount cancel nilewave-billing/run-1 --wait',
        (NAMES, WAIT, TIMEOUT),
    ),
    Command(
        'cordon',
        'give workers no new work',
        'lentilmount cordon alex-a-000',
        (WORKERS,),
    ),
    Command(
        'uncordon',
        'give workers new work again',
        'lentilmount uncordon alex-a-000',
        (WORKERS,),
    ),
    Command(
        'drain',
        'move the work of workers elsewhere, or the requests of upstreams',
        'lentilmount drain alex-a-000 --wait',
        (
            _option('names', nargs='+', metavar='name', help='what to drain'),
            _option(
                '--kind',
                choices=('worker', 'upstream'),
                default='worker',
                help='what the names are (default: worker)',
            ),
            WAIT,
            TIMEOUT,
        ),
    ),
    Command(
        'delete',
        'delete one resource; a job must be over',
        'lentilmount delete service nilewave-desk/airtime-desk',
        (
            KIND,
            NAME,
            _option(
                '--revision', type=int, default=0, help='only at this revision'
            ),
        ),
    ),
    Command(
        'status',
        'show every daemon: revision in force, slices held, ready or not',
        'lentilmount status',
        (OUTPUT,),
    ),
    Command(
        'timeline',
        'show the events of all daemons in order',
        'lentilmount timeline --resource Job/nilewave-billing --since 10m',
        (
            _option('--resource', default='', help='kind, kind/team or more'),
            _option('--request', default='', help='id of a request'),
            SINCE,
            UNTIL,
            _option(
                '--limit',
                type=int,
                default=1000,
                help='newest events of each daemon (default: 1000)',
            ),
            _flag('--follow', 'go on showing new events'),
            _option(
                '--export', metavar='FILE', help='write a Chrome trace (JSON)'
            ),
            OUTPUT,
        ),
    ),
    Command(
        'trace',
        'show the log lines of many files that speak of an id, in order, and '
        'the placements of a task',
        'lentilmount trace 5c0e7a21d94b36f8 host-1.log host-2.log',
        (
            _option('id', help='id of a job, a task or a worker'),
            _option('files', nargs='+', metavar='FILE', help='log files'),
        ),
    ),
    Command(
        'report',
        'show who waited, was refused and was late, by log lines',
        'lentilmount report host-1.log host-2.log --by size --since 1h',
        (
            _option('files', nargs='+', metavar='FILE', help='log files'),
            _option(
                '--by',
                choices=('queue', 'size', 'zone'),
                default='queue',
                help='how the jobs are grouped (default: queue)',
            ),
            SINCE,
            UNTIL,
            OUTPUT,
        ),
    ),
    Command(
        'check',
        "check a host's settings (YAML), a deploy file (TOML) or policies "
        '(JSON)',
        'lentilmount check deploy/system.toml',
        (_option('file', metavar='FILE', help='the file'),),
    ),
)


class Parser(argparse.ArgumentParser):
    """An argument parser that writes to the streams of an environment.

    Attributes:
      env: Environment with the output and error streams.
    """

    env: Environment

    def _print_message(self, message: str, file: Any = None) -> None:
        is_result = file in (None, sys.stdout)
        stream = self.env.stdout if is_result else self.env.stderr
        print(message, end='', file=stream)


def make_parser(env: Environment) -> argparse.ArgumentParser:
    """Builds the parser of the whole command line.

    Args:
      env: Its variables give the defaults of the global options; the parser
        prints to its streams.
    """
    parser = Parser(
        prog='lentilmount',
        description='Declares and follows services and jobs.',
        epilog=EXIT_STATUSES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.env = env
    parser.add_argument(
        '--version', action='version', version=lentilmount.__version__
    )
    _add_global_options(parser, env)
    commands: argparse._SubParsersAction[Parser] = parser.add_subparsers(
        dest='command', required=True, metavar='command', parser_class=Parser
    )
    for command in COMMANDS:
        subparser = commands.add_parser(
            command.name,
            help=command.text,
            description=command.text.capitalize() + '.',
            epilog=f'example:\n  {command.example}',
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        subparser.env = env
        for option in command.options:
            subparser.add_argument(*option.names, **option.parameters)
    return parser


def _add_global_options(
    parser: argparse.ArgumentParser, env: Environment
) -> None:
    parser.add_argument(
        '--server',
        default=env.variables.get(SERVER_VARIABLE, DEFAULT_SERVER),
        help=f'address of the resource API (${SERVER_VARIABLE})',
    )
    parser.add_argument(
        '--token',
        default=env.variables.get(TOKEN_VARIABLE, ''),
        help=f'bearer token (${TOKEN_VARIABLE}, which other users of the '
        f'host cannot see)',
    )
    parser.add_argument(
        '--authority',
        default=env.variables.get(AUTHORITY_VARIABLE, ''),
        metavar='FILE',
        help=f'PEM file of the authority to trust (${AUTHORITY_VARIABLE})',
    )
