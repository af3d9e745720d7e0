"""Commands during faults of the platform, and signals to a daemon."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import io
import json
import pathlib
import signal
import socket
import subprocess
import sys

from lentilmount.cli import follow
from lentilmount.cli.client import ApiClient
from lentilmount.cli.session import Session
from lentilmount.codec import unstructure
from lentilmount.context import Environment
from lentilmount.resources import Room
from lentilmount.settings import ListenSettings
from lentilmount.status import ExitStatus
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.processes import Deployment
from stand_ins.site import Site, make_job, make_service


def test_command_with_lost_answers_is_applied_once(site: Site) -> None:
    """A command retried after a lost answer must not be applied twice."""
    site.tool('apply', '-f', '-', stdin=json.dumps(make_service('l', 'desk')))
    before = site.call('GET', '/v1/services/desk/l')['metadata']['revision']
    newest = site.call('GET', '/v1/status')['revision']
    changed = make_service('l', 'desk', replicas=3)
    site.platform.table_faults.lose_answers = 6
    result = site.tool('apply', '-f', '-', stdin=json.dumps(changed))
    assert result.status is ExitStatus.OK, result
    assert 'Service desk/l: accepted' in result.out
    service = site.call('GET', '/v1/services/desk/l')
    assert service['spec']['replicas'] == 3
    assert service['metadata']['revision'] == newest + 1 > before


def test_outage_is_reported_and_a_later_retry_succeeds(site: Site) -> None:
    job = json.dumps(make_job('outage'))
    site.platform.table_faults.down = True
    try:
        result = site.tool('apply', '-f', '-', stdin=job)
    finally:
        site.platform.table_faults.down = False
    assert result.status is ExitStatus.UNAVAILABLE
    assert 'the table service does not answer' in result.err
    assert 'try again in' in result.err
    again = site.tool('apply', '-f', '-', '--wait', stdin=job)
    assert 'Job desk/outage: completed' in again.out


def test_timeline_is_followed(site: Site) -> None:
    out = io.StringIO()
    options = argparse.Namespace(output='jsonl')
    env = Environment(stdout=out)

    async def check() -> None:
        client = ApiClient(site.base(), 'admin')
        session = Session(client, options, env)
        line = await client.read('/v1/timeline', limit=1)
        following = asyncio.create_task(
            follow._follow(session, {'resource': 'Job/desk/followed'}, line)
        )
        await client.command('POST', '/v1/jobs', make_job('followed'))
        async with asyncio.timeout(15):
            while 'completed' not in out.getvalue():
                await asyncio.sleep(0.05)
        following.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await following
        client.close()

    site.run(check())
    kinds = [json.loads(line)['kind'] for line in out.getvalue().splitlines()]
    assert kinds == ['accepted', 'placed', 'running', 'completed']


def test_signals_and_an_occupied_port(tmp_path: pathlib.Path) -> None:
    """The log of a reload and the error of an occupied port name the field."""
    zones = make_zones(('a',), 1, 1, Room(4.0, 1024, 0))
    with Deployment(PlatformOptions(zones)) as deployment:
        process = deployment.start_daemon('one', 'a')
        path = deployment.get_settings_path('one')
        value = json.loads(path.read_text('utf-8'))
        occupied = ListenSettings(operators=process.addresses['operators'])
        other = tmp_path / 'two.json'
        other.write_text(
            json.dumps(
                {**value, 'name': 'two', 'listen': unstructure(occupied)}
            )
        )
        ended = subprocess.run(
            [
                *(sys.executable, '-m', 'lentilmount.daemon'),
                *('--settings', str(other)),
            ],
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
        assert ended.returncode == ExitStatus.INVALID
        assert (
            f'listen.operators: {occupied.operators} cannot be' in ended.stderr
        )
        path.write_text(
            json.dumps({**value, 'log_level': 'debug', 'entry_hosts': 3})
        )
        process.send(signal.SIGHUP)
        host, _, port = process.addresses['operators'].partition(':')
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(b'GET /healthz HTTP/1.0\r\n\r\n')
            assert b' 200 ' in connection.recv(100)
        assert process.stop() == ExitStatus.OK
        log = deployment.read_log('one')
    assert 'Settings read; in force: log_level.' in log
    assert 'Only a restart changes entry_hosts.' in log
    assert 'events: daemon: daemon-stopping.' in log
