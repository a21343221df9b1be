"""Defines the metrics of a daemon in an ``aioprometheus`` registry.

Daemons record events through the methods of ``Metrics`` and do not use the
library directly, so names, labels and their bounds are defined in this file
only.
"""

from collections.abc import Callable

import aioprometheus
from aioprometheus import renderer

from ivystep.runtime import log_output

MAX_ACCOUNT_LABELS = 200
MAX_CODE_LABELS = 64
OTHER = 'other'
STALL_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
FILL_BUCKETS = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0)


class BoundedLabel:
    """Limits the number of values of one label.

    The first ``limit`` values keep their name and all further ones are counted
    as ``other``. This bounds the memory of the registry and the length of
    ``/metrics``, whatever the number of accounts.

    Args:
        limit: Number of values that keep their name.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._known_names: set[str] = set()

    def value_for(self, name: str) -> str:
        """Return the label value for a name."""
        if name in self._known_names:
            return name
        if len(self._known_names) >= self._limit:
            return OTHER
        self._known_names.add(name)
        return name


class Metrics:
    """Counters, gauges and histograms of one process.

    Args:
        waiting_accounts: Number of accounts whose waits have a label of their
            own.

    Attributes:
        registry: The registry, to which a kind of process may add metrics of
            its own.
    """

    def __init__(self, waiting_accounts: int = MAX_ACCOUNT_LABELS) -> None:
        registry = aioprometheus.Registry()
        self.registry = registry
        self._updates: list[Callable[[], None]] = []
        self._accounts = BoundedLabel(MAX_ACCOUNT_LABELS)
        self._waiting_accounts = BoundedLabel(waiting_accounts)
        self._codes = BoundedLabel(MAX_CODE_LABELS)
        self._stalls = aioprometheus.Histogram(
            'ivystep_load_stall_seconds',
            'Time that requests waited for their adapter to load.',
            registry=registry,
            buckets=STALL_BUCKETS_S,
        )
        self._batch_fill = aioprometheus.Histogram(
            'ivystep_batch_fill_ratio',
            'Running requests of an upstream divided by its batch size.',
            registry=registry,
            buckets=FILL_BUCKETS,
        )
        self._waiting = aioprometheus.Gauge(
            'ivystep_waiting_requests',
            'Requests that wait for an upstream.',
            registry=registry,
        )
        self._setup_version = aioprometheus.Gauge(
            'ivystep_setup_version',
            'Setup version in force.',
            registry=registry,
        )
        self._setup_age_s = aioprometheus.Gauge(
            'ivystep_setup_age_seconds',
            'Time since the setup was last confirmed as the newest.',
            registry=registry,
        )
        self._counter_by_name = {
            name: aioprometheus.Counter(
                f'ivystep_{name}_total', text, registry=registry
            )
            for name, text in (
                ('requests', 'Requests that ended, by outcome.'),
                ('refusals', 'Requests refused before they ran.'),
                ('loads', 'Adapter loads, by outcome.'),
                ('evictions', 'Adapters evicted from an engine.'),
                ('retries', 'Second and later attempts of requests.'),
                ('invariant_violations', 'Responses withheld by a check.'),
                ('log_lines_dropped', 'Log lines that were not written.'),
            )
        }
        # A counter without a value is not rendered, but an alert on its
        # increase needs a sample of zero before the first event.
        for name in ('evictions', 'invariant_violations'):
            self._counter_by_name[name].set({}, 0)

    def record_load_stall(self, account: str, stall_s: float) -> None:
        """Record how long a request waited for its adapter to load.

        Args:
            account: Account of the request.
            stall_s: Wait in seconds; 0 if the adapter was resident.
        """
        self._stalls.observe(self._waiting_account(account), float(stall_s))

    def record_batch(self, running: int, max_running: int) -> None:
        """Record how full the batch of an engine step is.

        Args:
            running: Requests in the step.
            max_running: Number of requests that a step can batch.
        """
        self._batch_fill.observe({}, running / max_running)

    def change_waiting(self, account: str, change: int) -> None:
        """Add to the number of waiting requests of an account.

        Args:
            account: The account.
            change: 1 when a request starts to wait, -1 when it stops.
        """
        self._waiting.add(self._waiting_account(account), change)

    def record_request(self, account: str, outcome: str) -> None:
        """Count a request that ended.

        Args:
            account: Account of the request.
            outcome: ``ok`` or the code of the error.
        """
        self._count('requests', account, 'outcome', outcome)

    def record_refusal(self, account: str, code: str) -> None:
        """Count a request that was refused before it ran.

        Args:
            account: Account of the request, empty if its key is unknown.
            code: Code of the error.
        """
        self._count('refusals', account, 'code', code)

    def record_load(self, outcome: str) -> None:
        """Count an adapter load.

        Args:
            outcome: Code of the load result, such as ``loaded``.
        """
        label = {'outcome': self._codes.value_for(outcome)}
        self._counter_by_name['loads'].inc(label)

    def record_eviction(self) -> None:
        """Count an evicted adapter."""
        self._counter_by_name['evictions'].inc({})

    def record_retry(self, account: str) -> None:
        """Count a second or later attempt of a request.

        Args:
            account: Account of the request.
        """
        self._counter_by_name['retries'].inc(self._account(account))

    def record_invariant_violation(self) -> None:
        """Count an answer that was withheld by a check."""
        self._counter_by_name['invariant_violations'].inc({})

    def set_setup(self, version: int, age_s: float) -> None:
        """Set the version and the age of the setup in force.

        Args:
            version: The version, 0 before the first read.
            age_s: Seconds since it was last confirmed as the newest.
        """
        self._setup_version.set({}, version)
        self._setup_age_s.set({}, age_s)

    def update_before_render(self, update: Callable[[], None]) -> None:
        """Have metrics set that are cheaper to read than to follow.

        Args:
            update: Sets them; called before each rendering.
        """
        self._updates.append(update)

    def render(self) -> tuple[bytes, str]:
        """Return the metrics in text format and their content type."""
        for update in self._updates:
            update()
        dropped = log_output.dropped_lines()
        self._counter_by_name['log_lines_dropped'].set({}, dropped)
        body, headers = renderer.render(self.registry, [])
        return body, headers['Content-Type']

    def _account(self, account: str) -> dict[str, str]:
        return {'account': self._accounts.value_for(account)}

    def _waiting_account(self, account: str) -> dict[str, str]:
        return {'account': self._waiting_accounts.value_for(account)}

    def _count(self, name: str, account: str, label: str, code: str) -> None:
        labels = self._account(account)
        labels[label] = self._codes.value_for(code)
        self._counter_by_name[name].inc(labels)
