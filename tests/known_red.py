"""Deselects the known failing tests in KNOWN-RED.txt and prints them."""

import pathlib

KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '


def listed_tests(text):
    """Return the test ids in the text of KNOWN-RED.txt."""
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(TEST_PREFIX)
    }


def pytest_collection_modifyitems(config, items):
    """Deselect the listed tests, unless one is named on the command line."""
    if not KNOWN_RED.exists():
        return
    listed = listed_tests(KNOWN_RED.read_text(encoding='utf-8'))
    named = set(config.args)
    red = [
        item
        for item in items
        if item.nodeid in listed and item.nodeid not in named
    ]
    if red:
        config.hook.pytest_deselected(items=red)
        items[:] = [item for item in items if item not in red]


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests."""
    if KNOWN_RED.exists():
        for test in sorted(listed_tests(KNOWN_RED.read_text('utf-8'))):
            terminalreporter.write_line(f'known red, not run: {test}')
