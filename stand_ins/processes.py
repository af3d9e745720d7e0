"""Starts, signals and ends the processes of a small deployment.

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
import urllib.request
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
from stand_ins.raw import RawOptions

ADMIN_TOKEN = 'admin-token-of-the-demo'
STOP_SECONDS = 20.0
RAW_PROCESSES = 2


def hash_token(token: str) -> str:
    """Returns the hash of a token, as the access settings contain it."""
    return hashlib.sha256(token.encode()).hexdigest()


ADMIN = AccessSettings(
    'admin', hash_token(ADMIN_TOKEN), '*', ('call', 'read', 'write', 'admin')
)


@attrs.define
class Process:
    """One process and the addresses that it printed.

    Attributes:
      name: Name in messages and of the log file.
      popen: The process.
      addresses: Addresses of the listeners, by name.
    """

    name: str
    popen: subprocess.Popen[str]
    addresses: dict[str, Any] = attrs.Factory(dict)

    def read_addresses(self) -> None:
        """Reads the line of JSON that the process prints when it listens.

        Raises:
          RuntimeError: The process ended before.
        """
        assert self.popen.stdout is not None
        line = self.popen.stdout.readline()
        if not line:
            raise RuntimeError(
                f'{self.name} exited before it printed its addresses; '
                'see its log'
            )
        self.addresses = json.loads(line)

    def send(self, number: int) -> None:
        """Sends a signal to the process."""
        self.popen.send_signal(number)

    def stop(self) -> int:
        """Terminates the process and returns its exit status.

        It is killed if it has not ended after `STOP_SECONDS`.
        """
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.wait()

    def kill(self) -> None:
        """Kills the process if it still runs."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


class Deployment:
    """A platform and its daemons, as processes.

    Attributes:
      options: Options of the platform.
      platform: The platform's process.
      daemons: The daemons' processes, by name.
      raw: Options of raw upstreams that serve requests in place of the
        workers; None for none.
      raw_processes: Processes of the raw upstreams.
    """

    def __init__(
        self,
        options: PlatformOptions,
        times: TimeSettings | None = None,
        access: tuple[AccessSettings, ...] = (ADMIN,),
        raw: RawOptions | None = None,
    ):
        self.options = options
        self.raw = raw
        self.raw_processes: list[Process] = []
        self.daemons: dict[str, Process] = {}
        self._times = times or TimeSettings()
        self._access = access
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Deployment:
        """Starts the platform."""
        self._folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        if self.raw is not None:
            self._start_raw(self.raw)
        path = self._write('platform', unstructure(self.options))
        self.platform = self._start('platform', 'stand_ins', str(path))
        self.platform.read_addresses()
        return self

    def _start_raw(self, raw: RawOptions) -> None:
        names = [
            f'{zone.name}-{number:03d}'
            for zone in self.options.zones
            for number in range(zone.workers)
        ]
        for part in range(RAW_PROCESSES):
            options = attrs.evolve(
                raw, names=tuple(names[part::RAW_PROCESSES]), seed=part + 1
            )
            process = self.start(
                f'raw-{part}', 'stand_ins.raw', unstructure(options)
            )
            self.options.endpoints.update(process.addresses)
            self.raw_processes.append(process)

    def __exit__(self, *_: object) -> None:
        """Kills every process."""
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

    def start(self, name: str, module: str, options: Any) -> Process:
        """Starts a module with its options in a file; waits for its line."""
        process = self._start(name, module, str(self._write(name, options)))
        process.read_addresses()
        return process

    def add_workers(self, name: str, options: PlatformOptions) -> None:
        """Starts a process with more workers and adds them to the host list."""
        main_addresses = self.platform.addresses
        shared = attrs.evolve(options, objects=main_addresses['objects'])
        process = self.start(name, 'stand_ins', unstructure(shared))
        with urllib.request.urlopen(
            process.addresses['hosts'] + '/v1/hosts'
        ) as answer:
            groups = json.load(answer)
        change = json.dumps({'add': groups}).encode()
        urllib.request.urlopen(
            main_addresses['hosts'] + '/_change', change
        ).close()

    def start_daemon(
        self,
        name: str,
        zone: str,
        module: str = 'lentilmount.daemon',
        **changes: Any,
    ) -> Process:
        """Starts a daemon and waits until it listens.

        Args:
          name: Name of the daemon.
          zone: Availability zone of the daemon.
          module: Module to run, with further arguments.
          **changes: Settings that differ from the default.
        """
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
        program, *args = module.split()
        process = self._start(name, program, *args, '--settings', str(path))
        process.read_addresses()
        self.daemons[name] = process
        return process

    def get_settings_path(self, name: str) -> pathlib.Path:
        """Returns the path of a daemon's settings file."""
        return self._folder / f'{name}.json'

    def read_log(self, name: str) -> str:
        """Returns the standard error output of a process."""
        return (self._folder / f'{name}.log').read_text('utf-8')
