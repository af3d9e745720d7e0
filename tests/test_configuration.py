"""Configuration changes are accepted once and never reverted."""

import asyncio
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lentilmount import configuration as configuration_module
from lentilmount.commands import configure
from lentilmount.commands.configure import ConfigurationCommands
from lentilmount.configuration import Change, Configuration
from lentilmount.coordination import transactions
from lentilmount.daemon.follower import Follower
from lentilmount.daemon.heartbeats import VersionReport
from lentilmount.daemon.housekeeping import RETENTION_SECONDS, prune_requests
from lentilmount.errors import ConflictError, InvalidError, StoreError
from lentilmount.events import EventLog
from lentilmount.queries import revisions
from lentilmount.queries.revisions import read_snapshot
from lentilmount.resources import Kind, Metadata, Resource, TeamSpec
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.wire import peer_pb2
from stand_ins.faulty import FaultyTable
from tests.helpers import run

TEAMS = ('one', 'two', 'three')
DAEMONS = st.sampled_from(range(3))


def make_team(name: str, weight: float, revision: int = 0) -> Resource:
    metadata = Metadata(name, '', revision)
    return Resource(Kind.TEAM, metadata, TeamSpec(weight=weight))


class Daemon:
    """A daemon's configuration and its follower, with peers in memory."""

    def __init__(self, table: FaultyTable, others: dict[str, 'Daemon']):
        self.configuration = Configuration()
        self.others = others
        self.follower = Follower(
            table,
            self.configuration,
            UpstreamDirectory(),
            (),
            EventLog('d'),
            60.0,
            lambda _: True,
            self.fetch,
            lambda: None,
        )

    async def fetch(
        self, address: str, log: str, after: int
    ) -> peer_pb2.ChangesReply | None:
        other = self.others.get(address)
        if other is None:
            return None
        request = peer_pb2.ChangesRequest(log=log, after=after)
        return other.follower.answer(request)

    def get_weight(self, team: str) -> float | None:
        found = self.configuration.get(Kind.TEAM, '', team)
        if found is None:
            return None
        assert isinstance(found.spec, TeamSpec)
        return found.spec.weight


class ConfigurationMachine(RuleBasedStateMachine):
    """Concurrent commands while the table fails and daemons restart.

    Change logs are kept so short that daemons often need a snapshot.
    """

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(transactions, 'FIRST_PAUSE_SECONDS', 0.0)
        self.patch.setattr(configure, 'MAX_LOG_ENTRIES', 3)
        self.patch.setattr(configuration_module, 'RECENT_CHANGES', 2)
        self.patch.setattr(revisions, 'PAGE', 2)
        self.runner = asyncio.Runner()
        self.table = FaultyTable()
        self.daemons: dict[str, Daemon] = {}
        self.in_force: dict[str, int] = {}
        self.unanswered: dict[str, Resource] = {}
        self.answers: list[peer_pb2.ChangesReply] = []
        self.commands = 0
        for number in range(3):
            self.start(number)

    def teardown(self) -> None:
        self.table.down = False
        self.runner.run(self.table.release())
        self.patch.undo()
        for daemon in self.daemons.values():
            self.runner.run(daemon.follower.poll_table())
            assert not daemon.configuration.is_behind
        self.check_no_daemon_reverts()
        self.runner.close()

    def start(self, number: int) -> None:
        self.daemons[f'd{number}'] = Daemon(self.table, self.daemons)
        self.in_force.pop(f'd{number}', None)

    @rule(
        number=DAEMONS,
        team=st.sampled_from(TEAMS),
        use_stale_revision=st.booleans(),
        lost_answers=st.integers(0, 5),
        late_writes=st.integers(0, 5),
    )
    def command(
        self,
        number: int,
        team: str,
        use_stale_revision: bool,
        lost_answers: int,
        late_writes: int,
    ) -> None:
        revision = self.find_revision(team)
        if use_stale_revision:
            seen = self.daemons[f'd{number}'].configuration
            found = seen.get(Kind.TEAM, '', team)
            revision = found.metadata.revision if found else 0
        self.commands += 1
        resource = make_team(team, float(self.commands), revision)
        self.table.lose_answers, self.table.hold_writes = (
            lost_answers,
            late_writes,
        )
        self.send(f'request-{self.commands}', resource)
        self.table.lose_answers = self.table.hold_writes = 0

    def find_revision(self, team: str) -> int:
        changed = [
            revision
            for revision, entry in self.read_log().items()
            if entry['path'] == f'Team//{team}'
        ]
        return max(changed, default=0)

    def send(self, request_id: str, resource: Resource) -> None:
        configuration_commands = ConfigurationCommands(self.table)
        try:
            self.runner.run(configuration_commands.apply(resource, request_id))
            self.unanswered.pop(request_id, None)
        except ConflictError as error:
            extra = error.extra
            assert extra['given_revision'] != extra['current_revision']
            self.unanswered.pop(request_id, None)
        except StoreError:
            self.unanswered[request_id] = resource

    @rule(pick=st.integers(0, 99))
    def retry(self, pick: int) -> None:
        if self.unanswered:
            request_id = sorted(self.unanswered)[pick % len(self.unanswered)]
            self.send(request_id, self.unanswered[request_id])

    @rule()
    def apply_late_writes(self) -> None:
        self.runner.run(self.table.release())

    @rule()
    def toggle_table_outage(self) -> None:
        self.table.down = not self.table.down

    @rule(number=DAEMONS)
    def poll_table(self, number: int) -> None:
        if not self.table.down:
            self.runner.run(self.daemons[f'd{number}'].follower.poll_table())

    @rule(number=DAEMONS, other=DAEMONS)
    def send_report(self, number: int, other: int) -> None:
        source, target = self.daemons[f'd{number}'], self.daemons[f'd{other}']
        revision = source.configuration.revision
        target.follower.handle_report(
            VersionReport(revision, sender=f'd{number}')
        )
        self.runner.run(target.follower.fetch_from_peers())
        assert target.configuration.revision >= revision

    @rule(number=DAEMONS, behind=st.integers(0, 4))
    def request_changes(self, number: int, behind: int) -> None:
        source = self.daemons[f'd{number}']
        after = max(0, source.configuration.revision - behind)
        request = peer_pb2.ChangesRequest(log='configuration', after=after)
        self.answers.append(source.follower.answer(request))

    @rule(pick=st.integers(0, 99), number=DAEMONS)
    def apply_late_answer(self, pick: int, number: int) -> None:
        if self.answers:
            answer = self.answers[pick % len(self.answers)]
            self.daemons[f'd{number}'].follower.apply_reply(answer)

    @rule(number=DAEMONS)
    def restart(self, number: int) -> None:
        self.start(number)

    @invariant()
    def check_no_daemon_reverts(self) -> None:
        log = self.read_log()
        for name, daemon in self.daemons.items():
            revision = daemon.configuration.revision
            assert revision >= self.in_force.get(name, 0)
            self.in_force[name] = revision
            weights = {}
            for number in range(1, revision + 1):
                resource = log[number]['resource']
                weights[log[number]['path']] = resource['spec']['weight']
            for team in TEAMS:
                assert daemon.get_weight(team) == weights.get(f'Team//{team}')

    def read_log(self) -> dict[int, Any]:
        log = {
            int(write.key.sort): write.body
            for write in self.table.history
            if write.key.partition == 'change/configuration' and write.body
        }
        # Each command has a unique weight, and is accepted at most once.
        weights = [
            entry['resource']['spec']['weight'] for entry in log.values()
        ]
        assert len(weights) == len(set(weights))
        return log


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    max_examples=120, stateful_step_count=50, deadline=None, derandomize=True
)


def test_request_id_identifies_one_command() -> None:
    async def check() -> None:
        configuration_commands = ConfigurationCommands(FaultyTable())
        first = await configuration_commands.apply(make_team('one', 2.0), 'id')
        assert (
            await configuration_commands.apply(make_team('one', 2.0), 'id')
            == first
        )
        with pytest.raises(InvalidError):
            await configuration_commands.apply(make_team('one', 3.0), 'id')

    run(check())


def test_concurrent_commands_are_all_accepted() -> None:
    async def check() -> None:
        table = FaultyTable()
        instances = [ConfigurationCommands(table) for _ in range(4)]
        await asyncio.gather(
            *(
                instances[n % 4].apply(make_team(f't{n}', 2.0), f'id-{n}')
                for n in range(60)
            )
        )
        snapshot = await read_snapshot(table)
        assert snapshot is not None
        assert (snapshot[0], len(snapshot[1])) == (60, 60)

    run(check())


def test_snapshot_is_consistent_during_concurrent_writes() -> None:
    """A snapshot must not mix rows of two revisions."""

    class TableWithConcurrentWrites(FaultyTable):
        weight = 2.0

        async def scan(self, partition: str, *args: object) -> list:  # type: ignore[type-arg]
            rows = await super().scan(partition, *args)  # type: ignore[arg-type]
            if partition == 'resource' and self.weight < 3.0:
                self.weight = 3.0
                for team in TEAMS:
                    number = await revisions.read_revision(self)
                    old = next(r for r in rows if r.key.sort.endswith(team))
                    revision = old.body['metadata']['revision']
                    await ConfigurationCommands(self).apply(
                        make_team(team, 3.0, revision), f'{team}-{number}'
                    )
            return rows

    async def check() -> None:
        table = TableWithConcurrentWrites()
        for team in TEAMS:
            await ConfigurationCommands(table).apply(make_team(team, 2.0), team)
        snapshot = await read_snapshot(table)
        assert snapshot is not None
        revision, resources = snapshot
        assert revision == 6
        assert {r.spec.weight for r in resources} == {3.0}  # type: ignore[union-attr]

    run(check())


def test_not_ready_until_the_newest_known_revision_is_in_force() -> None:
    """A daemon that starts with an old revision must not undo changes."""
    configuration = Configuration()
    configuration.record_known_revision(5)
    configuration.load(3, [make_team('one', 2.0)])
    assert not configuration.is_ready
    configuration.load(5, [make_team('one', 3.0)])
    assert configuration.is_ready
    configuration.record_known_revision(6)
    assert configuration.is_ready
    assert configuration.is_behind


def test_changes_apply_once_and_without_gaps() -> None:
    changes = [
        Change(n, f'Team//t{n}', make_team(f't{n}', 2.0)) for n in (3, 4)
    ]
    configuration = Configuration()
    configuration.load(2, [])
    configuration.apply(changes[1:])
    assert configuration.revision == 2
    configuration.apply(reversed(changes))
    configuration.apply([Change(3, 'Team//t4', None)])
    assert configuration.revision == 4
    assert len(configuration.list_all()) == 2
    assert configuration.list_after(3) == changes[1:]


def test_expired_answers_to_commands_are_deleted() -> None:
    async def check() -> None:
        table = FaultyTable()
        for number in range(3):
            await ConfigurationCommands(table).apply(
                make_team(f't{number}', 2.0), f'{number}'
            )
        rows = await table.scan('request')
        later = rows[-1].body['at'] + RETENTION_SECONDS
        assert await prune_requests(table, rows[0].body['at']) == 0
        assert await prune_requests(table, later + 1.0) == 3
        assert await table.scan('request') == []

    run(check())
