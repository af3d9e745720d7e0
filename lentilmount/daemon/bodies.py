"""Bodies of requests: how large one may be, and how much all hold."""

from __future__ import annotations

import attrs

from lentilmount.errors import ErrorKind, LentilmountError

RETRY_AFTER_SECONDS = 1.0

BODY_LIMITS = 'body_limits'
"""The application's setting that holds its `BodyLimits`."""


@attrs.define
class BodyLimits:
    """What the bodies of requests may take of the daemon's memory.

    Large bodies that trickle in on many connections, each within its own
    limit, would together take more memory than the host has. So what is
    promised to all of them is counted, and a body that does not fit is
    refused before it is read.

    Attributes:
      largest: Largest body, in bytes.
      most_held: Most bytes that all bodies hold at once.
      held: Bytes promised now.
    """

    largest: int = 4 * 1024 * 1024
    most_held: int = 16 * 1024 * 1024
    held: int = 0

    def hold(self, size: int) -> None:
        """Promises room for a body.

        Raises:
          LentilmountError: Of kind TOO_LARGE or OVERLOADED.
        """
        if size > self.largest:
            raise LentilmountError(
                f'the body has {size} bytes; at most {self.largest} are taken',
                kind=ErrorKind.TOO_LARGE,
            )
        if self.held + size > self.most_held:
            raise LentilmountError(
                'too many large bodies are on their way',
                kind=ErrorKind.OVERLOADED,
                retry_after=RETRY_AFTER_SECONDS,
            )
        self.held += size

    def release(self, size: int) -> None:
        """Takes back what was promised."""
        self.held -= size
