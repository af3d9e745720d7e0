"""Finding the route of a request among many."""

from __future__ import annotations

import orjson
from hypothesis import given
from hypothesis import strategies as st

from lentilmount.clock import ManualClock
from lentilmount.control.routes import RouteTable
from lentilmount.platform.store import RawRow

HOSTS = ('a.example', 'b.example')
PREFIXES = ('/', '/x', '/x/', '/x/y', '/x/y/', '/xy/', '/y/')
PATHS = ('/', '/x', '/x/1', '/x/y', '/x/y/1', '/xy/1', '/y/', '/z', '')

DECLARED = st.lists(
    st.tuples(st.sampled_from(HOSTS), st.sampled_from(PREFIXES)), unique=True
)


def _find_naively(
    declared: list[tuple[str, str]], host: str, path: str
) -> str | None:
    prefixes = [p for h, p in declared if h == host and path.startswith(p)]
    return max(prefixes, key=len, default=None)


@given(DECLARED, st.sampled_from(HOSTS), st.sampled_from(PATHS))
def test_the_longest_prefix_of_a_path_counts(
    declared: list[tuple[str, str]], host: str, path: str
) -> None:
    routes = RouteTable(ManualClock().monotonic, 2.0)
    document = {
        'version': 1,
        'services': [],
        'routes': [
            {'name': 'r', 'service': 's', 'hostname': h, 'pathPrefix': p}
            for h, p in declared
        ],
    }
    routes.apply_row(RawRow('config', orjson.dumps(document), 1))
    found = routes.find(host, path)
    expected = _find_naively(declared, host, path)
    if expected is None:
        assert found is None
    else:
        assert found is not None
        assert (found[0].prefix, found[1]) == (expected, path[len(expected) :])
