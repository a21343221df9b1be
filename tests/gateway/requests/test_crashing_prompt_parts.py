"""Tests of parts of prompts that crash each engine that begins to answer."""

import dataclasses
import itertools
import random

import eventlet
import pytest

from ivystep.runtime import clock
from tests.gateway import harness

# Engines that may crash before a part is refused everywhere.
MAX_CRASHED = 5
# Requests with the part that may reach engines later than the time to refuse
# after the last of these crashes, from all gateways together.
MAX_FURTHER = 3
TIME_TO_REFUSE_S = 3.0
# Share of sound requests that are served at their first attempt meanwhile.
SERVED_SHARE = 0.8
ENGINES = 4
# Longer than the other gateways need to read what one has written.
SETTLE_S = 0.25
PREFILL_S = 0.02
RESTART_S = 0.4
RUN_S = 0.1
LONG_RUN_S = 0.8
CRASHING = 'bad'
# Parts that the prompts with the crashing one share with sound prompts.
FIRST = 'sys'
DOCUMENT = 'doc'
CONFIG = {
    'routes': [
        harness.route('plan', 'stream', service='llm', gap_target_ms=300),
        harness.route(
            'note',
            'stream',
            service='llm',
            gap_target_ms=300,
            attempts=2,
            resumable=True,
        ),
    ],
    'services': [
        {
            'name': 'llm',
            'max_connections': 64,
            'engine': {
                'slots': 32,
                'models': [{'name': 'daka', 'weights_mb': 100.0}],
            },
        }
    ],
}
ENTRY = {
    'service': 'llm',
    'slots': 32,
    'models': [{'name': 'daka', 'version': 1, 'adapters': []}],
}


@dataclasses.dataclass
class Received:
    """A prompt that an engine received.

    Attributes:
        shared: Its parts but the last one.
    """

    request_id: str
    shared: tuple[str, ...]
    at: float


class Fleet:
    """Engines that come back as new incarnations after a crash.

    Attributes:
        has_begun: Whether the first event of an answer is sent before a crash.
        crashes_on: Whether an engine crashes as it begins to answer a prompt
            with some parts.
        run_s: Duration of an answer.
        received: The prompts that reached engines.
        crashed_at: Time of each crash.
    """

    def __init__(self, stack):
        self.has_begun = True
        self.crashes_on = lambda parts: CRASHING in parts[:-1]
        self.run_s = RUN_S
        self.received = []
        self.crashed_at = []
        self.running = []
        self.gateway = None
        self._stack = stack
        self._names = itertools.count(1)

    def start(self):
        """Start one engine and write its entry."""

        def script(connection, headers):
            return self._serve(engine, connection, headers)

        name = f'i-{next(self._names)}'
        engine = harness.ScriptedUpstream(script, name)
        self._stack.callback(engine.close)
        self.running.append(engine)
        self.gateway.add(engine, **ENTRY)

    def crash(self, engine):
        """End an engine; a new incarnation starts later."""
        if engine in self.running:
            self.running.remove(engine)
            self.crashed_at.append(clock.now())
            engine.crash()
            eventlet.spawn_after(RESTART_S, self._replace, engine)

    def reached(self, request_id):
        """Return how often a request reached an engine."""
        return sum(one.request_id == request_id for one in self.received)

    def _replace(self, engine):
        self.gateway.store.write('servers', engine.upstream_id, None)
        self.start()

    def _serve(self, engine, connection, headers):
        if 'prompt-prefix' not in headers:
            return harness.not_run_answer()
        items = headers['prompt-prefix'].split(',')
        parts = tuple(item.partition(':')[0] for item in items)
        self.received.append(
            Received(headers['request-id'], parts[:-1], clock.now())
        )
        eventlet.sleep(PREFILL_S)
        is_crash = self.crashes_on(parts)
        if self.has_begun or not is_crash:
            connection.sendall(
                harness.stream_head(headers) + harness.chunk(harness.EVENTS[0])
            )
            eventlet.sleep(PREFILL_S)
        if is_crash:
            self.crash(engine)
            return None
        eventlet.sleep(self.run_s)
        rest = b''.join(harness.EVENTS[1:])
        return harness.chunk(rest) + b'0\r\n\r\n'


class Callers:
    """Callers whose requests all differ in address, path, body and last part.

    Args:
        fleet: The engines.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._numbers = itertools.count(1)

    def send(self, gateway, *shared, path='plan', last=''):
        """Send a prompt; return its answer and how often it was received."""
        number = next(self._numbers)
        request_id = f'r-{number}'
        parts = (*shared, last or f'own-{number}')
        prefix = ','.join(f'{part}:20' for part in parts)
        answer = harness.exchange(
            gateway.connect(f'127.0.0.{number % 200 + 1}'),
            f'/{path}/{number}',
            request_id,
            body=b'{"field": %d}' % number,
            headers=(
                'Model: daka',
                f'Token-Count: {20 * len(parts)},20',
                f'Prompt-Prefix: {prefix}',
            ),
        )
        return answer, self._fleet.reached(request_id)

    def send_crashing(self, gateway, **more):
        answer, received = self.send(gateway, FIRST, CRASHING, DOCUMENT, **more)
        eventlet.sleep(SETTLE_S)
        return answer, received

    def send_sound(self, gateway, *shared):
        """Send a sound prompt and check that its first attempt is answered."""
        answer, received = self.send(gateway, *(shared or (FIRST, DOCUMENT)))
        assert (answer.status, answer.is_complete, received) == (200, True, 1)

    def crash(self, *gateways, times=2 * MAX_CRASHED, **more):
        """Send crashing prompts, and sound ones with their other parts."""
        answers = []
        for _, gateway in zip(
            range(times), itertools.cycle(gateways), strict=False
        ):
            answers.append(self.send_crashing(gateway, **more))
            self.send_sound(gateway)
        return answers


def assert_refused(answer, received):
    assert (answer.status, answer.is_complete, received) == (503, True, 0)
    assert float(answer.headers['retry-after']) > 0


@pytest.fixture
def build_fleet(stack, build):
    """Return a function that builds a gateway with engines."""

    def make(engines=ENGINES):
        fleet = Fleet(stack)
        fleet.gateway, _ = build(config=CONFIG)
        for _ in range(engines):
            fleet.start()
        fleet.gateway.wait_for(engines)
        return fleet, Callers(fleet)

    return make


@pytest.mark.parametrize('path', ['plan', 'note'])
@pytest.mark.parametrize('has_begun', [True, False])
def test_part_that_crashes_engines_is_refused(build_fleet, path, has_begun):
    """Guards against a part that ends all engines by ever new requests."""
    fleet, callers = build_fleet()
    fleet.has_begun = has_begun
    answers = callers.crash(fleet.gateway, path=path)
    assert len(fleet.crashed_at) <= MAX_CRASHED
    assert_refused(*answers[-1])


def test_part_is_refused_by_all_gateways_that_follow_the_store(
    build_fleet, build_peer
):
    """Guards against a part that crashes engines through each gateway."""
    fleet, callers = build_fleet()
    second = build_peer(fleet.gateway, 'host-2')
    answers = callers.crash(fleet.gateway, second)
    assert len(fleet.crashed_at) <= MAX_CRASHED
    assert_refused(*answers[-2])
    assert_refused(*answers[-1])


def test_part_is_refused_by_a_gateway_that_saw_no_crash(
    build_fleet, build_peer
):
    """Guards against a part that is known to the gateway that it went through.

    No request goes through the second gateway before the last one.
    """
    fleet, callers = build_fleet()
    second = build_peer(fleet.gateway, 'host-2')
    callers.crash(fleet.gateway, times=MAX_CRASHED)
    assert_refused(*callers.send_crashing(second))


def test_part_is_refused_by_a_gateway_that_starts_later(
    build_fleet, build_peer
):
    """Guards against crashes that are forgotten with the gateway's memory."""
    fleet, callers = build_fleet()
    callers.crash(fleet.gateway, times=MAX_CRASHED)
    started_later = build_peer(fleet.gateway, 'host-3')
    eventlet.sleep(SETTLE_S)
    assert_refused(*callers.send_crashing(started_later))


def test_part_stays_refused_while_requests_with_it_come(build_fleet):
    """Guards against a part that is let through again after some seconds."""
    fleet, callers = build_fleet()
    callers.crash(fleet.gateway, times=MAX_CRASHED)
    eventlet.sleep(TIME_TO_REFUSE_S)
    further = [callers.send_crashing(fleet.gateway) for _ in range(20)]
    assert sum(received for _, received in further) <= MAX_FURTHER


def test_second_crashing_part_is_refused_beside_the_first(build_fleet):
    """Guards against a gateway that knows one crashing part at most."""
    fleet, callers = build_fleet()
    parts = (CRASHING, 'worse')
    fleet.crashes_on = lambda sent: not set(parts).isdisjoint(sent[:-1])
    for part in parts:
        for _ in range(2 * MAX_CRASHED):
            callers.send(fleet.gateway, FIRST, part)
            eventlet.sleep(SETTLE_S)
            callers.send_sound(fleet.gateway)
    assert len(fleet.crashed_at) <= len(parts) * MAX_CRASHED
    for part in parts:
        assert_refused(*callers.send(fleet.gateway, FIRST, part))


def test_sound_requests_with_the_other_parts_are_served_meanwhile(
    build_fleet, build_peer
):
    """Guards against a first part that is refused because of another one."""
    fleet, callers = build_fleet()
    second = build_peer(fleet.gateway, 'host-2')
    # Each sound request is checked there.
    callers.crash(fleet.gateway, second)
    for gateway in (fleet.gateway, second) * 3:
        callers.send_sound(gateway)
        callers.send_sound(gateway, FIRST)
        callers.send_sound(gateway, FIRST, DOCUMENT, 'new')


@pytest.mark.parametrize('lead_s', [0.0, 0.3])
def test_rare_part_beside_the_crashing_one_is_not_refused_for_long(
    build_fleet, lead_s
):
    """Guards against a part refused for what its neighbours did.

    Its requests have just begun, or have run for some time, at each crash.
    """
    fleet, callers = build_fleet(engines=1)
    fleet.run_s = LONG_RUN_S
    beside = []
    for _ in range(MAX_CRASHED - 1):
        rare = eventlet.spawn(callers.send, fleet.gateway, FIRST, 'rare')
        eventlet.sleep(lead_s)
        callers.send_crashing(fleet.gateway)
        beside.append(rare.wait())
        eventlet.sleep(RESTART_S)
    assert [received for _, received in beside[:2]] == [1, 1]
    fleet.run_s = RUN_S
    with eventlet.Timeout(TIME_TO_REFUSE_S):
        while callers.send(fleet.gateway, FIRST, 'rare')[0].status != 200:
            eventlet.sleep(0.1)
    for _ in range(MAX_CRASHED):
        callers.send_sound(fleet.gateway, FIRST, 'rare')


@pytest.mark.parametrize('age_s', [0.05, 0.3])
def test_part_of_answered_requests_is_not_refused_if_engines_crash_otherwise(
    build_fleet, age_s
):
    """Guards against parts refused because engines often end by themselves."""
    fleet, callers = build_fleet(engines=1)
    for _ in range(2 * MAX_CRASHED):
        fleet.run_s = LONG_RUN_S
        received = len(fleet.received)
        running = [
            eventlet.spawn(callers.send, fleet.gateway, FIRST, DOCUMENT)
            for _ in range(3)
        ]
        with eventlet.Timeout(5):
            while len(fleet.received) < received + len(running):
                eventlet.sleep(0.001)
        eventlet.sleep(age_s)
        fleet.crash(fleet.running[0])
        assert all(one.wait()[1] for one in running)
        eventlet.sleep(RESTART_S + SETTLE_S)
        fleet.run_s = RUN_S
        for _ in range(2):
            callers.send_sound(fleet.gateway)


def test_last_part_does_not_count(build_fleet):
    """Guards against a session refused because of its earlier requests."""
    fleet, callers = build_fleet()
    fleet.crashes_on = lambda parts: True
    for _ in range(MAX_CRASHED + 1):
        _, received = callers.send(fleet.gateway, last='session')
        assert received == 1
        eventlet.sleep(SETTLE_S)
    fleet.crashes_on = lambda parts: False
    eventlet.sleep(RESTART_S)
    answer, received = callers.send(fleet.gateway, last='session')
    assert (answer.status, received) == (200, 1)


def test_part_that_crashes_engines_is_served_as_the_last_one(build_fleet):
    """Guards against requests refused for a part that does them no harm."""
    fleet, callers = build_fleet()
    callers.crash(fleet.gateway)
    answer, received = callers.send(fleet.gateway, FIRST, last=CRASHING)
    assert (answer.status, received) == (200, 1)


def test_engines_are_spared_while_sound_requests_go_on(build_fleet, build_peer):
    """Guards against crashes at load, and sound requests lost by a refusal.

    Many sound requests run beside each crashing one, through two gateways.
    """
    fleet, callers = build_fleet()
    fleet.run_s = LONG_RUN_S / 2
    gateways = (fleet.gateway, build_peer(fleet.gateway, 'host-2'))
    choice = random.Random(7)
    started = clock.now()
    end_s = 4 * TIME_TO_REFUSE_S
    sound = []

    def crash():
        for gateway in itertools.cycle(gateways):
            callers.send(gateway, FIRST, f'd-{choice.randrange(12)}', CRASHING)
            eventlet.sleep(SETTLE_S)

    def send_sound():
        sent_at = clock.now()
        document = f'd-{int(choice.paretovariate(1)) % 12}'
        answer, received = callers.send(
            choice.choice(gateways), FIRST, document
        )
        is_served = (answer.status, answer.is_complete) == (200, True)
        sound.append((sent_at, is_served and received == 1))

    crashing = eventlet.spawn(crash)
    while clock.now() < started + end_s:
        eventlet.spawn(send_sound)
        eventlet.sleep(0.04)
    crashing.kill()
    eventlet.sleep(1.0)
    refused_from = fleet.crashed_at[:MAX_CRASHED][-1] + TIME_TO_REFUSE_S
    further = [
        one
        for one in fleet.received
        if CRASHING in one.shared and one.at > refused_from
    ]
    served = [
        is_served for sent_at, is_served in sound if sent_at > refused_from
    ]
    assert len(further) <= MAX_FURTHER
    assert sum(served) >= SERVED_SHARE * len(served)
