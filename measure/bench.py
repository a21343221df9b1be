"""Runs one scenario with one pool on the virtual clock and measures it.

Three entries share the upstreams, as in a deployment. Each request goes
through ``place``, an attempt on the fake upstream, and ``finish``.
"""

import dataclasses
import functools
import random
import typing

import eventlet

from ivystep.core import errors, types
from ivystep.entry import planner, pool
from ivystep.runtime import clock, virtual_hub
from ivystep.setup import document
from measure import baselines, fakes, profiles

ENTRIES = 3
MAX_ATTEMPTS = 3
DRAIN_S = 120.0
IMMEDIATE_REFUSAL_S = 0.25
RESTART_EVERY_S = 120.0
SLOW_FACTOR = 3.0
FAILING_SHARE = 0.05
DETECTION_LAG_S = 30.0
OUTAGE_S = 60.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """The outcome of one request.

    Attributes:
        waited_s: Load stall, the time spent in ``place``.
        code: ``answered``, or the code of the error.
    """

    arrival: profiles.Arrival
    waited_s: float = 0.0
    code: str = 'lost'
    finished: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The results of one run after its warm-up."""

    outcomes: list[Outcome]
    duplicated: int
    loads: int
    steps: int
    request_steps: int


class Cluster:
    """Fake upstreams, and the pools of the entries in front of them.

    Args:
        scenario: The run.
        pool_name: Name of a baseline, or ``policy``.
    """

    def __init__(self, scenario: profiles.Scenario, pool_name: str) -> None:
        profile = scenario.profile
        self.scenario = scenario
        self.store = fakes.WeightStore(profile.loads_per_s)
        self.upstreams = [
            fakes.FakeUpstream(number, profile, self.store)
            for number in range(profile.upstreams)
        ]
        self.pools = make_pools(scenario, pool_name)
        for upstream in self.upstreams:
            eventlet.spawn(upstream.watch, self.pools)

    def counters(self) -> tuple[int, int, int]:
        """Return loads, engine steps and the sum of their batch sizes."""
        engines = [upstream.engine for upstream in self.upstreams]
        return (
            self.store.used,
            sum(engine.steps for engine in engines),
            sum(engine.request_steps for engine in engines),
        )

    def disturb(self) -> None:
        """Inject the scenario's event."""
        disturbance = dict(_DISTURBANCES).get(self.scenario.event)
        if disturbance is not None:
            clock.sleep(self.scenario.event_at_s)
            disturbance(self)


def make_pools(scenario: profiles.Scenario, pool_name: str) -> list[typing.Any]:
    """Return one pool for each entry."""
    if pool_name == 'policy':
        return _policy_pools(scenario)
    shared = baselines.SharedLoads(scenario.seed)
    factory = dict(baselines.POOL_TYPES)[pool_name]
    return [factory(shared) for _ in range(ENTRIES)]


def _choose(
    chosen: planner.DemandSink, pool_name: str, local: planner.DemandSink
) -> planner.DemandSink:
    return chosen


def _policy_pools(scenario: profiles.Scenario) -> list[pool.Pool]:
    """Return the product's pools; the first entry plans the loads."""
    profile = scenario.profile
    settings = document.Pool(
        name='bench',
        batching_weight=profile.batching_weight,
        loads_per_s=profile.loads_per_s,
    )
    first = pool.Pool('bench', 'entry-0')
    choose = functools.partial(_choose, first.planner)
    pools = [
        first,
        *(
            pool.Pool('bench', f'entry-{number}', choose)
            for number in range(1, ENTRIES)
        ),
    ]
    for one in pools:
        one.configure(settings)
    return pools


def run(scenario: profiles.Scenario, pool_name: str) -> Run:
    """Run a scenario on a fresh virtual clock.

    Args:
        scenario: The run.
        pool_name: Name of a baseline, or ``policy``.

    Returns:
        The outcomes of the requests that arrived after the warm-up.
    """
    random.seed(scenario.seed)
    return virtual_hub.run(lambda: _run(scenario, pool_name))


def _run(scenario: profiles.Scenario, pool_name: str) -> Run:
    cluster = Cluster(scenario, pool_name)
    eventlet.spawn(cluster.disturb)
    clock.sleep(1)
    outcomes = []
    before = (0, 0, 0)
    for number, arrival in enumerate(profiles.arrivals(scenario)):
        clock.sleep(max(arrival.at - clock.now(), 0))
        if not outcomes and arrival.at >= scenario.warm_up_s:
            before = cluster.counters()
        outcome = Outcome(arrival)
        if arrival.at >= scenario.warm_up_s:
            outcomes.append(outcome)
        request = _request(scenario, arrival, number)
        eventlet.spawn(
            _serve, cluster.pools[number % ENTRIES], request, outcome
        )
    after = cluster.counters()
    clock.sleep(DRAIN_S)
    difference = [
        late - early for late, early in zip(after, before, strict=True)
    ]
    repeated = [
        count
        for upstream in cluster.upstreams
        for count in upstream.completed.values()
    ]
    distinct = set().union(*(one.completed for one in cluster.upstreams))
    return Run(outcomes, sum(repeated) - len(distinct), *difference)


def _request(
    scenario: profiles.Scenario, arrival: profiles.Arrival, number: int
) -> types.Request:
    ref = profiles.adapter_ref(arrival.rank)
    current = clock.now()
    return types.Request(
        request_id=f'req-{number}',
        account=ref.account,
        application='bench',
        pool='bench',
        adapter=ref,
        adapter_source='weights',
        path='/v1/completions',
        body=str(arrival.tokens).encode(),
        stream=False,
        idempotent=True,
        arrived=current,
        deadline=current + scenario.deadline_s,
        fingerprint=str(number).encode(),
        setup_version=1,
    )


def _serve(
    target: typing.Any, request: types.Request, outcome: Outcome
) -> None:
    try:
        _attempt(target, request, outcome)
    except errors.RequestError as error:
        outcome.code = error.code
    else:
        outcome.code = 'answered'
    outcome.finished = clock.now()


def _attempt(
    target: typing.Any, request: types.Request, outcome: Outcome
) -> None:
    tried: frozenset[str] = frozenset()
    for attempts_left in reversed(range(MAX_ATTEMPTS)):
        started = clock.now()
        try:
            placement = target.place(request, tried)
        finally:
            outcome.waited_s += clock.now() - started
        tried = tried.union((placement.upstream_id,))
        attempt = types.Attempt(request.request_id, placement)
        try:
            tuple(target.link(placement.upstream_id).run(attempt).chunks)
        except errors.RequestError:
            if not attempts_left:
                raise
        else:
            return
        finally:
            target.finish(placement)


def _restart(cluster: Cluster) -> None:
    while True:
        cluster.upstreams[0].restart()
        clock.sleep(RESTART_EVERY_S)


def _fail_loads(cluster: Cluster) -> None:
    chosen = random.Random(cluster.scenario.seed)
    cluster.store.failing = {
        profiles.adapter_ref(rank)
        for rank in range(profiles.ADAPTERS)
        if chosen.random() < FAILING_SHARE
    }


def _slow_loads(cluster: Cluster) -> None:
    cluster.store.slow_factor = SLOW_FACTOR


def _lose_reports(cluster: Cluster) -> None:
    """Lose the reports of an upstream that the host list still contains."""
    upstream = cluster.upstreams[0]
    upstream.is_silent = True
    clock.sleep(DETECTION_LAG_S)
    for one in cluster.pools:
        one.on_lost(upstream.upstream_id)
    clock.sleep(OUTAGE_S)
    upstream.restart()
    upstream.is_silent = False


_DISTURBANCES = (
    ('restart', _restart),
    ('failing', _fail_loads),
    ('slow', _slow_loads),
    ('lagging', _lose_reports),
)
