"""The command-line tool, from arguments to an exit status."""

from __future__ import annotations

import argparse
import asyncio

from lentilmount.cli.actions import ACTIONS, Context
from lentilmount.cli.client import ApiClient
from lentilmount.cli.definition import make_parser
from lentilmount.context import Environment
from lentilmount.errors import LentilmountError
from lentilmount.status import ExitStatus


def main(args: list[str], env: Environment | None = None) -> ExitStatus:
    """Runs one command.

    Args:
      args: The arguments, without the program's name.
      env: Where input and output go.

    Returns:
      The status that the process ends with.
    """
    env = env or Environment()
    options = make_parser(env).parse_args(args)
    try:
        return asyncio.run(_run(options, env))
    except LentilmountError as error:
        print(f'lentilmount: {error.detail}', file=env.stderr)
        for field in error.fields:
            print(f'  {field}', file=env.stderr)
        return error.answer.exit_status
    except KeyboardInterrupt:
        return ExitStatus.INTERRUPTED


async def _run(options: argparse.Namespace, env: Environment) -> ExitStatus:
    client = ApiClient(options.server, options.token)
    try:
        action = ACTIONS[options.command]
        return await action(Context(client, options, env))
    finally:
        client.close()
