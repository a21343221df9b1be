"""``ivystep explain``: what became of one request, from collected logs."""

import dataclasses
import json
import pathlib
import sys
import typing
from collections.abc import Iterable, Iterator

import cappa

from ivystep.core import errors

# Fields of every line, shown in front or not at all.
COMMON_FIELDS = frozenset(('level', 'part', 'message', 'host', 'time'))
# Kinds that tell what a host believed of an upstream.
BELIEFS = frozenset(('upstream_changed', 'order_given'))
# Beliefs that are shown before the first line of the request.
SHOWN_BELIEFS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes:
        order: Number of the line in the order in which it was read.
    """

    order: int
    fields: dict[str, typing.Any]

    @property
    def time(self) -> str:
        """Time of day at the host, which may have been stepped."""
        return str(self.fields.get('time', ''))

    def __str__(self) -> str:
        """Return the line for people."""
        details = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in COMMON_FIELDS and name != 'request_id'
        )
        host = self.fields.get('host', '')
        return f'{self.time} {host} {self.fields.get("message")} {details}'


def read(lines: Iterable[str]) -> Iterator[Line]:
    """Read the log lines of any number of processes.

    Whatever stands before the JSON object of a line, such as the time and
    the name of a machine, is skipped; other lines are left out.

    Args:
        lines: The lines.
    """
    for order, text in enumerate(lines):
        start = max(text.find('{'), 0)
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and 'message' in fields:
            yield Line(order, fields)


def story(request_id: str, lines: Iterable[Line]) -> list[Line]:
    """Return the lines of a request, with what was believed of its upstreams.

    Args:
        request_id: Id of the request.
        lines: All lines.

    Raises:
        errors.SettingsError: No line names the request.
    """
    known = list(lines)
    own = [
        line for line in known if line.fields.get('request_id') == request_id
    ]
    if not own:
        raise errors.SettingsError(f'no line names request {request_id}')
    upstreams = {line.fields.get('upstream') for line in own} - {None, ''}
    hosts = {line.fields.get('host') for line in own}
    last = own[-1].order
    believed = [
        line
        for line in known
        if line.fields['message'] in BELIEFS
        and line.fields.get('upstream') in upstreams
        and line.fields.get('host') in hosts
        and line.order <= last
    ]
    shown = [line for line in believed if line.order < own[0].order]
    during = [line for line in believed if line.order > own[0].order]
    return sorted(
        (*shown[-SHOWN_BELIEFS:], *own, *during), key=lambda line: line.order
    )


@cappa.command(help='Tell what became of one request, from collected logs.')
@dataclasses.dataclass
class Explain:
    """Explain a request."""

    request_id: typing.Annotated[
        str, cappa.Arg(help='Id of the request, as the caller sent it.')
    ]
    files: typing.Annotated[
        list[pathlib.Path], cappa.Arg(help='Files with log lines.')
    ]

    def __call__(self) -> None:
        """Print the story of the request."""
        texts: list[str] = []
        for path in self.files:
            texts.extend(path.read_text(errors='replace').splitlines())
        for line in story(self.request_id, read(texts)):
            sys.stdout.write(f'{line}\n')
