"""A graceful shutdown drops no requests; a kill makes none run twice."""

import contextlib
import http.client
import json
import signal
import socket
import threading
import time
import urllib.request
from collections.abc import Iterator
from typing import Any

import pytest

from lentilmount.resources import Room
from lentilmount.settings import TimeSettings
from stand_ins.platform import PlatformOptions, make_zones
from stand_ins.processes import ADMIN_TOKEN, Deployment, Process

ROOM = Room(32.0, 125 * 1024, 0)
ACCESS = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
TIMES = TimeSettings(heartbeat=0.2, silence=0.8, drain=1.0, sync=0.5)
SERVICE_SECONDS = 0.5
SERVICE = {
    'kind': 'Service',
    'metadata': {'team': 't', 'name': 's'},
    'spec': {
        'replicas': 2,
        'demand': {'cores': 4, 'memory_mb': 1024},
        'deadline_ms': 5000,
        'payload': json.dumps(
            {'service_ms': SERVICE_SECONDS * 1000, 'slots': 8}
        ),
    },
}


@pytest.fixture(scope='module')
def deployment() -> Iterator[Deployment]:
    zones = make_zones(('a',), 2, 2, ROOM)
    with Deployment(PlatformOptions(zones), TIMES) as deployment:
        for name in ('e0', 'e1', 'e2'):
            deployment.start_daemon(name, 'a')
        ask(deployment.daemons['e0'], 'POST', '/v1/services', SERVICE)
        wait_for_replicas(deployment)
        yield deployment


def ask(process: Process, method: str, path: str, value: Any = None) -> Any:
    request = urllib.request.Request(
        f'http://{process.addresses["operators"]}{path}',
        None if value is None else json.dumps(value).encode(),
        ACCESS,
        method=method,
    )
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.load(answer)


def wait_for_replicas(deployment: Deployment) -> None:
    daemons = list(deployment.daemons.values())
    for _ in range(200):
        status = ask(daemons[0], 'GET', '/v1/services/t/s')['status']
        served = {send_once(process)[0] for process in daemons}
        if status['reason'].startswith('2 of') and served == {200}:
            return
        time.sleep(0.1)
    raise AssertionError(status)


def connect(process: Process) -> http.client.HTTPConnection:
    host, _, port = process.addresses['callers'].rpartition(':')
    return http.client.HTTPConnection(host, int(port), timeout=10)


def send(
    connection: http.client.HTTPConnection, name: str = ''
) -> tuple[int, bytes, str]:
    headers = {**ACCESS, 'Lentilmount-Request': name} if name else ACCESS
    connection.request('POST', '/call/t/s/x', b'body', headers)
    answer = connection.getresponse()
    return answer.status, answer.read(), answer.getheader('Connection', '')


def send_once(process: Process) -> tuple[int, bytes, str]:
    connection = connect(process)
    try:
        return send(connection)
    finally:
        connection.close()


class Caller(threading.Thread):
    """Sends requests one after the other on a persistent connection."""

    def __init__(self, process: Process, until: float):
        super().__init__()
        self.process = process
        self.until = until
        self.answers: list[tuple[float, int, str]] = []
        """When each request was sent, its status and the Connection header."""
        self.failures: list[Exception] = []

    def run(self) -> None:
        connection = connect(self.process)
        while time.monotonic() < self.until:
            sent_at = time.monotonic()
            try:
                status, _, closing = send(connection)
            except (OSError, http.client.HTTPException) as error:
                self.failures.append(error)
                return
            self.answers.append((sent_at, status, closing))


def test_a_planned_stop_drops_no_requests(deployment: Deployment) -> None:
    """A planned stop dropped requests that were in flight or came later."""
    stopping = deployment.daemons['e0']
    slow = start_slow_request(stopping)
    callers = [Caller(stopping, time.monotonic() + 1.4) for _ in range(6)]
    for caller in callers:
        caller.start()
    health = threading.Thread(target=ask_health, args=(stopping,))
    health.start()
    time.sleep(0.5)
    stopping.send(signal.SIGTERM)
    while 'Daemon e0 is stopping.' not in deployment.read_log('e0'):
        time.sleep(0.01)
    stopped_at = time.monotonic()
    time.sleep(0.3)
    stopping.send(signal.SIGTERM)
    for caller in callers:
        caller.join()
    assert finish_slow_request(slow).startswith(b'HTTP/1.1 200')
    assert stopping.popen.wait(10) == 0
    health.join()
    assert [caller.failures for caller in callers] == [[]] * 6
    answers = [answer for caller in callers for answer in caller.answers]
    assert {status for _, status, _ in answers} == {200}
    assert {c for sent_at, _, c in answers if sent_at > stopped_at} == {'close'}
    remaining = [deployment.daemons[name] for name in ('e1', 'e2')]
    owned = [ask(daemon, 'GET', '/v1/status')['slices'] for daemon in remaining]
    assert sorted(owned) == [[], ['a/0']]


def ask_health(process: Process) -> None:
    while process.popen.poll() is None:
        with contextlib.suppress(OSError):
            ask(process, 'GET', '/readyz')
        time.sleep(0.1)


def start_slow_request(process: Process) -> socket.socket:
    host, _, port = process.addresses['callers'].rpartition(':')
    connection = socket.create_connection((host, int(port)), timeout=10)
    head = (
        'POST /call/t/s/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n'
        f'Authorization: {ACCESS["Authorization"]}\r\n\r\nbo'
    )
    connection.sendall(head.encode())
    return connection


def finish_slow_request(connection: socket.socket) -> bytes:
    connection.sendall(b'dy')
    answer = connection.recv(65536)
    connection.close()
    return answer


def test_a_killed_daemon_runs_no_request_twice(deployment: Deployment) -> None:
    """After a kill a request ran twice, or was reported as not run."""
    killed = deployment.daemons['e2']
    results: list[str] = []

    def call(name: str) -> None:
        try:
            results.append(str(send(connect(killed), name)[0]))
        except (OSError, http.client.HTTPException):
            results.append('reset')

    names = [f'killed-{number}' for number in range(8)]
    threads = [threading.Thread(target=call, args=(n,)) for n in names]
    for thread in threads:
        thread.start()
    while sum(count_served(deployment, names)) < len(names):
        time.sleep(0.01)
    killed.kill()
    for thread in threads:
        thread.join()
    assert results == ['reset'] * 8
    time.sleep(SERVICE_SECONDS)
    assert count_served(deployment, names) == [1] * 8
    assert send_once(deployment.daemons['e1'])[0] == 200


def count_served(deployment: Deployment, names: list[str]) -> list[int]:
    """Counts how often upstreams have begun to serve each request."""
    workers = deployment.platform.addresses['workers'].values()
    served = [fetch_record(address)['served'] for address in workers]
    return [sum(s.get(name, 0) for s in served) for name in names]


def fetch_record(address: str) -> Any:
    with urllib.request.urlopen(f'http://{address}/_record') as answer:
        return json.load(answer)
