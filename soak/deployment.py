"""A deployment of two entries, two upstreams and the platform under faults."""

import functools
import itertools
import pathlib
import random
import signal
import time
import typing
from collections.abc import Callable

import eventlet
import urllib3
from eventlet import semaphore

from demo import cluster
from soak import callers, oracle, relay

ACCOUNTS = ('authority', 'vanhoutte')
ADAPTERS = ('letters', 'sheets')
VERSIONS = (1, 2)
ENTRIES = ('entry-1', 'entry-2')
UPSTREAMS = ('up-1', 'up-2')
POLL_S = 0.05
WRONG_ADAPTER_LINE = 'was asked for and'
WAIT_S = 30.0


def setup_document(*more_adapters: str) -> dict[str, typing.Any]:
    """Return a setup of two accounts with two adapters of two versions each.

    Args:
        more_adapters: Further adapters of each account.
    """
    names = (*ADAPTERS, *more_adapters)
    return {
        'pools': [{'name': 'base', 'loads_per_s': 10}],
        'accounts': [_account(name, names) for name in ACCOUNTS],
    }


def _account(name: str, names: tuple[str, ...]) -> dict[str, typing.Any]:
    adapters = [
        {
            'name': adapter,
            'pool': 'base',
            'active_version': 1,
            'versions': [
                {'version': number, 'source': f'{name}-{adapter}-{number}'}
                for number in VERSIONS
            ],
        }
        for adapter in names
    ]
    applications = [
        {
            'name': application,
            'key_digests': [
                cluster.key_digest(callers.bearer_key(name, application))
            ],
            'grants': list(names),
            'idempotent': application != 'once',
        }
        for application in ('app', 'once')
    ]
    return {'name': name, 'applications': applications, 'adapters': adapters}


class Deployment:
    """The processes of a deployment, its callers and its faults.

    Args:
        folder: Folder for settings, logs and journals.
        seed: Seed of the random choices.

    Attributes:
        disturbed_entries: Entries that were killed or suspended since the
            last check.
    """

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.folder = folder
        self.random = random.Random(seed)
        self.system = cluster.Cluster(folder)
        self.relay_by_host: dict[str, relay.Relay] = {}
        self.outcomes: list[callers.Outcome] = []
        self.disturbed_entries: set[str] = set()
        self.http = callers.http_client()
        self._numbers = itertools.count(1)
        self._seen_lines: set[str] = set()
        self._expected_lines: tuple[str, ...] = ()
        # Concurrent restarts of one process would compete for its port.
        self._restart_lock = semaphore.Semaphore(1)
        self._tasks: list[typing.Any] = []

    def start(self) -> None:
        """Start all processes and wait until both entries are ready."""
        self.system.start_platform()
        with self.system.parallel():
            for host in UPSTREAMS:
                self._start_upstream(host)
            for host in ENTRIES:
                self.system.start_entry(host, 'lier-a')
            self.system.submit(setup_document(), 0)
        for host in ENTRIES:
            self.system.await_ready(host)
        self.await_service()

    def stop(self) -> None:
        """Stop all relays and processes."""
        for one in self.relay_by_host.values():
            one.close()
        self.system.stop()

    def make_request(self, **fields: typing.Any) -> callers.CallerRequest:
        """Return a new request; fields not given are chosen at random."""
        number = next(self._numbers)
        chosen = {
            'prompt': f'prompt {number}',
            'account': self.random.choice(ACCOUNTS),
            'application': self.random.choice(('app', 'once')),
            'adapter': self.random.choice(ADAPTERS),
            'version': self.random.choice(VERSIONS),
            'stream': self.random.choice((False, True)),
            **fields,
        }
        if chosen['application'] == 'once':
            chosen.setdefault('idempotency_key', f'key-{number}')
        return callers.CallerRequest(**chosen)

    def send(
        self, request: callers.CallerRequest, entry: str = ''
    ) -> typing.Any:
        """Send a request from a task of its own.

        Returns:
            The task; its result is the ``Outcome``.
        """
        entry = entry or self.random.choice(ENTRIES)
        task = eventlet.spawn(self._call, request, entry)
        self._tasks.append(task)
        return task

    def send_many(self, count: int, **fields: typing.Any) -> list[typing.Any]:
        """Send new requests to both entries in turn."""
        entries = itertools.cycle(ENTRIES)
        return [
            self.send(self.make_request(**fields), next(entries))
            for _ in range(count)
        ]

    def running(self) -> int:
        """Return the number of completions running on all engines."""
        return sum(self.running_on(host) for host in UPSTREAMS)

    def running_on(self, host: str) -> int:
        """Return the number of completions running on one engine."""
        try:
            response = self.http.request('GET', self.engine_url(host))
        except urllib3.exceptions.HTTPError:
            return 0
        return _running(response.data.decode())

    def engine_url(self, host: str, path: str = '/metrics') -> str:
        """Return a URL of a host's engine."""
        return self.system.node_by_name[f'{host}-engine'].url + path

    def engine_faults(self, host: str, **faults: typing.Any) -> None:
        """Replace the faults of an engine; without arguments, clear them."""
        if 'answer_model' in faults:
            # The sidecar withholds such an answer and logs an error.
            self._expected_lines = (WRONG_ADAPTER_LINE,)
        self.http.request('POST', self.engine_url(host, '/faults'), json=faults)

    def table_mode(self, mode: str, **more: typing.Any) -> None:
        """Set the fault mode of the table service."""
        url = f'{self.system.node_by_name["table"].url}/faults'
        self.http.request('POST', url, json={'mode': mode, **more})

    def addresses(self, name: str) -> list[tuple[str, int]]:
        """Return where an entry serves its callers and its operators."""
        node = self.system.node_by_name[name]
        urls = map(urllib3.util.parse_url, (node.url, node.operators_url))
        return [(str(url.host), int(url.port or 0)) for url in urls]

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        if name in ENTRIES and number != signal.SIGTERM:
            self.disturbed_entries.add(name)
        self.system.node_by_name[name].process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and start it again."""
        with self._restart_lock:
            self.signal(name, signal.SIGKILL)
            self.system.restart(name)

    def drain(self, name: str) -> int:
        """End a process with SIGTERM and start it again.

        Returns:
            Its exit code.
        """
        with self._restart_lock:
            node = self.system.node_by_name[name]
            self.signal(name, signal.SIGTERM)
            code = node.process.wait(cluster.STOP_TIMEOUT_S)
            self.system.restart(name)
        return code

    def finish(self) -> list[str]:
        """Wait for all callers; return the violations since the last call."""
        self.wait_for_callers()
        names = oracle.read_journals(self.folder.glob('*.journal'))
        found = oracle.violations(self.outcomes, names, self.disturbed_entries)
        lines = oracle.fault_lines(self.folder)
        expected = self._expected_lines
        found.extend(
            line
            for line in lines
            if line not in self._seen_lines
            and not any(part in line for part in expected)
        )
        self._seen_lines.update(lines)
        self._expected_lines = ()
        self.outcomes.clear()
        self.disturbed_entries.clear()
        return found

    def wait_for_callers(self) -> None:
        """Wait until all calls have ended."""
        while self._tasks:
            self._tasks.pop().wait()

    def heal(self) -> None:
        """Clear all faults of the table service, the engines and the links."""
        self.table_mode('none')
        for host in UPSTREAMS:
            wait_until(functools.partial(self._has_healed, host))
            self.relay_by_host[host].heal()

    def await_service(self) -> None:
        """Wait until both entries serve every account."""
        probes = [
            eventlet.spawn(self._await_served, entry, account)
            for entry in ENTRIES
            for account in ACCOUNTS
        ]
        for probe in probes:
            probe.wait()

    def _await_served(self, entry: str, account: str) -> None:
        wait_until(lambda: self._is_served(entry, account))

    def _has_healed(self, host: str) -> bool:
        try:
            self.engine_faults(host)
        except urllib3.exceptions.HTTPError:
            # The engine is still starting.
            return False
        return True

    def _is_served(self, entry: str, account: str) -> bool:
        request = self.make_request(account=account, application='app')
        return self._call(request, entry).result is callers.CallResult.COMPLETE

    def _call(
        self, request: callers.CallerRequest, entry: str
    ) -> callers.Outcome:
        url = self.system.node_by_name[entry].url
        outcome = callers.call(self.http, entry, url, request)
        self.outcomes.append(outcome)
        return outcome

    def _start_upstream(self, host: str) -> None:
        system = self.system
        journal = self.folder / f'{host}.journal'
        journal.touch()
        system.start_upstream(
            host, 'base', 'lier-a', '--journal-path', str(journal)
        )
        entry = system.host_entries[-1]
        target = (system.address, entry['port'])
        link_relay = relay.Relay(system.address, target)
        self.relay_by_host[host] = link_relay
        system.list_host(host, 'sidecar', link_relay.port, 'lier-a', 'base')


def wait_until(
    condition: Callable[[], bool], timeout_s: float = WAIT_S
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition did not hold within the time-out.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError('condition did not hold within the time-out')
        eventlet.sleep(POLL_S)


def _running(metrics: str) -> int:
    for line in metrics.splitlines():
        name, _, number = line.rpartition(' ')
        if name == 'num_requests_running':
            return int(number)
    return 0
