"""The daemon's settings: JSON with comments, checked whole before use."""

from __future__ import annotations

import ipaddress
import pathlib
import re
from typing import Any

import attrs
import json5

from lentilmount.codec import structure
from lentilmount.errors import FieldProblem, InvalidError, SettingsError

LOOPBACK_HOSTS = ('127.0.0.1', '::1')


def _check_address(
    _: object, attribute: attrs.Attribute[Any], value: str
) -> None:
    host, _, port = value.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        valid = 0 <= int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise ValueError(
            f"'{attribute.name}' must be an IP number and a port, such as "
            f'127.0.0.1:7000, not {value!r}'
        )


def _check_base(_: object, attribute: attrs.Attribute[Any], value: str) -> None:
    if not re.match(r'https?://[^/]+$', value):
        raise ValueError(
            f"'{attribute.name}' must look like http://127.0.0.1:7001, "
            f'not {value!r}'
        )


def _address(default: Any = attrs.NOTHING) -> Any:
    return attrs.field(default=default, validator=_check_address)


def _base() -> Any:
    return attrs.field(validator=_check_base)


def _seconds(default: float) -> Any:
    return attrs.field(default=default, validator=attrs.validators.gt(0))


@attrs.frozen
class ListenSettings:
    """Where the daemon listens; port 0 lets the system choose."""

    callers: str = _address('127.0.0.1:0')
    operators: str = _address('127.0.0.1:0')
    metrics: str = _address('127.0.0.1:0')
    peers: str = _address('127.0.0.1:0')


@attrs.frozen
class PlatformSettings:
    """Where the platform is."""

    table: str = _base()
    objects: str = _base()
    hosts: str = _base()


@attrs.frozen
class AccessSettings:
    """What one bearer token allows.

    Attributes:
      name: Who holds the token; for logs.
      sha256: Hash of the token, in hexadecimal.
      team: The team it is for; '*' for every team.
      verbs: Any of call, read, write, admin.
    """

    name: str
    sha256: str = attrs.field(
        validator=attrs.validators.matches_re('[0-9a-f]{64}')
    )
    team: str
    verbs: tuple[str, ...] = attrs.field(
        validator=attrs.validators.deep_iterable(
            attrs.validators.in_(('call', 'read', 'write', 'admin'))
        )
    )


@attrs.frozen
class TimeSettings:
    """Times, in seconds.

    Attributes:
      heartbeat: Between two heartbeats to a peer.
      silence: After which a silent peer counts as down.
      poll: Between two looks at the table's newest revision.
      host_list: Between two looks at the host list.
      slice_lease: How long a slice is held without renewal.
      task_lease: How long a task runs on without renewal.
      task_promise: How long tasks are renewed while the table is out.
      sync: Between two calls to a worker.
      drain: Before a planned stop closes the listeners: the balancer's lag.
    """

    heartbeat: float = _seconds(0.5)
    silence: float = _seconds(2.0)
    poll: float = _seconds(0.5)
    host_list: float = _seconds(1.0)
    slice_lease: float = _seconds(3.0)
    task_lease: float = _seconds(15.0)
    task_promise: float = _seconds(600.0)
    sync: float = _seconds(2.0)
    drain: float = _seconds(2.0)


@attrs.frozen
class Settings:
    """Everything a daemon is told before it starts.

    Attributes:
      name: The daemon's name.
      zone: Its availability zone.
      zones: Every availability zone of the deployment.
      platform: Where the platform is.
      listen: Where to listen.
      peers: Addresses of peers to begin with; others are found.
      access: Who may do what; empty means that nobody is let in.
      times: Times.
      slices_per_zone: Shares into which a zone's workers are split.
      entry_hosts: Most entry hosts at once, replacements included.
      log_format: text or json.
      log_level: debug, info, warning or error.
    """

    name: str
    zone: str
    zones: tuple[str, ...] = attrs.field(validator=attrs.validators.min_len(1))
    platform: PlatformSettings
    listen: ListenSettings = ListenSettings()
    peers: tuple[str, ...] = ()
    access: tuple[AccessSettings, ...] = ()
    times: TimeSettings = TimeSettings()
    slices_per_zone: int = attrs.field(
        default=1, validator=attrs.validators.gt(0)
    )
    entry_hosts: int = attrs.field(default=8, validator=attrs.validators.gt(0))
    log_format: str = attrs.field(
        default='text', validator=attrs.validators.in_(('text', 'json'))
    )
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(('debug', 'info', 'warning', 'error')),
    )


def read_settings(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
      SettingsError: With every wrong field.
    """
    try:
        text = pathlib.Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error
    return parse_settings(text, path)


def parse_settings(text: str, path: str = 'settings') -> Settings:
    """Checks the text of a settings file; see `read_settings`."""
    try:
        value = json5.loads(text)
    except ValueError as error:
        raise SettingsError(f'{path}: {error}') from error
    try:
        settings = structure(value, Settings)
    except InvalidError as error:
        fields = tuple(_find_line(text, field) for field in error.fields)
        lines = '\n'.join(f'  {field}' for field in fields)
        raise SettingsError(f'{path}:\n{lines}', fields=fields) from error
    if settings.zone not in settings.zones:
        field = FieldProblem(
            'zone', f'{settings.zone!r} is not one of zones', 'add it there'
        )
        field = _find_line(text, field)
        raise SettingsError(f'{path}:\n  {field}', fields=(field,))
    return settings


def _find_line(text: str, problem: FieldProblem) -> FieldProblem:
    """Adds the line where the last part of the field's path stands."""
    line = 1
    position = 0
    for name in re.findall(r'[A-Za-z_]\w*', problem.field):
        found = re.compile(rf'["\']?\b{name}\b["\']?\s*:').search(
            text, position
        )
        if found is None:
            break
        position = found.start()
        line = text.count('\n', 0, position) + 1
    return attrs.evolve(problem, line=line)
