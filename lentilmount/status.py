"""Exit statuses of both programs."""

import enum


class ExitStatus(enum.IntEnum):
    """What a process tells its caller when it ends."""

    OK = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    NOT_FOUND = 4
    CONFLICT = 5
    FORBIDDEN = 6
    UNAVAILABLE = 7
    TIMEOUT = 8
    INTERRUPTED = 130
