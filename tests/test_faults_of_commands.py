"""Commands while the platform fails, and daemons told by signals."""

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


def test_a_command_whose_answers_are_lost_is_one_change(site: Site) -> None:
    """A command that is sent again after a lost answer was a second change."""
    site.tool('apply', '-f', '-', stdin=json.dumps(make_service('l', 'desk')))
    before = site.call('GET', '/v1/services/desk/l')['metadata']['revision']
    newest = site.call('GET', '/v1/status')['revision']
    changed = make_service('l', 'desk', replicas=3)
    site.platform.table_faults.lose_answers = 6
    told = site.tool('apply', '-f', '-', stdin=json.dumps(changed))
    assert told.status is ExitStatus.OK, told
    assert 'Service desk/l: accepted' in told.out
    service = site.call('GET', '/v1/services/desk/l')
    assert service['spec']['replicas'] == 3
    assert service['metadata']['revision'] == newest + 1 > before


def test_an_outage_is_told_and_the_command_works_after_it(site: Site) -> None:
    job = json.dumps(make_job('outage'))
    site.platform.table_faults.down = True
    try:
        told = site.tool('apply', '-f', '-', stdin=job)
    finally:
        site.platform.table_faults.down = False
    assert told.status is ExitStatus.UNAVAILABLE
    assert 'the table service does not answer' in told.err
    assert 'try again in' in told.err
    again = site.tool('apply', '-f', '-', '--wait', stdin=job)
    assert 'Job desk/outage: completed' in again.out


def test_the_time_line_is_followed(site: Site) -> None:
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


def test_signals_and_a_taken_port(tmp_path: pathlib.Path) -> None:
    """A reload or a taken port is not told with the field to change."""
    zones = make_zones(('a',), 1, 1, Room(4.0, 1024, 0))
    with Deployment(PlatformOptions(zones)) as deployment:
        process = deployment.start_daemon('one', 'a')
        path = deployment.get_settings_path('one')
        value = json.loads(path.read_text('utf-8'))
        taken = ListenSettings(operators=process.addresses['operators'])
        other = tmp_path / 'two.json'
        other.write_text(
            json.dumps({**value, 'name': 'two', 'listen': unstructure(taken)})
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
        assert f'listen.operators: {taken.operators} cannot be' in ended.stderr
        path.write_text(
            json.dumps({**value, 'log_level': 'debug', 'entry_hosts': 3})
        )
        process.send(signal.SIGHUP)
        host, _, port = process.addresses['operators'].partition(':')
        with socket.create_connection((host, int(port)), 5) as link:
            link.sendall(b'GET /healthz HTTP/1.0\r\n\r\n')
            assert b' 200 ' in link.recv(100)
        assert process.stop() == ExitStatus.OK
        log = deployment.read_log('one')
    assert 'Settings read; in force: log_level.' in log
    assert 'Only a restart changes entry_hosts.' in log
    assert 'events: daemon: daemon-stopping.' in log
