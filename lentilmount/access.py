"""Authentication and authorization by bearer token."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable

import attrs

from lentilmount.errors import AccessError, ErrorKind
from lentilmount.settings import AccessSettings

EVERY_TEAM = '*'


class Verb(enum.Enum):
    """The actions that a token can allow."""

    CALL = 'call'
    READ = 'read'
    WRITE = 'write'
    ADMIN = 'admin'


@attrs.frozen
class Grant:
    """The permissions of a request's token.

    Attributes:
      name: Name of the token's holder.
      team: Team whose resources it may access; '*' for every team.
      verbs: Allowed actions.
    """

    name: str
    team: str
    verbs: frozenset[Verb]

    def can_see(self, team: str) -> bool:
        """Returns whether a team's resources are visible."""
        return self.team in (EVERY_TEAM, team)

    @property
    def can_see_platform(self) -> bool:
        """Whether resources that belong to no team are visible."""
        return self.team == EVERY_TEAM

    def require(self, verb: Verb, team: str) -> None:
        """Checks that the token allows a verb on a team's resources.

        The result depends only on the token and the team, and callers check
        it before they read any resource, so a refusal does not disclose
        whether a resource of another team exists.

        Raises:
          AccessError: The token does not allow it.
        """
        if verb not in self.verbs:
            raise AccessError(
                f'the token of {self.name} does not allow {verb.value}; '
                f'use one that does'
            )
        if not self.can_see(team):
            raise AccessError(
                f'the token of {self.name} is for team {self.team}, '
                f'not for {team or "the platform"}'
            )


class Authenticator:
    """Authenticates requests: maps bearer tokens to their grants."""

    def __init__(self, access: Iterable[AccessSettings]):
        self._grants: dict[str, Grant] = {}
        self.replace(access)

    def replace(self, access: Iterable[AccessSettings]) -> None:
        """Replaces all grants; requests in progress keep theirs."""
        self._grants = {
            entry.sha256: Grant(
                entry.name,
                entry.team,
                frozenset(Verb(verb) for verb in entry.verbs),
            )
            for entry in access
        }

    def authenticate(self, header: str) -> Grant:
        """Returns the grant of an Authorization header.

        The lookup is by the token's hash, so its duration can disclose only
        hashes, from which a token cannot be computed.

        Raises:
          AccessError: The header has no valid token.
        """
        scheme, _, token = header.partition(' ')
        token_hash = hashlib.sha256(token.strip().encode()).hexdigest()
        if scheme.lower() == 'bearer' and token_hash in self._grants:
            return self._grants[token_hash]
        raise AccessError(
            'send a known token as "Authorization: Bearer TOKEN"',
            kind=ErrorKind.UNAUTHENTICATED,
        )
