"""Tests of the client of model engines."""

import contextlib

import eventlet
import pytest

from ivystep.core import errors
from ivystep.platform import engine_api, engine_connections
from ivystep.traffic import orders, upstreams
from tests import serving

ORDER = orders.Order(
    is_load=True,
    model='daka',
    adapter='a1',
    version=1,
    expected_orders=0,
    holder='host-1',
    token=1,
)


def at(address):
    """Return the endpoint of the engine that is meant at an address."""
    return upstreams.Endpoint('i-1', address)


def test_unanswered_order_is_not_delivered_after_it_was_given_up():
    """Guards against orders that engines receive from a former leader."""
    with contextlib.closing(eventlet.listen(('127.0.0.1', 0))) as listener:
        end = eventlet.spawn(serving.read_silently, listener)
        with pytest.raises(errors.LinkError):
            engine_api.EngineClient().send_order(
                at(listener.getsockname()), ORDER
            )
        assert end.wait() == 'reset'


@pytest.fixture
def start():
    """Return a function that starts an engine and returns its address."""
    with contextlib.ExitStack() as opened:
        yield lambda engine: opened.enter_context(engine.start())


REPORT = {
    'models': [{'name': 'daka', 'version': 1, 'adapters': ['a1@1']}],
    'busy': False,
    'sequence': 3,
    'queued': 0,
    'active': 0,
    'kv_used': 0,
}


@pytest.mark.parametrize('repeated', [(200, {}), (202, {}), (409, {})])
def test_answer_to_an_earlier_order_is_not_that_to_the_next(start, repeated):
    """Guards against an unload that seems done, so that the load after it
    overfills the engine, and against an order that seems refused.
    """
    engine = serving.RepeatingServer(repeated, (412, {}))
    address = start(engine)
    client = engine_api.EngineClient()
    client.send_order(at(address), ORDER)
    assert client.send_order(at(address), ORDER) is orders.Outcome.FENCED


def test_answer_to_an_earlier_order_is_no_report(start):
    """Guards against an engine that is taken for an empty one."""
    engine = serving.RepeatingServer((202, {}), (200, REPORT))
    address = start(engine)
    client = engine_api.EngineClient()
    client.send_order(at(address), ORDER)
    assert client.read_report(at(address)).order_count == 3


def test_earlier_report_is_not_the_answer_to_an_order(start):
    """Guards against a load that seems to be done."""
    engine = serving.RepeatingServer((200, REPORT), (202, {}))
    address = start(engine)
    client = engine_api.EngineClient()
    client.read_report(at(address))
    outcome = client.send_order(at(address), ORDER)
    assert outcome is orders.Outcome.ACCEPTED


def test_refused_report_is_not_that_to_the_next_call(start):
    """Guards against an engine that seems to be out of reach."""
    engine = serving.RepeatingServer((503, {}), (200, REPORT))
    address = start(engine)
    client = engine_api.EngineClient()
    with pytest.raises(errors.LinkError):
        client.read_report(at(address))
    assert client.read_report(at(address)).order_count == 3


def test_earlier_report_is_as_old_as_the_call_that_it_answers(start):
    """Guards against a state before later orders that counts as a later one."""
    newer = {**REPORT, 'sequence': 4}
    engine = serving.RepeatingServer((200, REPORT), (200, newer))
    address = start(engine)
    client = engine_api.EngineClient()
    first = client.read_report(at(address))
    eventlet.sleep(0.1)
    second = client.read_report(at(address))
    assert (first.order_count, second.order_count) == (3, 3)
    assert second.asked_at == first.asked_at


class CountingEngine(serving.RepeatingServer):
    """An engine that names no calls and answers each with a new state."""

    def __init__(self):
        super().__init__((200, {}), (200, {}))
        self._calls = 0

    def _serve(self, connection):
        with contextlib.suppress(OSError, EOFError):
            while serving.read_call(connection):
                self._calls += 1
                state = {**REPORT, 'sequence': self._calls}
                connection.sendall(serving.encoded(200, state))


def test_report_that_was_not_read_before_is_as_old_as_its_call(start):
    """Guards against reports that are read anew because they seem old."""
    engine = CountingEngine()
    address = start(engine)
    client = engine_api.EngineClient()
    first = client.read_report(at(address))
    eventlet.sleep(0.1)
    second = client.read_report(at(address))
    assert second.asked_at >= first.asked_at + 0.1
    assert engine.connections == 1


def test_connection_without_names_is_used_for_some_calls_only(
    monkeypatch, start
):
    """Guards against memory that grows with each answer."""
    monkeypatch.setattr(engine_connections, 'MAX_UNNAMED_CALLS', 2)
    engine = CountingEngine()
    address = start(engine)
    client = engine_api.EngineClient()
    for _ in range(4):
        client.read_report(at(address))
    assert engine.connections == 2


def test_report_that_names_its_call_is_as_old_as_that_call(start):
    """Guards against reports that are read anew because they seem old."""
    address = start(serving.NamingServer((200, REPORT), (200, REPORT)))
    client = engine_api.EngineClient()
    first = client.read_report(at(address))
    eventlet.sleep(0.1)
    second = client.read_report(at(address))
    assert second.asked_at >= first.asked_at + 0.1


def test_connection_is_kept_if_answers_name_their_call(start):
    """Guards against a new connection for each order, whose handshake delays
    loads and which engines count.
    """
    engine = serving.NamingServer((202, {}), (200, REPORT))
    address = start(engine)
    client = engine_api.EngineClient()
    for _ in range(3):
        client.send_order(at(address), ORDER)
        assert client.read_report(at(address)).order_count == 3
    assert engine.connections == 1


@pytest.mark.parametrize('names_repeats', [True, False])
@pytest.mark.parametrize('repeated', [(200, {}), (202, {}), (409, {})])
def test_repeated_answer_on_a_kept_connection_is_not_believed(
    start, repeated, names_repeats
):
    """Guards against an order that seems done or refused by what an engine
    answered to an earlier one, where its answers name their calls.
    """
    engine = serving.NamingServer(repeated, (412, {}), 1, names_repeats)
    address = start(engine)
    client = engine_api.EngineClient()
    client.send_order(at(address), ORDER)
    with pytest.raises(errors.LinkError):
        client.send_order(at(address), ORDER)
    assert client.send_order(at(address), ORDER) is orders.Outcome.FENCED
    assert engine.connections == 2


def test_repeated_answer_is_no_report_of_an_engine_that_names_calls(start):
    """Guards against a report of an earlier state on a kept connection."""
    engine = serving.NamingServer((200, REPORT), (200, REPORT), 1)
    address = start(engine)
    client = engine_api.EngineClient()
    client.read_report(at(address))
    with pytest.raises(errors.LinkError):
        client.read_report(at(address))
    assert client.read_report(at(address)).order_count == 3


def test_order_whose_connection_the_engine_has_closed_opens_another(start):
    """Guards against orders that are lost as an idle connection ends."""
    engine = serving.NamingServer((202, {}), (202, {}))
    engine.closes_after_answer = True
    address = start(engine)
    client = engine_api.EngineClient()
    for _ in range(3):
        outcome = client.send_order(at(address), ORDER)
        assert outcome is orders.Outcome.ACCEPTED
        eventlet.sleep(0.01)
    assert engine.connections == 3


def test_connections_to_many_engines_are_bounded(monkeypatch, start):
    """Guards against file descriptors that run out as engines come and go."""
    monkeypatch.setattr(engine_connections, 'MAX_ENGINES', 1)
    engines = [serving.NamingServer((202, {}), (202, {})) for _ in range(2)]
    addresses = [start(engine) for engine in engines]
    client = engine_api.EngineClient()
    for address in addresses * 2:
        client.send_order(at(address), ORDER)
    assert [engine.connections for engine in engines] == [2, 2]


def test_refused_call_is_named_by_the_id_that_the_upstream_got(start):
    """Guards against an upstream's record of a call that no log line shows."""
    address = start(serving.RepeatingServer((404, {}), (404, {})))
    with pytest.raises(errors.LinkError, match=r'status 404 \(call-'):
        engine_api.EngineClient().read_report(at(address))


class OtherUpstream(serving.RepeatingServer):
    """An upstream at an address that was an engine's; it runs what it gets.

    Attributes:
        ran: Heads of the calls that named no upstream, which it has run.
    """

    def __init__(self):
        super().__init__((200, {}), (200, {}))
        self.ran = []

    def _serve(self, connection):
        with contextlib.suppress(OSError, EOFError):
            while call := serving.read_call(connection):
                if b'expect-instance: i-1' in call.lower():
                    connection.sendall(serving.encoded(421, {}))
                else:
                    self.ran.append(call)
                    connection.sendall(serving.encoded(200, REPORT))


def test_report_is_not_run_by_another_upstream_at_the_address(start):
    """Guards against work that nobody sent, at a reused address."""
    other = OtherUpstream()
    address = start(other)
    with pytest.raises(errors.MisdirectedError):
        engine_api.EngineClient().read_report(at(address))
    assert not other.ran


def test_connection_to_an_engine_is_not_used_for_another_one(start):
    """Guards against a call to a later engine on a kept connection."""
    engine = serving.NamingServer((202, {}), (202, {}))
    address = start(engine)
    client = engine_api.EngineClient()
    client.send_order(at(address), ORDER)
    client.send_order(upstreams.Endpoint('i-2', address), ORDER)
    assert engine.connections == 2


def test_order_is_not_run_by_another_upstream_at_the_address(start):
    """Guards against an order that another engine carries out."""
    other = OtherUpstream()
    outcome = engine_api.EngineClient().send_order(at(start(other)), ORDER)
    assert outcome is orders.Outcome.OTHER_UPSTREAM
    assert not other.ran
