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
      raw: If set, raw upstreams serve in place of the workers.
      raw_processes: Their processes.
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

    def start(self, name: str, module: str, options: Any) -> Process:
        """Starts another program with its options in a file."""
        process = self._start(name, module, str(self._write(name, options)))
        process.read_addresses()
        return process

    def add_workers(self, name: str, options: PlatformOptions) -> None:
        """Runs more workers, in a process of their own."""
        core = self.platform.addresses
        shared = attrs.evolve(options, objects=core['objects'])
        process = self.start(name, 'stand_ins', unstructure(shared))
        with urllib.request.urlopen(
            process.addresses['hosts'] + '/v1/hosts'
        ) as answer:
            groups = json.load(answer)
        change = json.dumps({'add': groups}).encode()
        urllib.request.urlopen(core['hosts'] + '/_change', change).close()

    def start_daemon(
        self,
        name: str,
        zone: str,
        module: str = 'lentilmount.daemon',
        **changes: Any,
    ) -> Process:
        """Starts a daemon and waits until it listens.

        Args:
          name: Its name.
          zone: Its availability zone.
          module: What to run, with further arguments.
          **changes: Settings that differ.
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
        """Returns the settings file of a daemon."""
        return self._folder / f'{name}.json'

    def read_log(self, name: str) -> str:
        """Returns what a process logged."""
        return (self._folder / f'{name}.log').read_text('utf-8')
