"""Who may do what, by bearer token."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable

import attrs

from lentilmount.errors import AccessError, ErrorKind
from lentilmount.settings import AccessSettings

EVERY_TEAM = '*'


class Verb(enum.Enum):
    """What a token can allow."""

    CALL = 'call'
    READ = 'read'
    WRITE = 'write'
    ADMIN = 'admin'


@attrs.frozen
class Grant:
    """What a request's token allows.

    Attributes:
      name: Who holds the token.
      team: The team, or '*'.
      verbs: What it allows.
    """

    name: str
    team: str
    verbs: frozenset[Verb]

    def sees(self, team: str) -> bool:
        """Tells whether a team's things are visible."""
        return self.team in (EVERY_TEAM, team)

    @property
    def sees_platform(self) -> bool:
        """Whether what belongs to no team is visible."""
        return self.team == EVERY_TEAM

    def require(self, verb: Verb, team: str) -> None:
        """Checks that the token allows a verb on a team's things.

        The answer depends on the token and the team alone, and is given
        before anything is looked up, so it tells nobody whether a resource of
        another team exists.

        Raises:
          AccessError: It does not.
        """
        if verb not in self.verbs:
            raise AccessError(
                f'the token of {self.name} does not allow {verb.value}; '
                f'use one that does'
            )
        if not self.sees(team):
            raise AccessError(
                f'the token of {self.name} is for team {self.team}, '
                f'not for {team or "the platform"}'
            )


class Gate:
    """Finds the grant of a token."""

    def __init__(self, access: Iterable[AccessSettings]):
        self._grants: dict[str, Grant] = {}
        self.replace(access)

    def replace(self, access: Iterable[AccessSettings]) -> None:
        """Takes new grants; requests that are under way keep theirs."""
        self._grants = {
            entry.sha256: Grant(
                entry.name,
                entry.team,
                frozenset(Verb(verb) for verb in entry.verbs),
            )
            for entry in access
        }

    def admit(self, header: str) -> Grant:
        """Returns the grant of an Authorization header.

        The look-up is by the token's hash. How long it takes can tell only
        about hashes, from which no token can be found.

        Raises:
          AccessError: There is no valid token.
        """
        scheme, _, token = header.partition(' ')
        given = hashlib.sha256(token.strip().encode()).hexdigest()
        if scheme.lower() == 'bearer' and given in self._grants:
            return self._grants[given]
        raise AccessError(
            'send a known token as "Authorization: Bearer TOKEN"',
            kind=ErrorKind.UNAUTHENTICATED,
        )
