"""Entry point of the command-line tool: parses arguments, runs a command."""

from __future__ import annotations

import argparse
import asyncio

from lentilmount.cli.actions import ACTIONS
from lentilmount.cli.client import ApiClient
from lentilmount.cli.definition import make_parser
from lentilmount.cli.session import Session
from lentilmount.context import Environment
from lentilmount.errors import LentilmountError
from lentilmount.status import ExitStatus


def main(args: list[str], env: Environment | None = None) -> ExitStatus:
    """Runs one command.

    Args:
      args: Command-line arguments, without the program name.
      env: Standard streams and variables; by default those of the process.

    Returns:
      The exit status of the process.
    """
    env = env or Environment()
    try:
        options = make_parser(env).parse_args(args)
        return asyncio.run(_run(options, env))
    except SystemExit as end:
        return ExitStatus(int(end.code or 0))
    except LentilmountError as error:
        _print_error(error, env)
        return error.answer.exit_status
    except BrokenPipeError:
        # The reader of the output, such as head, closed the pipe.
        return ExitStatus.OK
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED


def _print_error(error: LentilmountError, env: Environment) -> None:
    detail = error.answer.title if error.fields else error.detail
    print(f'lentilmount: {detail}', file=env.stderr)
    for field in error.fields:
        print(f'  {field}', file=env.stderr)
    if error.retry_after is not None:
        print(f'  try again in {error.retry_after:g} s', file=env.stderr)
    if 'request' in error.extra:
        print(f'  request {error.extra["request"]}', file=env.stderr)


async def _run(options: argparse.Namespace, env: Environment) -> ExitStatus:
    client = ApiClient(options.server, options.token, options.authority)
    try:
        return await ACTIONS[options.command](Session(client, options, env))
    finally:
        client.close()
