"""The settings of a daemon and the checks of single fields."""

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
    """Listen addresses: IP number and port; port 0 picks a free port.

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
    """TLS settings of one listener.

    Attributes:
      certificate: PEM file of the certificate chain.
      key: PEM file of the certificate's key.
      minimum_version: Minimum version of TLS, 1.2 or 1.3.
      authority: PEM file of the certificate authority that must have signed
        clients' certificates; without one, clients need no certificate.
        Required for the peers listener.
    """

    certificate: str
    key: str
    minimum_version: str = attrs.field(
        default='1.2', validator=attrs.validators.in_(('1.2', '1.3'))
    )
    authority: str = ''


@attrs.frozen
class ListenerTlsSettings:
    """TLS settings of each listener; None for plaintext.

    Attributes:
      callers: Interactive requests.
      operators: The resource API, health and readiness.
      metrics: Metrics.
      peers: Other daemons; requires an authority, for mutual TLS.
    """

    callers: TlsSettings | None = None
    operators: TlsSettings | None = None
    metrics: TlsSettings | None = None
    peers: TlsSettings | None = None


@attrs.frozen
class LimitSettings:
    """Limits of an HTTP listener.

    Attributes:
      header_kb: Largest request header, in KiB.
      body_kb: Largest request body, in KiB.
      connections: Maximum concurrent connections to one listener.
      buffered_kb: Maximum size of all buffered bodies on one listener, in KiB.
      idle_seconds: Timeout in seconds from one response to the next complete
        header; must exceed the idle timeout of the load balancer.
      body_seconds: Timeout in seconds for receiving a body.
      watches: Maximum concurrent watches.
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
    """URLs of the platform's services: scheme, IP number and port.

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
    """Permissions of one bearer token.

    Attributes:
      name: Name of the token's holder, for logs.
      sha256: SHA-256 hash of the token, in hexadecimal.
      team: Team whose resources it may access; '*' for every team.
      verbs: Allowed verbs, any of call, read, write, admin.
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
    """Periods, timeouts and lease terms, all in seconds.

    Attributes:
      heartbeat: Period of heartbeats to a peer.
      silence: Time without a heartbeat after which a peer counts as down.
      poll: Period of reading the newest revision from the table.
      host_list: Period of reading the host list.
      slice_lease: Term of a slice lease; it expires without renewal.
      task_lease: Term of a task lease; the task stops without renewal.
      task_promise: Maximum time for which task leases are renewed while the
        table is unavailable.
      sync: Period of calls to a worker.
      usage: Period of reading a worker's usage measurements.
      drain: Delay before a graceful shutdown closes the listeners, so that
        the load balancer notices first.
      stop_limit: Timeout of a graceful shutdown in total.
      settle: Time for which another daemon must be the preferred owner of a
        slice before the slice moves to it.
      forget: Time without a heartbeat after which a peer is removed.
      members: Period of reading the rows of the member daemons.
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
    """All settings of a daemon.

    Attributes:
      name: Name of the daemon.
      zone: Its availability zone.
      zones: Every availability zone of the deployment.
      platform: URLs of the platform's services.
      listen: Listen addresses.
      peers: Addresses of initial peers; others are discovered.
      tls: TLS settings of each listener.
      allow_plaintext: Whether a listener without TLS may be reached from
        other hosts; otherwise it must be on a loopback address.
      limits: Limits of the HTTP listeners.
      access: Bearer tokens and their permissions; if empty, every request
        that needs a token is refused.
      times: Periods, timeouts and lease terms.
      slices_per_zone: Number of slices into which a zone's workers are split.
      zone_links: Number of heartbeat streams between two availability zones.
      entry_hosts: Maximum number of entry hosts, replacements included.
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
