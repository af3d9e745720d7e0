"""Starts, pauses and ends the processes of a small deployment.

For demos, tests and benchmarks only: the product itself starts no process.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import Any

import attrs

from lentilmount.codec import unstructure
from lentilmount.settings import (
    AccessSettings,
    PlatformSettings,
    Settings,
    TimeSettings,
)
from stand_ins.platform import PlatformOptions

ADMIN_TOKEN = 'admin-token-of-the-demo'
STOP_SECONDS = 20.0


def hash_token(token: str) -> str:
    """Returns the hash that settings hold of a token."""
    return hashlib.sha256(token.encode()).hexdigest()


ADMIN = AccessSettings(
    'admin', hash_token(ADMIN_TOKEN), '*', ('call', 'read', 'write', 'admin')
)


@attrs.define
class Process:
    """One process and the addresses that it printed.

    Attributes:
      name: What it is called in messages.
      popen: The process.
      addresses: Where it listens.
    """

    name: str
    popen: subprocess.Popen[str]
    addresses: dict[str, Any] = attrs.Factory(dict)

    def read_addresses(self) -> None:
        """Waits for the line of JSON that it prints when it listens."""
        assert self.popen.stdout is not None
        line = self.popen.stdout.readline()
        if not line:
            raise RuntimeError(f'{self.name} ended before it listened')
        self.addresses = json.loads(line)

    def send(self, number: int) -> None:
        """Sends it a signal."""
        self.popen.send_signal(number)

    def stop(self) -> int:
        """Asks it to end and waits; returns its exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.wait()

    def kill(self) -> None:
        """Ends it at once."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class Deployment:
    """A platform and its daemons, as processes.

    Attributes:
      platform: The platform's process.
      daemons: The daemons' processes, by name.
    """

    def __init__(
        self,
        options: PlatformOptions,
        times: TimeSettings | None = None,
        access: tuple[AccessSettings, ...] = (ADMIN,),
    ):
        self.options = options
        self.daemons: dict[str, Process] = {}
        self._times = times or TimeSettings()
        self._access = access
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Deployment:
        """Starts the platform."""
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        path = self._write('platform', unstructure(self.options))
        self.platform = self._start('platform', 'stand_ins', str(path))
        self.platform.read_addresses()
        return self

    def __exit__(self, *_: object) -> None:
        """Ends every process."""
        self._stack.close()

    def _write(self, name: str, value: Any) -> pathlib.Path:
        path = self._folder / f'{name}.json'
        path.write_text(json.dumps(value), 'utf-8')
        return path

    def _start(self, name: str, module: str, *args: str) -> Process:
        with (self._folder / f'{name}.log').open('a') as log:
            popen = subprocess.Popen(
                [sys.executable, '-m', module, *args],
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
            )
        process = Process(name, popen)
        self._stack.callback(process.kill)
        return process

    def start_daemon(self, name: str, zone: str, **changes: Any) -> Process:
        """Starts a daemon and waits until it listens."""
        addresses = self.platform.addresses
        settings = Settings(
            name=name,
            zone=zone,
            zones=tuple(z.name for z in self.options.zones),
            platform=PlatformSettings(
                addresses['table'], addresses['objects'], addresses['hosts']
            ),
            peers=tuple(d.addresses['peers'] for d in self.daemons.values()),
            access=self._access,
            times=self._times,
        )
        settings = attrs.evolve(settings, **changes)
        path = self._write(name, unstructure(settings))
        process = self._start(
            name, 'lentilmount.daemon', '--settings', str(path)
        )
        process.read_addresses()
        self.daemons[name] = process
        return process

    def get_settings_path(self, name: str) -> pathlib.Path:
        """Returns the settings file of a daemon."""
        return self._folder / f'{name}.json'

    def read_log(self, name: str) -> str:
        """Returns what a process logged."""
        return (self._folder / f'{name}.log').read_text('utf-8')
