"""Tests of the drain of a daemon."""

import pytest

from ivystep.runtime import clock, drain, signals
from tests.coordination import fakes as clocks

DEADLINE_S = 6.0
# A peer kept the event loop for this time after the signal.
DELAY_S = 4.0


def signalled(delay_s):
    """Return the signals of a process that was told to stop some time ago."""
    received = signals.ReceivedSignals()
    received.is_serving = True
    received.on_stop(0, None)
    received.stopped_at -= delay_s
    return drain.DrainSignal(received)


@pytest.mark.parametrize('delay_s', [0.0, DELAY_S])
def test_deadline_of_a_drain_counts_from_the_signal(delay_s):
    """Guards against requests cut because a busy process hears a signal late.

    Whoever stops the process counts from the signal, and kills it in the end.
    """

    @clocks.on_virtual_clock
    def scenario():
        waiter = signalled(delay_s)
        started = clock.now()
        assert not waiter.finish(lambda: False, DEADLINE_S)
        assert clock.now() - started == pytest.approx(
            DEADLINE_S - delay_s, abs=0.1
        )

    scenario()


def test_delay_does_not_grow_during_a_drain():
    """Guards against a deadline that counts the drain itself as delay."""
    waiter = signalled(DELAY_S)
    first_s = waiter.delay_s
    waiter.received.stopped_at -= DELAY_S
    waiter.received.on_stop(0, None)
    assert waiter.delay_s == first_s


def test_process_without_a_signal_drains_without_a_delay():
    """Guards against embedded daemons that drain with an infinite delay."""
    assert drain.DrainSignal(signals.ReceivedSignals()).delay_s == 0
