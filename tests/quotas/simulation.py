"""Hosts, a leader and an unreliable network on one clock, for the tests.

One account is simulated; the code under test keeps accounts apart.
"""

import heapq
import itertools
import random

from ivystep.quotas import (
    host_accounts,
    host_credit,
    host_records,
    ledger,
    reports,
    timing,
)

ACCOUNT = 'team-a'
WINDOW_S = 8.0
STEP_S = 0.01
ASK_TIMEOUT_S = 0.3
MAX_WAIT_S = 0.05


class Network:
    """Delivers messages late, twice or never."""

    def __init__(self, rng, loss=0.0, repeat=0.0, late=0.0):
        self.rng = rng
        self.loss = loss
        self.repeat = repeat
        self.late = late
        self.cut_hosts = set()
        self._pending = []
        self._numbers = itertools.count()

    def send(self, host, now, deliver):
        copies = 1 + (self.rng.random() < self.repeat)
        for _ in range(copies):
            if host in self.cut_hosts or self.rng.random() < self.loss:
                continue
            delay_s = self.rng.uniform(0.0005, 0.003)
            if self.rng.random() < self.late:
                delay_s += self.rng.expovariate(2.0)
            item = (now + delay_s, next(self._numbers), deliver)
            heapq.heappush(self._pending, item)

    def deliver(self, now):
        while self._pending and self._pending[0][0] <= now:
            at, _, deliver = heapq.heappop(self._pending)
            deliver(at)


class Host:
    def __init__(self, simulation, name, incarnation=1):
        self.simulation = simulation
        self.name = name
        self.credit = host_credit.HostCredit(name, incarnation, WINDOW_S)
        self.frozen_until = 0.0
        self.asked_at = -1.0
        self.is_asking = False
        self.waiting = []

    def request(self, cost, now):
        if now < self.frozen_until:
            return None
        waiter = self.credit.decide(ACCOUNT, self.simulation.limit, cost, now)
        if waiter.decision is host_accounts.Decision.WAIT:
            self.waiting.append((now, waiter))
        else:
            self.simulation.record(waiter, now)
        return waiter

    def step(self, now):
        if now < self.frozen_until:
            return
        for started_at, waiter in list(self.waiting):
            if now > started_at + MAX_WAIT_S:
                self.credit.give_up(waiter)
                self.waiting.remove((started_at, waiter))
                self.simulation.record(waiter, now)
        if self.is_asking and now < self.asked_at + ASK_TIMEOUT_S:
            return
        interval_s = timing.report_interval_s(
            self.credit.contact.hosts, is_active=self.credit.is_active
        )
        if self.credit.is_report_due or now >= self.asked_at + interval_s:
            self.ask(now)

    def ask(self, now):
        self.asked_at = now
        self.simulation.reports += 1
        self.is_asking = True
        report = self.credit.report(now)
        simulation = self.simulation
        book = simulation.ledger

        def on_report(at):
            if book is not simulation.ledger or book is None:
                return
            grants = book.answer(report, at)
            simulation.network.send(
                self.name, at, lambda later: self.on_grants(grants, later)
            )

        simulation.network.send(self.name, now, on_report)

    def on_grants(self, grants, now):
        if now < self.frozen_until:
            self.simulation.network.send(
                self.name,
                self.frozen_until,
                lambda later: self.on_grants(grants, later),
            )
            return
        if self.simulation.hosts.get(self.name) is not self:
            return
        self.is_asking = False
        for waiter in self.credit.apply(grants, now):
            self.waiting = [one for one in self.waiting if one[1] is not waiter]
            self.simulation.record(waiter, now)


class Simulation:
    def __init__(self, seed, hosts, limit, *, is_first=True, **network):
        self.rng = random.Random(seed)
        self.limit = limit
        self.network = Network(self.rng, **network)
        self.now = 0.0
        self.term = 0
        self.ledger = None
        self.admitted = []
        self.refused = []
        self.reports = 0
        self.incarnations = itertools.count(1)
        self.hosts = {}
        for number in range(hosts):
            self.start_host(f'host-{number}')
        self.start_term(is_first=is_first)

    def start_host(self, name):
        # Incarnations of one process are far below those of the next.
        incarnation = next(self.incarnations) * 1000
        self.hosts[name] = Host(self, name, incarnation)

    def start_term(self, *, is_first=False):
        self.term += 1
        self.ledger = ledger.Ledger(
            self.term,
            lambda account: self.limit,
            host_records.HostRecords(self.now, WINDOW_S, is_first=is_first),
            WINDOW_S,
        )

    def record(self, waiter, now):
        if waiter.decision is host_accounts.Decision.ADMITTED:
            self.admitted.append((now, waiter.cost))
        else:
            self.refused.append((now, waiter.cost, waiter.retry_after_s))

    def refund(self, host, cost):
        """Refund a request that was admitted and has not run."""
        self.hosts[host].credit.refund(ACCOUNT, cost)
        self.admitted.append((self.now, -cost))

    def run(self, seconds, load_per_s, cost=500, hosts=None, on_step=None):
        """Send requests at random times, on some or all hosts."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.network.deliver(self.now)
            expected = load_per_s * STEP_S / cost
            while self.rng.random() < expected:
                expected -= 1
                name = self.rng.choice(hosts or list(self.hosts))
                low = max(cost // 2, 1)
                amount = self.rng.randint(low, 2 * cost - low)
                if name in self.hosts:
                    self.hosts[name].request(amount, self.now)
            for host in list(self.hosts.values()):
                host.step(self.now)
            if on_step:
                on_step(self.now)

    def admitted_between(self, start, end):
        return sum(cost for at, cost in self.admitted if start <= at < end)

    def worst_excess(self):
        """Return the most that a window holds beyond the hard bound."""
        largest = max((cost for _, cost in self.admitted), default=0)
        burst = max(self.limit.burst, largest)
        allowed = self.limit.rate_per_s * WINDOW_S + burst
        events = sorted(self.admitted)
        worst, total, first = -allowed, 0, 0
        for at, cost in events:
            total += cost
            while events[first][0] <= at - WINDOW_S:
                total -= events[first][1]
                first += 1
            worst = max(worst, total - allowed)
        return worst


def limit(rate_per_s=20_000, burst=20_000):
    return reports.Limit(rate_per_s, burst)
