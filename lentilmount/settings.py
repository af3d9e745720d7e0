"""What a daemon is told before it starts."""

from __future__ import annotations

import ipaddress
import re
from typing import Any

import attrs

LISTENERS = ('callers', 'operators', 'metrics', 'peers')


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


def _count(default: int) -> Any:
    return attrs.field(default=default, validator=attrs.validators.gt(0))


@attrs.frozen
class ListenSettings:
    """Where the daemon listens: IP number and port; 0 lets the system choose.

    Attributes:
      callers: Interactive requests.
      operators: The resource API, health and readiness.
      metrics: Metrics.
      peers: Other daemons.
    """

    callers: str = _address('127.0.0.1:0')
    operators: str = _address('127.0.0.1:0')
    metrics: str = _address('127.0.0.1:0')
    peers: str = _address('127.0.0.1:0')


@attrs.frozen
class TlsSettings:
    """How a listener is secured.

    Attributes:
      certificate: PEM file of the certificate chain.
      key: PEM file of the certificate's key.
      minimum_version: Least version of TLS, 1.2 or 1.3.
      authority: PEM file of the authority that clients' certificates must
        come from; without one, clients need no certificate. Peers need one.
    """

    certificate: str
    key: str
    minimum_version: str = attrs.field(
        default='1.2', validator=attrs.validators.in_(('1.2', '1.3'))
    )
    authority: str = ''


@attrs.frozen
class ListenerTlsSettings:
    """TLS of each listener; null for none.

    Attributes:
      callers: Interactive requests.
      operators: The resource API, health and readiness.
      metrics: Metrics.
      peers: Other daemons; needs an authority, which checks both sides.
    """

    callers: TlsSettings | None = None
    operators: TlsSettings | None = None
    metrics: TlsSettings | None = None
    peers: TlsSettings | None = None


@attrs.frozen
class LimitSettings:
    """What one client may take of an HTTP listener.

    Attributes:
      header_kb: Largest request header, in KiB.
      body_kb: Largest request body, in KiB.
      connections: Most connections to one listener at once.
      buffered_kb: Most that all bodies on one listener hold at once, in KiB.
      idle_seconds: Longest time from one answer to the next whole header;
        more than the balancer keeps an idle connection.
      body_seconds: Longest time for a body to arrive.
      watches: Most watches at once.
    """

    header_kb: int = _count(16)
    body_kb: int = _count(4096)
    connections: int = _count(1024)
    buffered_kb: int = _count(16384)
    idle_seconds: float = _seconds(75.0)
    body_seconds: float = _seconds(20.0)
    watches: int = _count(64)


@attrs.frozen
class PlatformSettings:
    """Where the platform is: scheme, IP number and port of each service.

    Attributes:
      table: The transactional table service.
      objects: The object store.
      hosts: The host list.
    """

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
      usage: Between two readings of a worker's measurements.
      drain: Before a planned stop closes the listeners: the balancer's lag.
      stop_limit: Most time that a planned stop takes in all.
      settle: For how long another daemon has to be the better owner of a
        slice before the slice goes to it.
      forget: After which a silent peer is forgotten.
      members: Between two looks at the rows of the daemons.
    """

    heartbeat: float = _seconds(0.5)
    silence: float = _seconds(2.0)
    poll: float = _seconds(0.5)
    host_list: float = _seconds(1.0)
    slice_lease: float = _seconds(3.0)
    task_lease: float = _seconds(15.0)
    task_promise: float = _seconds(600.0)
    sync: float = _seconds(2.0)
    usage: float = _seconds(2.0)
    drain: float = _seconds(2.0)
    stop_limit: float = _seconds(40.0)
    settle: float = _seconds(4.0)
    forget: float = _seconds(60.0)
    members: float = _seconds(10.0)


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
      tls: TLS of each listener.
      allow_plaintext: Whether a listener without TLS may be reached from
        other hosts; otherwise it must be on a loopback address.
      limits: What one client may take.
      access: Who may do what; empty means that nobody is let in.
      times: Times.
      slices_per_zone: Shares into which a zone's workers are split.
      zone_links: Streams of heartbeats that join two availability zones.
      entry_hosts: Most entry hosts at once, replacements included.
      log_format: text or json.
      log_level: debug, info, warning or error.
    """

    name: str = attrs.field(validator=attrs.validators.min_len(1))
    zone: str
    zones: tuple[str, ...] = attrs.field(validator=attrs.validators.min_len(1))
    platform: PlatformSettings
    listen: ListenSettings = ListenSettings()
    tls: ListenerTlsSettings = ListenerTlsSettings()
    allow_plaintext: bool = False
    limits: LimitSettings = LimitSettings()
    peers: tuple[str, ...] = attrs.field(
        default=(),
        validator=attrs.validators.deep_iterable(_check_address),
    )
    access: tuple[AccessSettings, ...] = ()
    times: TimeSettings = TimeSettings()
    slices_per_zone: int = attrs.field(
        default=1, validator=attrs.validators.gt(0)
    )
    zone_links: int = attrs.field(default=2, validator=attrs.validators.gt(0))
    entry_hosts: int = attrs.field(default=8, validator=attrs.validators.gt(0))
    log_format: str = attrs.field(
        default='text', validator=attrs.validators.in_(('text', 'json'))
    )
    log_level: str = attrs.field(
        default='info',
        validator=attrs.validators.in_(('debug', 'info', 'warning', 'error')),
    )
