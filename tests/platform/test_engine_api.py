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
