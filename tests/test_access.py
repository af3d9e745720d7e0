"""Access control: on every route, a token reaches only its team's resources."""

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

OTHER_TEAM_REQUESTS = [
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
def _submit_job(site: Site) -> None:
    site.call('POST', '/v1/jobs', json.loads(JOB))
    site.tool('apply', '-f', '-', '--wait', stdin=JOB.decode())


@pytest.mark.parametrize(('method', 'path', 'body'), OTHER_TEAM_REQUESTS)
def test_requests_for_another_team_are_refused(
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
def test_refusals_do_not_disclose_names(
    site: Site, method: str, path: str
) -> None:
    """Refusals of another team's token disclosed whether a name exists."""
    problems = []
    for name in ('secret-run', 'airtime', 'no-such-thing'):
        answer = site.send(method, path.format(name), token='rival')
        problem = json.loads(answer.body)
        del problem['request']
        problems.append(problem)
    assert problems[0] == problems[1] == problems[2]


def test_lists_and_watches_show_only_own_resources(site: Site) -> None:
    site.call('POST', '/v1/jobs', make_job('mine', 'rival'), token='rival')
    # The job completes before the cursor is made: on a slow machine, the events
    # counted below would otherwise all belong to it.
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


def test_timeline_hides_events_of_other_teams(site: Site) -> None:
    whole = json.dumps(site.call('GET', '/v1/timeline')['events'])
    assert 'Job/desk/secret-run' in whole
    for query in ('', '?resource=Job/desk/secret-run', '?resource=Job/desk'):
        path = f'/v1/timeline{query}'
        events = site.call('GET', path, token='rival')['events']
        assert all(e['resource'].split('/')[1] == 'rival' for e in events)


def test_metrics_hide_labels_of_other_teams(site: Site) -> None:
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


def test_calls_to_services_of_other_teams_are_refused(site: Site) -> None:
    answer = site.send(
        'POST', '/call/desk/airtime/x', b'', token='rival', listener='callers'
    )
    assert answer.status == 403
    assert answer.headers['Lentilmount-Ran'] == 'no'


def test_request_ids_are_separate_per_team(site: Site) -> None:
    """A response stored by its id alone went to another team's request."""
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


def test_every_route_requires_a_token(site: Site) -> None:
    """Every route but health and readiness refuses requests without a token."""
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
