"""Tests of the list of known failing tests."""

import pathlib

from tests import known_red


def test_listed_tests_exist():
    """Guards against an entry whose test was renamed or removed."""
    if not known_red.KNOWN_RED.exists():
        return
    root = known_red.KNOWN_RED.parent
    text = known_red.KNOWN_RED.read_text(encoding='utf-8')
    for test in known_red.listed_tests(text):
        path, *_, name = test.split('::')
        source = pathlib.Path(root / path).read_text(encoding='utf-8')
        assert f'def {name.partition("[")[0]}(' in source


def test_only_marked_lines_are_listed():
    """Guards against other lines of the file taken for names of tests."""
    text = 'test: tests/a.py::test_b\nseed: 4\nseen: test: no\n'
    assert known_red.listed_tests(text) == {'tests/a.py::test_b'}
