"""Reads the settings file that the outer platform gives to a daemon."""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from lentilmount.errors import FieldProblem, SettingsError

PATH_VARIABLE = 'LENTILMOUNT_BOOT'

FIX = 'see the platform page on settings of a process'


@attrs.frozen
class Address:
    """Host and port to listen on or to connect to."""

    host: str
    port: int

    def __str__(self) -> str:
        """Formats the address as in a URL."""
        return f'{self.host}:{self.port}'


@attrs.frozen
class Times:
    """Time limits set by the platform and its users, in seconds.

    Attributes:
      grace: Time from the stop signal to the kill.
      lease: Longest lease that a worker accepts.
      status: Time for which the state of a finished job is kept.
      apply: Time within which a configuration change must be in force.
      capacity: Time after which a worker's capacity that has shrunk binds.
      cordon: Time after which the cordon of a zone binds; infinity if none is
        set.
    """

    grace: float
    lease: float
    status: float
    apply: float
    capacity: float
    cordon: float = math.inf


BYTES_PER_SECOND_PER_MBPS = 125_000


@attrs.frozen
class Capacity:
    """Capacity of a host, shared by all processes on it.

    Attributes:
      cores: CPU, in cores that run all the time. A host may have a share of a
        core that is several times as fast.
      link_mbps: Bandwidth of its network link, in Mbit/s.
    """

    cores: float
    link_mbps: float

    @property
    def link_bytes_per_second(self) -> float:
        """Bandwidth of the network link in bytes per second."""
        return self.link_mbps * BYTES_PER_SECOND_PER_MBPS


@attrs.frozen
class HostSettings:
    """Settings of a daemon: its host, addresses, capacity and time limits.

    Attributes:
      name: Name of the host.
      zone: Its availability zone.
      frontend: Address for clients.
      readiness: Address for readiness checks of the load balancer.
      internal: Address for other daemons.
      store: Address of the table service.
      advice: Address of the advice service, or None if there is none.
      capacity: Capacity of the host.
      times: Time limits.
    """

    name: str
    zone: str
    frontend: Address
    readiness: Address
    internal: Address
    store: Address
    advice: Address | None
    capacity: Capacity
    times: Times


def read_path() -> str:
    """Returns the path of the settings file.

    Raises:
      SettingsError: The environment variable is not set.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise SettingsError(
            f'{PATH_VARIABLE} is not set; set it to the path of the settings '
            'file'
        )
    return path


def read_host_settings(path: str) -> HostSettings:
    """Reads and validates a settings file, in JSON or YAML.

    Raises:
      SettingsError: The file can't be read, or fields are missing or invalid;
        the error lists all of them.
    """
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path} cannot be read: {error}') from error
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError:
        document = _parse_yaml(path, text)
    return decode_host_settings(document)


def _parse_yaml(path: str, text: str) -> Any:
    # Most deployments write JSON, and the parser takes memory.
    import yaml  # noqa: PLC0415

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise SettingsError(f'{path} cannot be read: {error}') from error


def decode_host_settings(document: Any) -> HostSettings:
    """Decodes the fields of a settings file; unknown ones are ignored.

    Raises:
      SettingsError: Fields are missing or invalid; the error lists all of them.
    """
    fields = _Fields(document)
    ip = fields.get_text('ip')
    settings = HostSettings(
        name=fields.get_text('nodeName'),
        zone=fields.get_text('zone'),
        frontend=fields.get_address('listenAddrs.frontend'),
        readiness=fields.get_address('listenAddrs.readiness'),
        internal=Address(ip, int(fields.get_number('internalPorts.0'))),
        store=fields.get_address('platform.address'),
        # 'recommendation' is the advice service.
        advice=fields.find_address('recommendation'),
        capacity=Capacity(
            cores=fields.get_number('limits.cpuShare')
            * fields.get_number('limits.cores'),
            link_mbps=fields.get_number('limits.linkMbps'),
        ),
        times=Times(
            grace=fields.get_number('bounds.graceS'),
            # 'maxHoldMs' bounds the leases that workers accept.
            lease=fields.get_number('bounds.maxHoldMs') / 1000,
            status=fields.get_number('bounds.status_s'),
            apply=fields.get_number('bounds.configApplyMs') / 1000,
            # Workers register each 'heartbeatMs', and are known 'contactMs'
            # later.
            capacity=(
                fields.get_number('bounds.contactMs')
                + fields.get_number('heartbeatMs')
            )
            / 1000,
            # 'evacuateMs' counts from the store's answer to the operator.
            cordon=fields.find_number('bounds.evacuateMs', math.inf) / 1000,
        ),
    )
    if fields.problems:
        listed = '; '.join(str(problem) for problem in fields.problems)
        raise SettingsError(listed, fields=tuple(fields.problems))
    return settings


class _Fields:
    """Reads fields by dotted path and collects their problems."""

    def __init__(self, document: Any):
        self._document = document
        self.problems: list[FieldProblem] = []

    def _find(self, path: str) -> Any:
        value = self._document
        for name in path.split('.'):
            if isinstance(value, Mapping):
                value = value.get(name)
            elif isinstance(value, list) and name.isdigit():
                value = value[int(name)] if int(name) < len(value) else None
            else:
                return None
        return value

    def _add_problem(self, path: str, problem: str) -> None:
        self.problems.append(FieldProblem(path, problem, FIX))

    def get_text(self, path: str) -> str:
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self._add_problem(path, 'must be a non-empty string')
        return ''

    def get_number(self, path: str) -> float:
        value = self._find(path)
        if isinstance(value, int | float) and not isinstance(value, bool):
            return float(value)
        self._add_problem(path, 'must be a number')
        return 0.0

    def find_number(self, path: str, default: float) -> float:
        is_set = self._find(path) is not None
        return self.get_number(path) if is_set else default

    def get_address(self, path: str) -> Address:
        found = self.find_address(path)
        if found is None:
            self._add_problem(path, 'must be HOST:PORT')
        return found or Address('', 0)

    def find_address(self, path: str) -> Address | None:
        value = self._find(path)
        if not isinstance(value, str):
            return None
        host, _, port = value.rpartition(':')
        if not host or not port.isdigit():
            self._add_problem(path, 'must be HOST:PORT')
            return None
        return Address(host, int(port))
