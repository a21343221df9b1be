"""One daemon that is started and stopped again and again.

The settings and the command line are those that ``demo.cluster`` made for it.
"""

import configparser
import contextlib
import dataclasses
import pathlib
import signal
import time
import types
import typing

import eventlet
import urllib3

from demo import cluster

SHELL = '/bin/sh'
POLL_S = 0.05
HANDLER_POLL_S = 0.002
# A stopped process without requests waits for its load balancer at most.
STOP_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadinessCheck:
    """Where a daemon tells whether it is ready."""

    port: str
    path: str


READINESS_BY_COMMAND = types.MappingProxyType(
    {
        'gateway': ReadinessCheck('readiness', '/ivystep/readiness'),
        'entry': ReadinessCheck('operators', '/readyz'),
        'sidecar': ReadinessCheck('operators', '/readyz'),
        'console': ReadinessCheck('listen', '/sign-in'),
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What a process finds at its start.

    Attributes:
        stdout: File descriptor of the standard output and error; None for the
            log file.
        closed: Standard descriptors that are closed.
        max_descriptors: Limit on open descriptors; None for that of the soak.
    """

    stdout: int | None = None
    closed: tuple[int, ...] = ()
    max_descriptors: int | None = None


class Daemon:
    """A daemon of one command.

    Args:
        node: Its process, which is stopped.

    Attributes:
        command: Subcommand of ``ivystep``.
        address_by_port: Address by the name of each port it listens on.
    """

    def __init__(self, node: cluster.Node, folder: pathlib.Path) -> None:
        self.name = node.name
        self.arguments = node.arguments
        self.command = node.arguments[-3]
        self.settings = pathlib.Path(node.arguments[-1])
        self.address_by_port = addresses(self.settings)
        self.process: typing.Any = None
        self._log = folder / f'{node.name}.log'
        self._http = urllib3.PoolManager(retries=False, timeout=1.0)

    def start(self, surroundings: Surroundings) -> None:
        """Start the process."""
        with self._log.open('ab') as log:
            output = surroundings.stdout
            self.process = cluster.launch(
                (SHELL, '-c', _script(surroundings), 'sh', *self.arguments),
                log if output is None else output,
            )

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def await_handlers(self) -> None:
        """Wait until the process handles SIGHUP.

        Until its first line runs, the interpreter has the default action, which
        no program of it can change.
        """
        while self.exit_code() is None and not self._handles(signal.SIGHUP):
            eventlet.sleep(HANDLER_POLL_S)

    def exit_code(self) -> int | None:
        """Return the exit code; None while the process runs."""
        return None if self.process is None else self.process.poll()

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        check = READINESS_BY_COMMAND[self.command]
        host, port = self.address_by_port[check.port]
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            url = f'http://{host}:{port}{check.path}'
            return self._http.request('GET', url).status == 200
        return False

    def await_ready(self, timeout_s: float) -> str:
        """Wait until ready; return what is wrong, or an empty text."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if self.exit_code() is not None:
                return f'ended by itself with {self.exit_code()}'
            if self.is_ready():
                return ''
            eventlet.sleep(POLL_S)
        return f'not ready after {timeout_s} s'

    def stop(self) -> str:
        """Stop the process; return what is wrong, or an empty text."""
        if self.process is None:
            return ''
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_S
        while self.exit_code() is None and time.monotonic() < deadline:
            eventlet.sleep(POLL_S)
        code = self.exit_code()
        if code is None:
            self.process.kill()
            self.process.wait()
            return f'did not stop within {STOP_S} s'
        return '' if code == 0 else f'ended with {code} on SIGTERM'

    def _handles(self, number: int) -> bool:
        status = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        caught = next(
            line for line in status.splitlines() if line.startswith('SigCgt:')
        )
        return bool(int(caught.split()[1], 16) >> (number - 1) & 1)


def addresses(path: pathlib.Path) -> dict[str, tuple[str, int]]:
    """Return the address of each port that settings name, by its name."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path)
    if not parser.has_section('addresses'):
        return {
            name: (parser[name]['address'], int(parser[name]['port']))
            for name in ('listen', 'operators', 'peers')
            if parser.has_option(name, 'port')
        }
    section = parser['addresses']
    found: dict[str, tuple[str, int]] = {
        'peers': (section['host'], int(section['ports'].split(',')[0])),
        'metrics': (section['host'], int(section['metrics_port'])),
    }
    for name in ('callers', 'readiness'):
        host, _, port = section[name].rpartition(':')
        found[name] = (host, int(port))
    return found


def _script(surroundings: Surroundings) -> str:
    """Return the shell script that starts the arguments in surroundings."""
    steps = []
    if surroundings.max_descriptors is not None:
        steps.append(f'ulimit -n {surroundings.max_descriptors}')
    closes = ' '.join(f'{number}>&-' for number in surroundings.closed)
    steps.append(f'exec "$@" {closes}')
    return '; '.join(steps)
