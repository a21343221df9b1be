"""Checks that the page for callers lists every error code."""

import ast
import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
ERROR_FACTORIES = re.compile(
    r'Error$|refus|^_cut$|^_broken$|^_error$|^_unavailable$'
)
CODE = re.compile(r'[a-z]+(_[a-z]+)+')
# Sent only to entries, which retry elsewhere or translate them.
INTERNAL = {'link_failed', 'load_failed', 'adapter_in_use', 'setup_version'}


def codes():
    for folder in ('entry', 'sidecar', 'policy'):
        for path in (ROOT / 'ivystep' / folder).glob('*.py'):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call):
                    name = ast.unparse(node.func).rpartition('.')[2]
                    if ERROR_FACTORIES.search(name):
                        yield from _codes_in(node)


def _codes_in(node):
    for argument in node.args[:2]:
        if isinstance(argument, ast.Constant) and CODE.fullmatch(
            str(argument.value)
        ):
            yield argument.value


def test_every_code_is_on_the_page():
    """Guards against undocumented error codes."""
    page = (ROOT / 'docs' / 'callers.md').read_text()
    found = set(codes()) - INTERNAL
    assert len(found) > 25
    assert sorted(code for code in found if f'`{code}`' not in page) == []
