"""Tests of the client of model engines."""

import contextlib

import eventlet
import pytest

from ivystep.core import errors
from ivystep.platform import engine_api
from ivystep.traffic import orders
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


def test_unanswered_order_is_not_delivered_after_it_was_given_up():
    """Guards against orders that engines receive from a former leader."""
    with contextlib.closing(eventlet.listen(('127.0.0.1', 0))) as listener:
        end = eventlet.spawn(serving.read_silently, listener)
        with pytest.raises(errors.LinkError):
            engine_api.EngineClient().send_order(
                listener.getsockname(), 'i-1', ORDER
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
    client.send_order(address, 'i-1', ORDER)
    assert client.send_order(address, 'i-1', ORDER) is orders.Outcome.FENCED


def test_answer_to_an_earlier_order_is_no_report(start):
    """Guards against an engine that is taken for an empty one."""
    engine = serving.RepeatingServer((202, {}), (200, REPORT))
    address = start(engine)
    client = engine_api.EngineClient()
    client.send_order(address, 'i-1', ORDER)
    assert client.read_report(address).order_count == 3


def test_earlier_report_is_not_the_answer_to_an_order(start):
    """Guards against a load that seems to be done."""
    engine = serving.RepeatingServer((200, REPORT), (202, {}))
    address = start(engine)
    client = engine_api.EngineClient()
    client.read_report(address)
    outcome = client.send_order(address, 'i-1', ORDER)
    assert outcome is orders.Outcome.ACCEPTED


def test_refused_report_is_not_that_to_the_next_call(start):
    """Guards against an engine that seems to be out of reach."""
    engine = serving.RepeatingServer((503, {}), (200, REPORT))
    address = start(engine)
    client = engine_api.EngineClient()
    with pytest.raises(errors.LinkError):
        client.read_report(address)
    assert client.read_report(address).order_count == 3
