"""The ``status`` subcommand: lists the problems of all processes.

The summary fits on one screen.
"""

import collections
import dataclasses
import sys
import typing
from collections.abc import Iterable

import cappa
import eventlet
import pydantic
import urllib3

from ivystep.cli import commands
from ivystep.core import types
from ivystep.metrics import operators_app
from ivystep.platform import bounded_answers, hosts
from ivystep.settings import ini, models

PARALLEL_READS = 32
MAX_STATUS_BYTES = 262144
MAX_LINES = 40
MAX_SHOWN_CHARACTERS = 80

_STATUS = pydantic.TypeAdapter(operators_app.ProcessStatus)


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReply:
    """Reply of one host to a status request.

    Attributes:
        host: Entry of the host list.
        status: Status of the process, None if no valid one was received.
        reason: Why there is no status; empty otherwise.
    """

    host: types.HostEntry
    status: operators_app.ProcessStatus | None
    reason: str = ''


@cappa.command(help='Print the problems of all processes on one screen.')
@dataclasses.dataclass
class Status:
    """Requests the status of every host on the platform's host list."""

    config: commands.ConfigPath

    def __call__(self) -> None:
        """Print the summary; exit with 1 if there is a problem."""
        settings = ini.load(self.config, models.OperatorSettings)
        listed = hosts.HostsClient(
            settings.platform.hosts_url, settings.platform.timeout_s
        ).read()
        reader = StatusReader(settings.status)
        workers = eventlet.GreenPool(PARALLEL_READS)
        replies = list(workers.imap(reader.read, listed.values()))
        problems = find_problems(replies)
        sys.stdout.write(format_summary(replies, problems))
        if problems:
            raise cappa.Exit(code=1)


class StatusReader:
    """Reads ``/status.json`` of processes.

    Args:
        settings: Port and time-out.
    """

    def __init__(self, settings: models.Status) -> None:
        self._port = settings.operators_port
        self._http = bounded_answers.pool_manager(
            MAX_STATUS_BYTES,
            timeout=urllib3.Timeout(total=settings.timeout_s),
            retries=False,
        )

    def read(self, host: types.HostEntry) -> StatusReply:
        """Return the reply of a host."""
        url = f'http://{host.address}:{self._port}/status.json'
        try:
            answer = self._http.request('GET', url, preload_content=False)
            body = answer.read(MAX_STATUS_BYTES)
            answer.release_conn()
            status = _STATUS.validate_json(body)
        except urllib3.exceptions.HTTPError:
            return StatusReply(host, None, 'does not answer')
        except pydantic.ValidationError:
            return StatusReply(host, None, 'returned a malformed status')
        if (status.role, status.process_id) != (host.role, host.host):
            found = f'{status.role} {status.process_id}'[:MAX_SHOWN_CHARACTERS]
            return StatusReply(
                host, None, f'is listed with the address of {found}'
            )
        return StatusReply(host, status)


def find_problems(replies: Iterable[StatusReply]) -> list[str]:
    """Return one line per problem, most urgent first.

    Args:
        replies: Replies of all hosts.
    """
    replies = list(replies)
    newest = max(_setup_versions(replies), default=0)
    pools = {reply.host.pool for reply in replies if reply.host.pool}
    serving = {reply.host.pool for reply in replies if _is_serving(reply)}
    pools_without_upstream = [
        f'pool {pool} has no serving upstream'
        for pool in sorted(pools - serving)
    ]
    unanswered = [
        f'{reply.host.role} {reply.host.host} {reply.reason}'
        for reply in replies
        if reply.status is None
    ]
    process_problems = [
        problem
        for reply in replies
        for problem in _process_problems(reply, newest)
    ]
    return [*pools_without_upstream, *unanswered, *process_problems]


def format_summary(replies: list[StatusReply], problems: list[str]) -> str:
    """Return the summary as text.

    Args:
        replies: Replies of all hosts.
        problems: Lines from ``find_problems``.
    """
    count_by_role = collections.Counter(reply.host.role for reply in replies)
    ready_by_role = collections.Counter(
        reply.host.role for reply in replies if _is_serving(reply)
    )
    lines = [
        f'{role}: {ready_by_role[role]} of {count} ready'
        for role, count in sorted(count_by_role.items())
    ]
    versions = sorted(_setup_versions(replies))
    lines.append(f'setup versions: {", ".join(map(str, versions)) or "none"}')
    lines.append(f'problems: {len(problems) or "none"}')
    lines.extend(f'  {problem}' for problem in problems[:MAX_LINES])
    if len(problems) > MAX_LINES:
        lines.append(f'  and {len(problems) - MAX_LINES} more')
    return '\n'.join((*lines, ''))


def _setup_versions(replies: Iterable[StatusReply]) -> set[int]:
    return {reply.status.setup_version for reply in replies if reply.status}


def _process_problems(reply: StatusReply, newest: int) -> typing.Iterator[str]:
    if reply.status is None:
        return
    process = f'{reply.host.role} {reply.host.host}'
    for problem in reply.status.problems:
        yield f'{process}: {problem}'
    is_entry = reply.host.role == 'entry'
    if is_entry and reply.status.setup_version < newest:
        yield (
            f'{process}: serves setup version {reply.status.setup_version}, '
            f'newest is {newest}'
        )
    leaving = reply.host.state is types.HostState.LEAVING
    if reply.status.is_draining and not leaving:
        yield f'{process}: is draining although the host list says live'
    elif not reply.status.is_ready and not reply.status.problems:
        yield f'{process}: is not ready'


def _is_serving(reply: StatusReply) -> bool:
    return (
        reply.status is not None
        and reply.status.is_ready
        and not reply.status.is_draining
    )
