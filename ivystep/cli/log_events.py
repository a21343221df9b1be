"""The page on the gateway's log lines, rendered from the events themselves."""

import dataclasses
import inspect
import sys

import cappa

from ivystep.gateway import events
from ivystep.runtime import event_log

HEADING = """# Log lines of the gateway

Each line on standard output is one JSON object. `message` names the event,
`host` the host, `time` the time of day, `level` and `part` the level and the
part of the program. Lines of one kind that come too fast are left out; the
next one has their number in `left_out`.

This page is written by `ivystep log-events`.
"""


def render() -> str:
    """Return the page in Markdown."""
    kinds = [
        kind
        for _, kind in inspect.getmembers(events, inspect.isclass)
        if issubclass(kind, event_log.Event)
    ]
    sections = [_section(kind) for kind in sorted(kinds, key=_name)]
    return '\n'.join((HEADING, *sections))


def _name(kind: type[event_log.Event]) -> str:
    return kind.name


def _section(kind: type[event_log.Event]) -> str:
    text = inspect.cleandoc(kind.__doc__ or '')
    summary = text.partition('\n\n')[0]
    described = _described(text)
    lines = [f'## {kind.name}', '', summary, '']
    if not kind.is_rate_limited:
        lines.extend(('Never left out.', ''))
    lines.extend(('| field | type | meaning |', '|---|---|---|'))
    for field in dataclasses.fields(kind):
        type_name = getattr(field.type, '__name__', field.type)
        meaning = described.get(field.name, '')
        lines.append(f'| `{field.name}` | {type_name} | {meaning} |')
    return '\n'.join((*lines, ''))


def _described(text: str) -> dict[str, str]:
    """Return the descriptions of the attributes in a doc comment."""
    described: dict[str, str] = {}
    name = ''
    for line in text.partition('Attributes:\n')[2].splitlines():
        stripped = line.strip()
        is_new = line.startswith('    ') and not line.startswith('     ')
        if is_new:
            name, _, stripped = stripped.partition(': ')
            described[name] = stripped
        elif name:
            described[name] = f'{described[name]} {stripped}'
    return described


@cappa.command(name='log-events', help="Describe the gateway's log lines.")
@dataclasses.dataclass
class LogEvents:
    """Print the page on the gateway's log lines."""

    def __call__(self) -> None:
        """Print the page."""
        sys.stdout.write(render())
