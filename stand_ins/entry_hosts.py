"""The platform's side of a host: its settings file and configuration."""

from __future__ import annotations

import contextlib
import pathlib
from typing import Any

import orjson
import yaml
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

SERVICE = 'desk'
HOST = 'desk.example'
PREFIX = '/checks/'


def make_configuration(
    version: int, prefix: str = PREFIX, max_attempts: int = 2
) -> bytes:
    """Returns a configuration document, as operators write it."""
    return orjson.dumps(
        {
            'version': version,
            'routes': [
                {
                    'name': 'checks',
                    'hostname': HOST,
                    'pathPrefix': prefix,
                    'service': SERVICE,
                    'maxAttempts': max_attempts,
                    'stretch': 2.0,
                    'targetLatencyMs': 250,
                }
            ],
            'services': [{'name': SERVICE}],
        }
    )


def make_settings(store: str, **fields: Any) -> dict[str, Any]:
    """Returns the content of a settings file."""
    document = {
        'nodeName': 'host-1',
        'zone': 'north',
        'ip': '127.0.0.1',
        'listenAddrs': {
            'frontend': '127.0.0.1:0',
            'readiness': '127.0.0.1:0',
        },
        'internalPorts': [0, 0],
        'heartbeatMs': 1100,
        'platform': {'address': store},
        'limits': {'cpuShare': 0.5, 'cores': 2, 'linkMbps': 1000},
        'bounds': {
            'contactMs': 3000,
            'graceS': 4,
            'maxHoldMs': 6000,
            'status_s': 120,
            'configApplyMs': 2000,
            'evacuateMs': 5000,
        },
        'somethingNew': True,
    }
    return {**document, **fields}


def write_settings(
    folder: pathlib.Path, store: str, name: str, **fields: Any
) -> dict[str, str]:
    """Writes the settings file of a daemon; returns its variables.

    Args:
      folder: Folder of the file.
      store: Address of the table service.
      name: Name of the host.
      **fields: Settings that differ from the defaults.
    """
    document = make_settings(store, nodeName=name, **fields)
    path = folder / f'{name}.yaml'
    path.write_text(yaml.safe_dump(document), 'utf-8')
    return {'LENTILMOUNT_BOOT': str(path), 'LENTILMOUNT_METRICS_PORT': '0'}


def serve(app: Application) -> tuple[HTTPServer, str]:
    """Serves an application on a free port; returns the address, too."""
    sockets = bind_sockets(0, '127.0.0.1')
    server = HTTPServer(app)
    server.add_sockets(sockets)
    return server, f'127.0.0.1:{sockets[0].getsockname()[1]}'


def listen(app: Application, stack: contextlib.AsyncExitStack) -> str:
    """Serves an application on a free port until a stack is closed."""
    server, address = serve(app)
    stack.callback(server.stop)
    return address
