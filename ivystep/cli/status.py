"""The subcommand that tells operators in one screen what is wrong."""

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
from ivystep.platform import hosts
from ivystep.settings import ini, models

PARALLEL_READS = 32
MAX_STATUS_BYTES = 262144
MAX_LINES = 40
MAX_SHOWN_CHARACTERS = 80

_STATUS = pydantic.TypeAdapter(operators_app.ProcessStatus)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """What one host of the list answered.

    Attributes:
        status: Its status, None if it did not answer.
        reason: Why there is no status.
    """

    host: types.HostEntry
    status: operators_app.ProcessStatus | None
    reason: str = ''


@cappa.command(help='Print in one screen what is wrong.')
@dataclasses.dataclass
class Status:
    """Ask every host of the platform's list for its status."""

    config: commands.ConfigPath

    def __call__(self) -> None:
        """Print the summary; exit with 1 if anything is wrong."""
        settings = ini.load(self.config, models.OperatorSettings)
        listed = hosts.HostsClient(
            settings.platform.hosts_url, settings.platform.timeout_s
        ).read()
        reader = StatusReader(settings.status)
        workers = eventlet.GreenPool(PARALLEL_READS)
        findings = list(workers.imap(reader.read, listed.values()))
        problems = find_problems(findings)
        sys.stdout.write(format_screen(findings, problems))
        if problems:
            raise cappa.Exit(code=1)


class StatusReader:
    """Reads ``/status.json`` of processes.

    Args:
        settings: Port and time-out.
    """

    def __init__(self, settings: models.Status) -> None:
        self._port = settings.operators_port
        self._http = urllib3.PoolManager(
            timeout=urllib3.Timeout(total=settings.timeout_s), retries=False
        )

    def read(self, host: types.HostEntry) -> Finding:
        """Return what a host answers."""
        url = f'http://{host.address}:{self._port}/status.json'
        try:
            answer = self._http.request('GET', url, preload_content=False)
            body = answer.read(MAX_STATUS_BYTES)
            answer.release_conn()
            status = _STATUS.validate_json(body)
        except urllib3.exceptions.HTTPError:
            return Finding(host, None, 'does not answer')
        except pydantic.ValidationError:
            return Finding(host, None, 'gives a malformed status')
        if (status.role, status.process_id) != (host.role, host.host):
            found = f'{status.role} {status.process_id}'[:MAX_SHOWN_CHARACTERS]
            return Finding(host, None, f'is answered for by {found}')
        return Finding(host, status)


def find_problems(findings: Iterable[Finding]) -> list[str]:
    """Return one line for each thing that is wrong, most urgent first.

    Args:
        findings: What each host answered.
    """
    findings = list(findings)
    newest = max(_versions(findings), default=0)
    pools = {part.host.pool for part in findings if part.host.pool}
    serving = {part.host.pool for part in findings if _serves(part)}
    empty = [
        f'pool {pool} has no upstream that serves'
        for pool in sorted(pools - serving)
    ]
    silent = [
        f'{part.host.role} {part.host.host} {part.reason}'
        for part in findings
        if part.status is None
    ]
    reported = [
        problem for part in findings for problem in _of_process(part, newest)
    ]
    return [*empty, *silent, *reported]


def format_screen(findings: list[Finding], problems: list[str]) -> str:
    """Return the screen.

    Args:
        findings: What each host answered.
        problems: What is wrong.
    """
    count_by_role = collections.Counter(part.host.role for part in findings)
    ready_by_role = collections.Counter(
        part.host.role for part in findings if _serves(part)
    )
    lines = [
        f'{role}: {ready_by_role[role]} of {count} ready'
        for role, count in sorted(count_by_role.items())
    ]
    versions = sorted(_versions(findings))
    lines.append(f'setup versions: {", ".join(map(str, versions)) or "none"}')
    lines.append(f'problems: {len(problems) or "none"}')
    lines.extend(f'  {problem}' for problem in problems[:MAX_LINES])
    if len(problems) > MAX_LINES:
        lines.append(f'  and {len(problems) - MAX_LINES} more')
    return '\n'.join((*lines, ''))


def _versions(findings: Iterable[Finding]) -> set[int]:
    return {part.status.setup_version for part in findings if part.status}


def _of_process(part: Finding, newest: int) -> typing.Iterator[str]:
    if part.status is None:
        return
    place = f'{part.host.role} {part.host.host}'
    for problem in part.status.problems:
        yield f'{place}: {problem}'
    is_entry = part.host.role == 'entry'
    if is_entry and part.status.setup_version < newest:
        yield (
            f'{place}: serves setup version {part.status.setup_version}, '
            f'version {newest} is known'
        )
    leaving = part.host.state is types.HostState.LEAVING
    if part.status.is_draining and not leaving:
        yield f'{place}: drains although the host list says live'
    elif not part.status.is_ready and not part.status.problems:
        yield f'{place}: is not ready'


def _serves(part: Finding) -> bool:
    return (
        part.status is not None
        and part.status.is_ready
        and not part.status.is_draining
    )
