"""Invalid input is answered with a documented error and changes nothing."""

from __future__ import annotations

import json
import socket
import time
from typing import Any

import pytest

from lentilmount.daemon.bodies import BODY_LIMITS, BodyLimits
from lentilmount.errors import ANSWERS, ErrorKind
from stand_ins.site import Site, make_job, make_service

OVERSIZED_BYTES = 5 * 1024 * 1024


def read_problem(answer: Any) -> dict[str, Any]:
    """Checks that an answer is a problem document, and returns it."""
    problem: dict[str, Any] = json.loads(answer.body)
    assert answer.headers['Content-Type'] == 'application/problem+json'
    row = ANSWERS[ErrorKind(problem['kind'])]
    assert (problem['status'], problem['title']) == (row.http, row.title)
    assert answer.status == row.http
    assert problem['request'] == answer.headers['Lentilmount-Request']
    return problem


@pytest.mark.parametrize(
    ('body', 'kind', 'detail'),
    [
        (b'', 'invalid', 'the body is empty'),
        (b'  \n', 'invalid', 'the body is empty'),
        (b'\xff\xfe{}', 'invalid', 'not UTF-8 at byte 0'),
        (b'{"kind": "Job"', 'invalid', 'line 1, column'),
        (b'[' * 100_000, 'invalid', 'nested too deeply'),
        (b'[]', 'invalid', 'must be an object'),
        (b'{"kind": NaN}', 'invalid', 'NaN is not a JSON number'),
        (b'{"kind": 1, "kind": 2}', 'invalid', 'kind is given twice'),
        (
            b'x' * OVERSIZED_BYTES,
            'too-large',
            f'the body has {OVERSIZED_BYTES} bytes',
        ),
    ],
)
def test_bodies(site: Site, body: bytes, kind: str, detail: str) -> None:
    problem = read_problem(site.send('POST', '/v1/jobs', body))
    assert problem['kind'] == kind
    assert detail in problem['detail']


def test_oversized_body_to_a_service_did_not_run(site: Site) -> None:
    answer = site.send(
        'POST',
        '/call/desk/airtime/x',
        b'x' * OVERSIZED_BYTES,
        listener='callers',
    )
    assert read_problem(answer)['kind'] == 'too-large'
    assert answer.headers['Lentilmount-Ran'] == 'no'


def test_body_of_unknown_length_is_refused_at_the_limit(site: Site) -> None:
    host, port = site.daemons[0].addresses['operators'].split(':')
    head = (
        b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer admin\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    piece = b'100000\r\n' + b'x' * 0x100000 + b'\r\n'
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(head)
        try:
            for _ in range(8):
                connection.sendall(piece)
            answer = connection.recv(100)
        except ConnectionError:
            answer = b''
    assert answer[:12] in (b'', b'HTTP/1.1 400')


def test_body_is_not_read_without_a_token(site: Site) -> None:
    host, port = site.daemons[0].addresses['operators'].split(':')
    head = b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n'
    with socket.create_connection((host, int(port)), 5) as connection:
        connection.sendall(head + b'\r\nx')
        assert connection.recv(12) == b'HTTP/1.1 401'


def test_total_size_of_bodies_is_bounded(site: Site) -> None:
    """Large bodies that arrive slowly must not exhaust the host's memory."""
    from tests.test_listeners import open_listener  # noqa: PLC0415

    head = (
        b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n'
        b'Authorization: Bearer admin\r\n\r\n'
    )
    with open_listener(site, body_kb=8, buffered_kb=8) as address:
        limits: BodyLimits = (
            site.daemons[0].apps['operators'].settings[BODY_LIMITS]
        )
        with socket.create_connection(address, 5) as slow:
            slow.sendall(head % 6000 + b'x' * 5999)
            _wait_until_reserved(limits, 6000)
            answer = _ask(address, head % 3000 + b'x' * 3000)
            assert answer.startswith(b'HTTP/1.1 503')
            assert b'Retry-After: 1' in answer
            assert _ask(address, head % 2 + b'[]').startswith(b'HTTP/1.1 400')
        _wait_until_reserved(limits, 0)
        answer = _ask(address, head % 3000 + b'x' * 3000)
        assert answer.startswith(b'HTTP/1.1 400')


def _wait_until_reserved(limits: BodyLimits, size: int) -> None:
    for _ in range(1000):
        if limits.reserved_bytes == size:
            return
        time.sleep(0.005)
    raise AssertionError(f'{limits.reserved_bytes} bytes are held, not {size}')


def _ask(address: tuple[str, int], request: bytes) -> bytes:
    with socket.create_connection(address, 5) as connection:
        connection.sendall(request)
        return connection.recv(1000)


def test_invalid_request_id(site: Site) -> None:
    for given in ('x' * 101, 'a\tb'):
        answer = site.send('GET', '/v1/jobs', Lentilmount_Request=given)
        assert read_problem(answer)['kind'] == 'invalid'


@pytest.mark.parametrize(
    ('spec', 'wrong'),
    [
        ({'colour': 'red'}, 'spec.colour'),
        ({'demand': {'cores': 1}}, 'spec.demand.memory_mb'),
        ({'demand': {'cores': '1', 'memory_mb': 1}}, 'spec.demand.cores'),
        ({'demand': {'cores': True, 'memory_mb': 1}}, 'spec.demand.cores'),
        ({'demand': {'cores': -1, 'memory_mb': 1}}, 'spec.demand.cores'),
        ({'demand': []}, 'spec.demand'),
        ({'expected_seconds': 0}, 'spec.expected_seconds'),
        ({'urgency': 'now'}, 'spec.urgency'),
        ({'payload': 5}, 'spec.payload'),
        ({'payload': '\ud800'}, 'spec.payload'),
        ({'zone': 'atlantis'}, 'spec.zone'),
    ],
)
def test_fields(site: Site, spec: dict[str, Any], wrong: str) -> None:
    body = json.dumps(make_job('wrong', **spec)).encode()
    for path in ('/v1/jobs', '/v1/jobs?dry_run=1'):
        problem = read_problem(site.send('POST', path, body))
        assert problem['kind'] == 'invalid'
        assert [field['field'] for field in problem['fields']] == [wrong]
    assert site.send('GET', '/v1/jobs/desk/wrong').status == 404


@pytest.mark.parametrize(
    ('metadata', 'wrong'),
    [
        ({'name': 'x'}, 'metadata.team'),
        ({'team': 'desk'}, 'metadata.name'),
        ({'team': 'a/b', 'name': 'x'}, 'metadata.team'),
        ({'team': 'desk', 'name': '../x'}, 'metadata.name'),
        ({'team': 'desk', 'name': 'x' * 64}, 'metadata.name'),
        ({'team': 'desk', 'name': 'x', 'revision': -1}, 'metadata.revision'),
    ],
)
def test_metadata(site: Site, metadata: Any, wrong: str) -> None:
    value = {**make_job('x'), 'metadata': metadata}
    problem = read_problem(
        site.send('POST', '/v1/jobs', json.dumps(value).encode())
    )
    assert [field['field'] for field in problem['fields']] == [wrong]


@pytest.mark.parametrize(
    ('method', 'path', 'kind'),
    [
        ('GET', '/v1/boats', 'not-found'),
        ('GET', '/v2/jobs', 'not-found'),
        ('GET', '/v1/jobs/desk/none', 'not-found'),
        ('GET', '/v1/jobs?limit=-1', 'invalid'),
        ('GET', '/v1/jobs?limit=99999', 'invalid'),
        ('GET', '/v1/jobs?limit=' + '9' * 5000, 'invalid'),
        ('GET', '/v1/jobs?phase=asleep', 'invalid'),
        ('GET', '/v1/timeline?cursor=x', 'invalid'),
        ('GET', '/v1/watch?cursor=x', 'invalid'),
        ('GET', '/v1/watch?kind=boat', 'not-found'),
        ('PATCH', '/v1/jobs', 'method-not-allowed'),
        ('POST', '/v1/services', 'invalid'),
        ('POST', '/v1/jobs/desk/none/cancel', 'not-found'),
        ('DELETE', '/v1/services/desk/none', 'not-found'),
    ],
)
def test_routes(site: Site, method: str, path: str, kind: str) -> None:
    body = b'' if method in ('POST', 'PATCH') else None
    problem = read_problem(site.send(method, path, body))
    assert problem['kind'] == kind


def test_a_negative_quota(site: Site) -> None:
    value = {
        'kind': 'Team',
        'metadata': {'name': 'desk'},
        'spec': {'quota': {'cores': -1}},
    }
    problem = read_problem(
        site.send('POST', '/v1/teams', json.dumps(value).encode())
    )
    assert [field['field'] for field in problem['fields']] == ['spec.quota']


def test_a_wrong_token(site: Site) -> None:
    for token in ('', 'wrong', 'admin2'):
        problem = read_problem(site.send('GET', '/v1/jobs', token=token))
        assert problem['kind'] == 'unauthenticated'
    basic = site.send('GET', '/v1/jobs', Authorization='Basic YTpi')
    assert basic.status == 401


def test_stale_revision_is_a_conflict_that_names_both_revisions(
    site: Site,
) -> None:
    """A change based on a stale revision must not undo a newer one."""
    made = site.call('POST', '/v1/services', make_service('race', 'desk'))
    seen = made['resource']['metadata']['revision']

    def change(replicas: int) -> Any:
        value = make_service('race', 'desk', replicas=replicas)
        value['metadata']['revision'] = seen
        body = json.dumps(value).encode()
        return site.send('POST', '/v1/services', body)

    assert change(3).status == 201
    problem = read_problem(change(4))
    assert problem['kind'] == 'conflict'
    assert problem['given_revision'] == seen
    assert problem['current_revision'] > seen
    kept = site.call('GET', '/v1/services/desk/race')
    assert kept['spec']['replicas'] == 3
    stale = site.send('DELETE', f'/v1/services/desk/race?revision={seen}')
    assert read_problem(stale)['kind'] == 'conflict'


def test_job_is_immutable_and_its_name_is_not_reused(site: Site) -> None:
    """A late report on a deleted job must not be applied to its successor."""
    site.tool('apply', '-f', '-', '--wait', stdin=json.dumps(make_job('once')))
    other = json.dumps(make_job('once', payload='{}')).encode()
    assert read_problem(site.send('POST', '/v1/jobs', other))['kind'] == (
        'conflict'
    )
    assert site.send('DELETE', '/v1/jobs/desk/once').status == 200
    assert site.send('GET', '/v1/jobs/desk/once').status == 404
    assert site.send('DELETE', '/v1/jobs/desk/once').status == 404
    names = [
        item['metadata']['name']
        for item in site.call('GET', '/v1/jobs?team=desk')['items']
    ]
    assert 'once' not in names
    again = json.dumps(make_job('once')).encode()
    assert read_problem(site.send('POST', '/v1/jobs', again))['kind'] == (
        'conflict'
    )


def test_pages_list_each_job_once_with_any_filter(site: Site) -> None:
    for number in range(7):
        site.call('POST', '/v1/jobs', make_job(f'page-{number}', 'rival'))
    site.call('POST', '/v1/jobs', make_job('pagf', 'rival'))
    for filters in ('', '&team=rival'):
        names: list[str] = []
        after = ''
        while True:
            page = site.call(
                'GET', f'/v1/jobs?name=page-&limit=3&after={after}{filters}'
            )
            names += [item['metadata']['name'] for item in page['items']]
            after = page['next']
            if not after:
                break
        assert names == [f'page-{number}' for number in range(7)]
    workers: list[str] = []
    after = ''
    while True:
        page = site.call('GET', f'/v1/workers?limit=1&after={after}')
        workers += [item['metadata']['name'] for item in page['items']]
        after = page['next']
        if not after:
            break
    assert sorted(workers) == sorted(set(workers))
    assert len(workers) == 4


def test_slow_sender_is_disconnected(site: Site) -> None:
    """Clients that send half a request must not keep connections open."""
    from tests.test_listeners import open_listener  # noqa: PLC0415

    head = (
        b'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n'
        b'Authorization: Bearer admin\r\n\r\n'
    )
    limits = {'idle_seconds': 0.2, 'body_seconds': 0.2}
    with open_listener(site, **limits) as (host, port):
        for sent in (b'GET / HT', head + b'x'):
            with socket.create_connection((host, port), 5) as connection:
                connection.sendall(sent)
                while connection.recv(1000):
                    pass
