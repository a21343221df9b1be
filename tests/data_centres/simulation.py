"""Data centres with hosts that follow the leader's decisions, without I/O.

Each upstream runs requests at a rate that its capacity allows. Requests beyond
it wait in its data centre. Time advances by the interval of the decisions.
"""

import collections
import math
import random

from ivystep.data_centres import demand, planner, round_trips, shares

STEP_S = 0.15
PRICE_S = 0.0
USUAL_COST = 0.05
SERVICE = 'llm'


class Simulation:
    """Several data centres with one service.

    Args:
        capacity_by_name: Requests in progress that each data centre takes.
        per_s: Returns the arrivals per second by data centre at a time.
        run_s: Time that a request runs.
        hosts: Hosts of each data centre.
        trips: Round trips by source and destination.
        delay_steps: Steps by which the hosts' shares are late.
    """

    def __init__(
        self,
        capacity_by_name,
        per_s,
        run_s=0.5,
        hosts=14,
        trips=None,
        delay_steps=1,
        price_s=PRICE_S,
        target_s=math.inf,
        seed=1,
    ):
        self.capacity_by_name = dict(capacity_by_name)
        self.events = []
        self.now = 100.0
        self.silent = set()
        self.away_by_name = collections.defaultdict(list)
        self.delay_by_name = collections.defaultdict(list)
        self.backlog = dict.fromkeys(capacity_by_name, 0.0)
        self.per_s = per_s
        self._run_s = run_s
        self._target_s = target_s
        self._random = random.Random(seed)
        self.planner = planner.SharePlanner(
            price_s, USUAL_COST, self.events.append
        )
        for (source, destination), trip_s in (trips or {}).items():
            self.planner.trips.record(
                f'{source}/{destination}',
                round_trips.HostTrips(source, {destination: trip_s}),
            )
        self._delay_steps = delay_steps
        self._told = {name: collections.deque() for name in capacity_by_name}
        self.drawn = {
            name: [
                shares.DrawnShares(self._random.random) for _ in range(hosts)
            ]
            for name in capacity_by_name
        }
        self.in_progress = dict.fromkeys(capacity_by_name, 0.0)

    def run(self, seconds):
        """Advance the time, and return the requests by source and place."""
        total = collections.Counter()
        for _ in range(round(seconds / STEP_S)):
            total.update(self.step())
        return total

    def step(self):
        self.now += STEP_S
        sent = collections.Counter()
        for source, drawn in self.drawn.items():
            arrived = self._poisson(self.per_s(source, self.now) * STEP_S)
            if source not in self.silent:
                self.planner.rates.add(
                    source, [demand.Arrivals(SERVICE, arrived)], self.now
                )
            for _ in range(arrived):
                host = self._random.choice(drawn)
                place = host.choose(SERVICE, self.now) or source
                host.record(SERVICE, place, self.now)
                sent[source, place] += 1
        self._serve(sent)
        self.planner.plan(self._observation(), self.now)
        self._tell()
        return sent

    def _serve(self, sent):
        for name, capacity in self.capacity_by_name.items():
            arrived = sum(
                count for (_, place), count in sent.items() if place == name
            )
            load = self.in_progress[name] + arrived
            can_end = min(load, capacity) * STEP_S / self._run_s
            self.in_progress[name] = max(load - can_end, 0.0)
            rate = max(capacity / self._run_s, 1e-9)
            waiting = max(self.in_progress[name] - capacity, 0.0)
            self.delay_by_name[name].append(waiting / rate)
        for source in self.capacity_by_name:
            all_sent = sum(
                count for (name, _), count in sent.items() if name == source
            )
            own = sent[source, source]
            if all_sent:
                self.away_by_name[source].append(1 - own / all_sent)

    def _observation(self):
        return planner.Observation(
            [
                planner.UpstreamLoad(
                    SERVICE,
                    name,
                    capacity / 8,
                    round(self.in_progress[name] / 8),
                )
                for name, capacity in self.capacity_by_name.items()
                for _ in range(8)
            ],
            {SERVICE: self._target_s},
        )

    def _tell(self):
        for name, drawn in self.drawn.items():
            told = self._told[name]
            told.append(self.planner.shares_from(name))
            if len(told) <= self._delay_steps:
                continue
            current = told.popleft()
            if name in self.silent:
                continue
            for host in drawn:
                host.replace(current, self.now)

    def _poisson(self, mean):
        """Return a random number of arrivals."""
        return max(round(self._random.gauss(mean, math.sqrt(mean))), 0)
