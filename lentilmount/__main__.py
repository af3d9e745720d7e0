"""Starts the command-line tool."""

import sys

from lentilmount import core


def main() -> int:
    """Runs the tool with the process's own arguments."""
    return core.main(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
