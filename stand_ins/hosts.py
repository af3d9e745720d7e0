"""A lagging host list, served as Prometheus HTTP service discovery."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from typing import Any

from tornado.web import Application

from lentilmount.upstream.hosts import Host, parse_hosts
from stand_ins.faults import FAULTS_PATH, Faults, FaultsHandler, FaultyHandler


class HostList:
    """All versions of the host list, so that old ones can be served.

    Attributes:
      lag: Seconds by which the served list lags.
    """

    def __init__(self, hosts: Iterable[Host], lag: float = 0.0):
        self.lag = lag
        self._versions = [(float('-inf'), tuple(hosts))]

    def change(self, hosts: Iterable[Host]) -> None:
        """Adds a version that is valid from now."""
        self._versions.append((time.monotonic(), tuple(hosts)))

    def get_newest(self) -> tuple[Host, ...]:
        """Returns the newest list, without lag."""
        return self._versions[-1][1]

    def get_served(self) -> tuple[Host, ...]:
        """Returns the list as it was `lag` seconds ago."""
        horizon = time.monotonic() - self.lag
        return [hosts for at, hosts in self._versions if at <= horizon][-1]


class HostsHandler(FaultyHandler):
    """Serves the host list."""

    def get(self) -> None:
        """Answers with one target group per host."""
        hosts: HostList = self.parts['hosts']
        self.reply([_make_group(host) for host in hosts.get_served()])


class HostChangeHandler(FaultyHandler):
    """Changes the lag, and marks hosts as leaving, removes or adds them."""

    def post(self) -> None:
        """Applies the changes in the body."""
        hosts: HostList = self.parts['hosts']
        change = json.loads(self.request.body)
        hosts.lag = change.get('lag', hosts.lag)
        leaving, gone = change.get('leaving'), change.get('gone')
        kept = [
            Host(h.name, h.address, h.zone, h.rack, True)
            if h.name == leaving
            else h
            for h in hosts.get_newest()
            if h.name != gone
        ]
        hosts.change(kept + parse_hosts(change.get('add', [])))
        self.reply({'hosts': len(hosts.get_newest())})


def _make_group(host: Host) -> dict[str, Any]:
    return {
        'targets': [host.address],
        'labels': {
            'name': host.name,
            'zone': host.zone,
            'rack': host.rack,
            'state': 'leaving' if host.leaving else 'live',
        },
    }


def make_hosts_app(hosts: HostList, faults: Faults) -> Application:
    """Builds the HTTP application of a host list."""
    parts: dict[str, Any] = {'hosts': hosts, 'faults': faults}
    return Application(
        [
            (FAULTS_PATH, FaultsHandler, {'faults': faults}),
            ('/_change', HostChangeHandler, parts),
            ('/v1/hosts', HostsHandler, parts),
        ]
    )
