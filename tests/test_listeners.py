"""Listeners: TLS, limits, and addresses that cannot be used."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import re
import socket
import ssl
import time
from collections.abc import Iterator
from typing import Any

import attrs
import pytest
import trustme

from lentilmount.daemon.draining import Drain
from lentilmount.daemon.lifecycle import Daemon
from lentilmount.daemon.listeners import bind, name_address, serve
from lentilmount.daemon.security import Security
from lentilmount.errors import SettingsError
from lentilmount.settings import (
    LimitSettings,
    ListenerTlsSettings,
    TlsSettings,
)
from lentilmount.upstream.http import HttpClient
from stand_ins.site import Site, run_tool

LOOPBACK = '127.0.0.1'


@contextlib.contextmanager
def open_listener(site: Site, **limits: Any) -> Iterator[tuple[str, int]]:
    """Serves the resource API on one more listener, with other limits."""
    stack = contextlib.AsyncExitStack()
    bound = bind(f'{LOOPBACK}:0', 'listen.operators')
    app = site.daemons[0].apps['operators']
    before = dict(app.settings)

    async def start() -> None:
        settings = LimitSettings(**limits)
        serve(
            stack,
            app,
            bound,
            settings,
            None,
            lambda _: None,
            Drain(time.monotonic),
        )

    host, port = name_address(bound).split(':')
    site.run(start())
    try:
        yield host, int(port)
    finally:
        app.settings.update(before)
        site.run(stack.aclose())


def test_error_for_occupied_port_names_field_and_fix() -> None:
    with socket.socket() as occupied:
        occupied.bind((LOOPBACK, 0))
        occupied.listen()
        port = occupied.getsockname()[1]
        with pytest.raises(SettingsError) as caught:
            bind(f'{LOOPBACK}:{port}', 'listen.callers')
    text = str(caught.value)
    assert f'listen.callers: {LOOPBACK}:{port} cannot be used' in text
    assert 'choose another address' in text


def test_connection_beyond_limit_is_closed(site: Site) -> None:
    request = b'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n'
    with open_listener(site, connections=2) as address:
        connections = [socket.create_connection(address, 5) for _ in range(2)]
        for connection in connections:
            connection.sendall(request)
            assert connection.recv(15).startswith(b'HTTP/1.1 200')
        with (
            socket.create_connection(address, 5) as third,
            contextlib.suppress(ConnectionError),
        ):
            third.sendall(request)
            assert third.recv(100) == b''
        for connection in connections:
            connection.close()


def test_header_beyond_limit_is_refused(site: Site) -> None:
    with (
        open_listener(site, header_kb=1) as address,
        socket.create_connection(address, 5) as connection,
    ):
        connection.sendall(b'GET /healthz HTTP/1.1\r\nX: ' + b'x' * 4096)
        with contextlib.suppress(ConnectionError):
            assert b'200' not in connection.recv(100)


@attrs.frozen
class Authority:
    """A certificate authority, and the folder of its certificates."""

    authority: trustme.CA
    folder: pathlib.Path

    def issue(self, name: str) -> TlsSettings:
        certificate = self.authority.issue_cert(LOOPBACK, 'localhost')
        paths = {
            part: self.folder / f'{name}-{part}.pem'
            for part in ('certificate', 'key', 'authority')
        }
        certificate.cert_chain_pems[0].write_to_path(paths['certificate'])
        certificate.private_key_pem.write_to_path(paths['key'])
        self.authority.cert_pem.write_to_path(paths['authority'])
        return TlsSettings(
            str(paths['certificate']),
            str(paths['key']),
            '1.3',
            str(paths['authority']),
        )


@pytest.fixture
def authority(tmp_path: pathlib.Path) -> Authority:
    return Authority(trustme.CA(), tmp_path)


@pytest.fixture
def own_site() -> Iterator[Site]:
    """A separate deployment, whose daemons may fail to reach each other."""
    with Site() as opened:
        yield opened


def test_daemons_and_operators_over_tls(
    own_site: Site, authority: Authority
) -> None:
    """Clients without a certificate or with TLS 1.2 must not be served."""
    tls = authority.issue('one')
    open_to_all = attrs.evolve(tls, authority='')
    listeners = ListenerTlsSettings(open_to_all, open_to_all, open_to_all, tls)

    async def start(name: str, peers: tuple[str, ...]) -> Daemon:
        settings = own_site.make_settings(
            name, 'lodz', tls=listeners, peers=peers
        )
        return await stack.enter_async_context(Daemon(settings))

    async def wait_until_up(daemon: Daemon, name: str) -> None:
        async with asyncio.timeout(10):
            while not daemon.membership.is_up(name):
                await asyncio.sleep(0.02)

    async def wait_until_known(daemon: Daemon, *names: str) -> None:
        async with asyncio.timeout(10):
            while not set(names) <= {
                member.name for member in daemon.membership.list_known()
            }:
                await asyncio.sleep(0.02)

    stack = contextlib.AsyncExitStack()
    first = own_site.run(start('tls-0', ()))
    second = own_site.run(start('tls-1', (first.addresses['peers'],)))
    try:
        own_site.run(wait_until_up(first, 'tls-1'))
        own_site.run(wait_until_up(second, 'tls-0'))
        own_site.run(wait_until_known(first, 'entry-0', 'entry-1'))
        server = f'https://{first.addresses["operators"]}'
        args = ('--server', server, '--token', 'admin', 'status')
        # Daemons without TLS are known from the table but cannot be called.
        unreachable = re.compile(r'^entry-[01] .* no .*does not answer', re.M)
        until = time.monotonic() + 10
        while time.monotonic() < until:
            result = run_tool('--authority', tls.authority, *args)
            if len(unreachable.findall(result.out)) == 2:
                break
        assert len(unreachable.findall(result.out)) == 2, result
        assert 'tls-1' in result.out
        assert result.status == 7
        assert run_tool(*args).status == 7
        host, _, port = first.addresses['peers'].partition(':')
        client_context = ssl.create_default_context(cafile=tls.authority)
        # With TLS 1.3 the client is refused only after the handshake. A server
        # that accepted it would send its HTTP/2 settings at once.
        with (
            contextlib.suppress(OSError),
            socket.create_connection((host, int(port)), 5) as connection,
            client_context.wrap_socket(
                connection, server_hostname=host
            ) as secured,
        ):
            assert secured.recv(100) == b''
        host, _, port = first.addresses['operators'].partition(':')
        client_context.maximum_version = ssl.TLSVersion.TLSv1_2
        with (
            pytest.raises(ssl.SSLError),
            socket.create_connection((host, int(port)), 5) as connection,
        ):
            client_context.wrap_socket(connection, server_hostname=host)
    finally:
        own_site.run(stack.aclose())


def test_renewed_certificate_is_loaded(
    site: Site, authority: Authority
) -> None:
    tls = authority.issue('one')
    security = Security(ListenerTlsSettings(operators=tls))
    other = Authority(trustme.CA(), authority.folder)
    other.issue('one')
    security.reload_certificates()
    pathlib.Path(tls.key).write_text('broken')
    with pytest.raises(SettingsError) as caught:
        security.reload_certificates()
    assert 'tls' in str(caught.value)
    with pytest.raises(SettingsError) as caught:
        Security(ListenerTlsSettings(peers=tls))
    assert str(caught.value).startswith('tls.peers: cannot be used')


def test_plain_http_to_tls_listener_gets_no_answer(
    site: Site, authority: Authority
) -> None:
    tls = attrs.evolve(authority.issue('one'), authority='')
    stack = contextlib.AsyncExitStack()

    async def check() -> int:
        settings = site.make_settings(
            'tls-2', 'lodz', tls=ListenerTlsSettings(callers=tls)
        )
        daemon = await stack.enter_async_context(Daemon(settings))
        caller = HttpClient(f'http://{daemon.addresses["callers"]}')
        answer = await caller.call('GET', '/call/desk/airtime/x')
        caller.close()
        await daemon.stop()
        await stack.aclose()
        return answer.status

    assert site.run(check()) == 599
