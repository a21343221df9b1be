"""The ``explain`` subcommand: traces one request through collected logs."""

import dataclasses
import datetime
import json
import pathlib
import sys
import typing
from collections.abc import Iterable, Iterator

import cappa

from ivystep.accounts import authentication
from ivystep.core import errors
from ivystep.platform import operator_config

# Fields that every line has. They are shown before the details, or omitted.
COMMON_FIELDS = frozenset(('level', 'part', 'message', 'host', 'time'))
# Fields that may name an upstream in the lines of a request.
UPSTREAM_FIELDS = ('upstream', 'peer')
# Number of related lines shown from before the start of the request.
MAX_EARLIER_LINES = 3
# Relevant whichever host logs it: the leader gives the orders for all hosts.
DUTY_CHANGED = 'duty_changed'
# Tell which API keys a host knows. The store's key of a configuration that is
# ignored is checked, since other rows are ignored by the same event.
CONFIG_ADOPTED = 'config_adopted'
ENTRY_IGNORED = 'entry_ignored'
KEY_CODES = frozenset(
    (
        authentication.MISSING_KEY,
        authentication.UNKNOWN_KEY,
        authentication.REVOKED_KEY,
        authentication.OUTDATED,
    )
)
DEPENDENCY_EVENTS = frozenset(('dependency_lost', 'dependency_regained'))


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    Attributes:
        position: Index of the line in the combined input of all files.
    """

    position: int
    fields: dict[str, typing.Any]

    @property
    def time(self) -> str:
        """Wall-clock time of the host; a clock step can make it go back."""
        return str(self.fields.get('time', ''))

    def __str__(self) -> str:
        """Return the line in readable form."""
        details = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in COMMON_FIELDS and name != 'request_id'
        )
        host = self.fields.get('host', '')
        return f'{self.time} {host} {self.fields.get("message")} {details}'


def parse_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse the log lines of any number of processes.

    A prefix before the JSON object, such as a time and a host name, is
    ignored. Lines without a JSON object are skipped.

    Args:
        lines: Lines of text.

    Yields:
        The log lines.
    """
    for position, text in enumerate(lines):
        start = max(text.find('{'), 0)
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and 'message' in fields:
            yield LogLine(position, fields)


@dataclasses.dataclass(frozen=True, slots=True)
class _RequestContext:
    """Hosts, upstreams and adapters that the lines of a request name.

    Attributes:
        hosts: Hosts that logged the lines.
        upstreams: Ids of the upstreams.
        adapters: Names of the adapters, without their versions.
        is_about_key: Whether the request was refused because of its API key.
    """

    hosts: frozenset[str]
    upstreams: frozenset[str]
    adapters: frozenset[str]
    is_about_key: bool = False

    @classmethod
    def from_lines(cls, request_lines: Iterable[LogLine]) -> typing.Self:
        """Return the context of the lines of a request."""
        fields = [line.fields for line in request_lines]
        return cls(
            frozenset(str(one.get('host', '')) for one in fields),
            frozenset(
                str(one.get(name, ''))
                for one in fields
                for name in UPSTREAM_FIELDS
            )
            - {''},
            frozenset(_adapter_name(one.get('adapter', '')) for one in fields)
            - {''},
            any(one.get('code') in KEY_CODES for one in fields),
        )

    def is_related(self, fields: dict[str, typing.Any]) -> bool:
        """Return whether a line without the request id concerns the request."""
        message = fields['message']
        is_own_host = fields.get('host', '') in self.hosts
        if message == 'order_given':
            # The leader gives the orders for all hosts, so the line may come
            # from a host that did not log the request.
            is_for_adapter = (
                _adapter_name(fields.get('target')) in self.adapters
            )
            is_at_upstream = fields.get('upstream') in self.upstreams
            return is_for_adapter or (is_own_host and is_at_upstream)
        if message == 'upstream_changed':
            return is_own_host and fields.get('upstream') in self.upstreams
        if _is_about_configuration(fields):
            return is_own_host and self.is_about_key
        is_dependency = is_own_host and message in DEPENDENCY_EVENTS
        return message == DUTY_CHANGED or is_dependency


def _is_about_configuration(fields: dict[str, typing.Any]) -> bool:
    """Return whether a line tells of the configuration in force."""
    message = fields['message']
    is_config_row = fields.get('key') == operator_config.CONFIG_KEY
    is_ignored_config = message == ENTRY_IGNORED and is_config_row
    return message == CONFIG_ADOPTED or is_ignored_config


def _adapter_name(target: typing.Any) -> str:
    return str(target or '').partition('@')[0]


def explain_request(request_id: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request and the lines related to it.

    Related lines are changes of upstreams and dependencies that its hosts
    logged, changes of the leader, and orders for its adapters and upstreams.
    For a request that was refused because of its API key, they include the
    configurations of its hosts.

    Args:
        request_id: Id of the request.
        lines: Log lines of all hosts.

    Returns:
        The lines in the order of the input.

    Raises:
        errors.SettingsError: No line has the request id.
    """
    all_lines = list(lines)
    request_lines = [
        line
        for line in all_lines
        if line.fields.get('request_id') == request_id
    ]
    if not request_lines:
        raise errors.SettingsError(f'no log line has request id {request_id}')
    context = _RequestContext.from_lines(request_lines)
    related = [
        line
        for line in all_lines
        if line.position <= request_lines[-1].position
        and context.is_related(line.fields)
    ]
    first = _first_position(request_lines, all_lines)
    before = [line for line in related if line.position < first]
    during = [line for line in related if line.position >= first]
    return sorted(
        (*before[-MAX_EARLIER_LINES:], *request_lines, *during),
        key=lambda line: line.position,
    )


def _first_position(
    request_lines: list[LogLine], all_lines: list[LogLine]
) -> int:
    """Return the position at which a request began.

    Its only line may be the one logged at its end. The start is therefore
    computed from the time and the duration in its last line.
    """
    elapsed_ms = request_lines[-1].fields.get('elapsed_ms')
    ended_at = _parse_time(request_lines[-1])
    if elapsed_ms is None or ended_at is None:
        return request_lines[0].position
    started_at = ended_at - datetime.timedelta(milliseconds=elapsed_ms)
    host = request_lines[-1].fields.get('host')
    lines_after_start = (
        line.position
        for line in all_lines
        if line.fields.get('host') == host
        and (_parse_time(line) or started_at) >= started_at
    )
    return min(
        request_lines[0].position,
        next(lines_after_start, request_lines[0].position),
    )


def _parse_time(line: LogLine) -> datetime.datetime | None:
    try:
        return datetime.datetime.fromisoformat(line.time)
    except ValueError:
        return None


@cappa.command(
    help='Show the log lines that explain the outcome of one request.'
)
@dataclasses.dataclass
class Explain:
    """Shows what happened to a request."""

    request_id: typing.Annotated[
        str, cappa.Arg(help='Id of the request, as the caller sent it.')
    ]
    files: typing.Annotated[
        list[pathlib.Path], cappa.Arg(help='Files with log lines.')
    ]

    def __call__(self) -> None:
        """Print the lines of the request and the lines related to it."""
        texts: list[str] = []
        for path in self.files:
            texts.extend(path.read_text(errors='replace').splitlines())
        for line in explain_request(self.request_id, parse_lines(texts)):
            sys.stdout.write(f'{line}\n')
