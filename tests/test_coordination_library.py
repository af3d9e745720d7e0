"""Tests that the coordination library is self-contained, and its example."""

import ast
import asyncio
import importlib.util
import pathlib

from lentilmount import coordination

EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples/coordination.py'


def test_it_imports_nothing_else_of_the_package() -> None:
    folder = pathlib.Path(coordination.__path__[0])
    for path in folder.glob('*.py'):
        for node in ast.walk(ast.parse(path.read_text('utf-8'))):
            name = node.module if isinstance(node, ast.ImportFrom) else ''
            inside = (name or '').startswith('lentilmount.coordination')
            assert inside or not (name or '').startswith('lentilmount'), path


def test_the_example_sends_one_report() -> None:
    spec = importlib.util.spec_from_file_location('example', EXAMPLE)
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    output = asyncio.run(module.main())
    assert sorted(output) == ['one/1 sent it, epoch 1', 'two/1 found it sent']
