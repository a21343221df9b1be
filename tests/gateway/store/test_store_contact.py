"""Tests of the record of outages of the store."""

import pytest

from ivystep.gateway.store import store_contact
from ivystep.platform import http
from ivystep.runtime import clock
from tests.coordination import fakes as clocks

OUTAGE_S = 2.4


def contact_after(*calls):
    """Return a contact after calls that are one second apart."""
    contact = store_contact.StoreContact(OUTAGE_S, lambda *_: None)
    for outcome in calls:
        clock.sleep(1)
        contact.on_call('GET', outcome)
    return contact


@pytest.mark.parametrize('failure', [http.NO_ANSWER, '503', '429'])
def test_return_after_an_outage_is_recorded(failure):
    """Guards against the loss of upstreams whose entries expired."""

    @clocks.on_virtual_clock
    def scenario():
        contact = contact_after('200', failure, failure, '200', '200')
        assert contact.returned_at == pytest.approx(clock.now() - 1)

    scenario()


@pytest.mark.parametrize('answer', ['200', '410', '412'])
def test_answer_to_another_call_ends_an_interruption(answer):
    """Guards against removals delayed because of one silent connection."""

    @clocks.on_virtual_clock
    def scenario():
        contact = contact_after('200', http.NO_ANSWER, answer, '503', '200')
        assert contact.returned_at == float('-inf')

    scenario()


@pytest.mark.parametrize(
    ('is_failing', 'is_outage'), [(False, False), (True, True)]
)
def test_host_without_need_to_call_is_in_no_outage(is_failing, is_outage):
    """Guards against upstreams kept after their removal by idle hosts."""

    @clocks.on_virtual_clock
    def scenario():
        contact = contact_after('200', *(('503',) if is_failing else ()))
        for _ in range(5):
            clock.sleep(1)
            contact.on_not_needed()
        contact.on_call('GET', '200')
        assert (contact.returned_at == clock.now()) is is_outage

    scenario()
