"""Tokens: a team sees and touches its own things, on every route."""

from __future__ import annotations

import json

import pytest
from tornado.routing import PathMatches

from lentilmount.daemon.lifecycle import Daemon
from stand_ins.site import Site, make_job, make_service

JOB = json.dumps(make_job('secret-run')).encode()
SERVICE = json.dumps(make_service('airtime', 'desk')).encode()
WORKER = json.dumps(
    {'kind': 'Worker', 'metadata': {'name': 'alex-a-000'}}
).encode()
TEAM = json.dumps({'kind': 'Team', 'metadata': {'name': 'desk'}}).encode()

FOREIGN = [
    ('GET', '/v1/jobs?team=desk', None),
    ('GET', '/v1/services?team=desk', None),
    ('GET', '/v1/upstreams?team=desk', None),
    ('GET', '/v1/watch?team=desk', None),
    ('GET', '/v1/jobs/desk/secret-run', None),
    ('GET', '/v1/services/desk/airtime', None),
    ('GET', '/v1/upstreams/desk/airtime.0', None),
    ('GET', '/v1/teams/-/desk', None),
    ('GET', '/v1/workers', None),
    ('GET', '/v1/workers/-/alex-a-000', None),
    ('GET', '/v1/configurations', None),
    ('GET', '/v1/configurations/-/default', None),
    ('POST', '/v1/jobs', JOB),
    ('POST', '/v1/jobs?dry_run=1', JOB),
    ('POST', '/v1/services', SERVICE),
    ('POST', '/v1/services?dry_run=1', SERVICE),
    ('POST', '/v1/workers', WORKER),
    ('POST', '/v1/teams', TEAM),
    ('POST', '/v1/jobs/desk/secret-run/cancel', b''),
    ('DELETE', '/v1/jobs/desk/secret-run', None),
    ('DELETE', '/v1/services/desk/airtime?revision=4', None),
    ('DELETE', '/v1/teams/-/desk', None),
]


@pytest.fixture(scope='module', autouse=True)
def _secret(site: Site) -> None:
    site.call('POST', '/v1/jobs', json.loads(JOB))
    site.tool('apply', '-f', '-', '--wait', stdin=JOB.decode())


@pytest.mark.parametrize(('method', 'path', 'body'), FOREIGN)
def test_a_rival_is_refused(
    site: Site, method: str, path: str, body: bytes | None
) -> None:
    answer = site.send(method, path, body, token='rival')
    assert answer.status == 403
    assert json.loads(answer.body)['kind'] == 'forbidden'


@pytest.mark.parametrize(
    ('method', 'path'),
    [
        ('GET', '/v1/jobs/desk/{}'),
        ('GET', '/v1/services/desk/{}'),
        ('POST', '/v1/jobs/desk/{}/cancel'),
        ('DELETE', '/v1/jobs/desk/{}'),
    ],
)
def test_a_refusal_does_not_tell_what_exists(
    site: Site, method: str, path: str
) -> None:
    """An answer without a valid token told whether a name exists."""
    told = []
    for name in ('secret-run', 'airtime', 'no-such-thing'):
        answer = site.send(method, path.format(name), token='rival')
        problem = json.loads(answer.body)
        del problem['request']
        told.append(problem)
    assert told[0] == told[1] == told[2]


def test_a_rival_lists_and_watches_only_its_own(site: Site) -> None:
    site.call('POST', '/v1/jobs', make_job('mine', 'rival'), token='rival')
    # Done before the cursor is taken: on a slow machine the events counted
    # below would else all be of this job.
    site.tool(
        *('apply', '-f', '-', '--wait'),
        stdin=json.dumps([make_job('mine', 'rival')]),
    )
    for kind in ('jobs', 'services', 'upstreams', 'teams'):
        page = site.call('GET', f'/v1/{kind}', token='rival')
        assert 'desk' not in json.dumps(page['items']), kind
    listed = site.call('GET', '/v1/jobs', token='rival')['items']
    assert {item['metadata']['team'] for item in listed} == {'rival'}
    assert 'mine' in [item['metadata']['name'] for item in listed]
    start = site.call('GET', '/v1/jobs')['cursor']
    site.tool(
        *('apply', '-f', '-', '--wait'),
        stdin=json.dumps([make_job('hers'), make_job('mine-2', 'rival')]),
    )
    seen = site.tool(
        *('watch', '--cursor', start, '--count', '3', '--output', 'jsonl'),
        token='rival',
    )
    assert 'mine-2' in seen.out
    assert 'hers' not in seen.out


def test_a_rival_sees_no_time_line_of_others(site: Site) -> None:
    whole = json.dumps(site.call('GET', '/v1/timeline')['events'])
    assert 'Job/desk/secret-run' in whole
    for query in ('', '?resource=Job/desk/secret-run', '?resource=Job/desk'):
        path = f'/v1/timeline{query}'
        events = site.call('GET', path, token='rival')['events']
        assert all(e['resource'].split('/')[1] == 'rival' for e in events)


def test_a_rival_sees_no_metrics_labels_of_others(site: Site) -> None:
    site.send('GET', '/call/desk/airtime/x', listener='callers')

    def scrape(token: str) -> str:
        answer = site.send('GET', '/metrics', token=token, listener='metrics')
        assert answer.status == 200
        return answer.body.decode()

    assert 'lentilmount_requests_total{service="airtime"' in scrape('desk')
    assert 'lentilmount_revision' in scrape('admin')
    for hidden in ('desk', 'airtime', 'lentilmount_revision '):
        assert f'"{hidden}"' not in scrape('rival')
    assert 'lentilmount_slices' not in [
        line.split()[0]
        for line in scrape('rival').splitlines()
        if not line.startswith('#')
    ]


def test_a_rival_calls_no_service_of_others(site: Site) -> None:
    answer = site.send(
        'POST', '/call/desk/airtime/x', b'', token='rival', listener='callers'
    )
    assert answer.status == 403
    assert answer.headers['Lentilmount-Ran'] == 'no'


def test_a_rival_is_not_answered_by_a_request_id(site: Site) -> None:
    """Stored by its id alone, an answer went to another team's request."""
    mine = make_service('hidden', 'desk', replicas=1)
    first = site.call('POST', '/v1/services', mine, Lentilmount_Request='id-1')
    again = site.call('POST', '/v1/services', mine, Lentilmount_Request='id-1')
    assert again['revision'] == first['revision']
    theirs = make_service('own', 'rival', replicas=1)
    answer = site.call(
        *('POST', '/v1/services', theirs),
        token='rival',
        Lentilmount_Request='id-1',
    )
    assert answer['resource']['metadata']['name'] == 'own'


def test_every_route_wants_a_token(site: Site) -> None:
    """Every route of every listener, but for health and readiness."""
    daemon: Daemon = site.daemons[0]
    assert daemon.addresses.keys() == {
        *('callers', 'operators', 'metrics', 'peers')
    }
    for listener in ('callers', 'operators', 'metrics'):
        for rule in daemon.apps[listener].wildcard_router.rules:
            assert isinstance(rule.matcher, PathMatches)
            pattern = rule.matcher.regex.pattern
            path = pattern.rstrip('$')
            for group in ('([^/]+)', '([a-z]+)', '(.*)'):
                path = path.replace(group, 'jobs')
            status = site.send('GET', path, token='', listener=listener).status
            open_to_all = path in ('/healthz', '/readyz')
            assert status == (200 if open_to_all else 401) or (
                status == 405 and path.endswith('/cancel')
            ), path


def test_a_token_allows_its_verbs_only(site: Site) -> None:
    assert site.send('GET', '/v1/jobs', token='reader').status == 200
    assert site.send('POST', '/v1/jobs', JOB, token='reader').status == 403
    assert site.send('POST', '/v1/teams', TEAM, token='desk').status == 403
    called = site.send(
        'GET', '/call/desk/airtime/x', token='reader', listener='callers'
    )
    assert called.status == 403
