"""Tests of the command-line tool: output, exit statuses and errors."""

from __future__ import annotations

import io
import json
import shlex

import pytest

from lentilmount.cli.definition import COMMANDS, make_parser
from lentilmount.cli.output import write_resources
from lentilmount.context import Environment
from lentilmount.status import ExitStatus
from stand_ins.site import Site, make_job, make_service, run_tool


def test_wait_for_jobs_and_list_them(site: Site) -> None:
    jobs = [make_job(f'cli-{n}') for n in range(3)]
    done = site.tool('apply', '-f', '-', '--wait', stdin=json.dumps(jobs))
    assert done.status is ExitStatus.OK, done
    assert 'Job desk/cli-0: completed' in done.out
    assert 'jobs: 3 of 3 over' in done.err
    listed = site.tool(
        *('list', 'job', '--name', 'cli-', '--phase', 'completed'),
        *('--output', 'jsonl'),
    )
    names = [
        json.loads(line)['metadata']['name'] for line in listed.out.splitlines()
    ]
    assert names == ['cli-0', 'cli-1', 'cli-2']
    table = site.tool('get', 'job', 'desk/cli-0').out
    assert table.splitlines()[0].startswith('KIND  NAME')
    assert '\x1b' not in table
    described = site.tool('describe', 'job', 'desk/cli-0').out
    assert 'phase: completed' in described
    assert 'placed' in described


def test_dry_run_shows_a_diff_and_changes_nothing(site: Site) -> None:
    service = make_service('dry', 'desk', replicas=1)
    new = site.tool('apply', '-f', '-', '--dry-run', stdin=json.dumps(service))
    assert 'Service desk/dry: would be created' in new.out
    assert site.tool('get', 'service', 'desk/dry').status == 4
    changed = make_service('airtime', 'desk', replicas=7)
    shown = site.tool(
        'apply', '-f', '-', '--dry-run', stdin=json.dumps(changed)
    )
    assert '  - spec.replicas: 2\n  + spec.replicas: 7\n' in shown.out
    kept = site.call('GET', '/v1/services/desk/airtime')
    assert kept['spec']['replicas'] == 2


def test_file_with_a_duplicate_resource_is_refused_whole(site: Site) -> None:
    jobs = json.dumps([make_job('twin'), make_job('twin', payload='x')])
    result = site.tool('apply', '-f', '-', stdin=jobs)
    assert result.status is ExitStatus.INVALID
    assert 'Job/desk/twin stands in the file twice' in result.err
    assert site.tool('get', 'job', 'desk/twin').status == 4


def test_errors_of_wrong_fields_give_their_lines() -> None:
    text = """[
      // A comment.
      {"kind": "Job", "metadata": {"team": "desk", "name": "x"},
       "spec": {"demand": {"cores": -1, "memory_mb": "much"},
                "colour": "red"}}
    ]"""
    result = run_tool('validate', '-f', '-', stdin=text)
    assert result.status is ExitStatus.INVALID
    assert 'line 4, [0].spec.demand.cores: must be > 0: -1' in result.err
    assert 'line 4, [0].spec.demand.memory_mb: must be a whole' in result.err
    assert 'line 5, [0].spec.colour: is not a known field' in result.err


@pytest.mark.parametrize('text', ['', '[]', '{"kind": ', '/* open', '[3]'])
def test_broken_files_are_refused(text: str) -> None:
    result = run_tool('validate', '-f', '-', stdin=text)
    assert result.status is ExitStatus.INVALID
    assert result.err.startswith('lentilmount: ')


def test_exit_statuses(site: Site) -> None:
    assert site.tool('get', 'job', 'desk/none').status is ExitStatus.NOT_FOUND
    assert site.tool('get', 'boat', 'desk/none').status is ExitStatus.NOT_FOUND
    wrong = site.tool('list', 'job', token='stolen')
    assert wrong.status is ExitStatus.FORBIDDEN
    assert 'send a known token' in wrong.err
    assert site.tool('frobnicate').status is ExitStatus.USAGE
    unreachable = run_tool('--server', 'http://127.0.0.1:9', 'status')
    assert unreachable.status is ExitStatus.UNAVAILABLE
    assert 'check --server' in unreachable.err
    late = site.tool(
        *('apply', '-f', '-', '--wait', '--timeout', '0.5'),
        stdin=json.dumps(make_job('slow', payload='{"seconds": 600}')),
    )
    assert late.status is ExitStatus.TIMEOUT
    ended = site.tool('cancel', 'desk/slow', '--wait')
    assert ended.status is ExitStatus.OK
    assert 'Job desk/slow: cancelled' in ended.out
    assert 'is over already' in site.tool('cancel', 'desk/slow').out
    assert site.tool('delete', 'job', 'desk/slow').status is ExitStatus.OK
    assert site.tool('get', 'job', 'desk/slow').status is ExitStatus.NOT_FOUND


def test_status_shows_every_daemon(site: Site) -> None:
    shown = site.tool('status', '--output', 'json')
    daemons = json.loads(shown.out)
    assert shown.status is ExitStatus.OK, shown
    assert [daemon['daemon'] for daemon in daemons] == ['entry-0', 'entry-1']
    held = sorted(name for daemon in daemons for name in daemon['slices'])
    assert held == ['alex-a/0', 'lodz/0']


def test_cordon_and_uncordon(site: Site) -> None:
    assert site.tool('cordon', 'alex-a-000').status is ExitStatus.OK
    worker = site.call('GET', '/v1/workers/-/alex-a-000')
    assert worker['spec'] == {'cordoned': True, 'drain': False}
    assert site.tool('uncordon', 'alex-a-000').status is ExitStatus.OK
    assert site.tool('cordon', 'mistyped').status is ExitStatus.NOT_FOUND


class Terminal(io.StringIO):
    """A stream that claims to be a terminal."""

    def isatty(self) -> bool:
        return True


@pytest.mark.parametrize(
    ('stream', 'variables', 'coloured'),
    [
        (Terminal(), {}, True),
        (Terminal(), {'NO_COLOR': '1'}, False),
        (io.StringIO(), {}, False),
    ],
)
def test_colours_are_for_terminals(
    stream: io.StringIO, variables: dict[str, str], coloured: bool
) -> None:
    item = {
        'kind': 'Job',
        'metadata': {'team': 'desk', 'name': 'x', 'revision': 1},
        'status': {'phase': 'failed', 'attempt': 1},
    }
    env = Environment(stdout=stream, variables=variables)
    write_resources([item], 'table', env)
    assert ('\x1b[31mfailed' in stream.getvalue()) is coloured


def test_every_example_parses_and_is_in_its_help() -> None:
    for command in COMMANDS:
        args = shlex.split(command.example)[1:]
        options = make_parser(Environment()).parse_args(args)
        assert options.command == command.name
        assert command.example in run_tool(command.name, '--help').out
