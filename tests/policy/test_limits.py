"""Tests of the limits of accounts, on the virtual clock."""

import eventlet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ivystep.core import errors
from ivystep.policy import limits
from ivystep.runtime import clock, virtual_hub
from ivystep.setup import document

UNLIMITED = document.Limits(
    requests_per_s=1e6, burst=10**6, concurrency=10**6, queue=10**6
)


def parties(account, application='app', **bounds):
    narrow = document.Limits(**{**UNLIMITED.model_dump(), **bounds})
    return (
        limits.LimitedParty((account, ''), narrow),
        limits.LimitedParty((account, application), UNLIMITED),
    )


def try_admit(account_limits, both):
    try:
        return account_limits.admit(*both)
    except errors.RefusedError as error:
        return error


def test_rate_limit_error_says_when_a_retry_is_admitted():
    """Guards against a retry delay that is too short or far too long."""

    def scenario():
        account_limits = limits.AccountLimits()
        both = parties('a', requests_per_s=0.5, burst=2)
        admitted = [try_admit(account_limits, both) for _ in range(3)]
        error = admitted[-1]
        clock.sleep(error.retry_after_s - 0.01)
        early = try_admit(account_limits, both)
        clock.sleep(0.02)
        account_limits.admit(*both)
        return error, early

    error, early = virtual_hub.run(scenario)
    assert (error.code, error.retry_after_s) == ('rate_limited', 2.0)
    assert early.code == 'rate_limited'


def test_retry_delay_of_a_full_queue_follows_its_backlog():
    """Guards against a retry delay that does not depend on the backlog."""

    def scenario():
        account_limits = limits.AccountLimits()
        both = parties('a', concurrency=2, queue=4)
        order = []

        def work(number):
            ticket = account_limits.admit(*both)
            ticket.start(clock.now() + 100)
            order.append(number)
            clock.sleep(3)
            ticket.close()

        work(-1)
        tasks = []
        for number in range(6):
            tasks.append(eventlet.spawn(work, number))
            clock.sleep(0.1)
        error = try_admit(account_limits, both)
        for task in tasks:
            task.wait()
        return error, order

    error, order = virtual_hub.run(scenario)
    # Five requests of 3 s each, two at once, end before a retry can start.
    assert (error.code, error.retry_after_s) == ('queue_full', 7.5)
    assert order == [-1, 0, 1, 2, 3, 4, 5]


def test_wait_beyond_the_deadline_is_refused_at_once():
    """Guards against queueing a request that cannot meet its deadline."""

    def scenario():
        account_limits = limits.AccountLimits()
        both = parties('a', concurrency=1)
        first = account_limits.admit(*both)
        first.start(clock.now() + 100)
        clock.sleep(10)
        first.close()
        running = account_limits.admit(*both)
        running.start(clock.now() + 100)
        started = clock.now()
        with pytest.raises(errors.RefusedError) as caught:
            account_limits.admit(*both).start(clock.now() + 5)
        return caught.value.code, clock.now() - started

    assert virtual_hub.run(scenario) == ('deadline_unreachable', 0)


def test_interrupted_wait_passes_its_place_on():
    """Guards against a place that stays occupied after a waiting caller has
    disconnected.
    """

    def scenario():
        account_limits = limits.AccountLimits()
        both = parties('a', concurrency=1)
        first = account_limits.admit(*both)
        first.start(clock.now() + 9)
        waiting = [account_limits.admit(*both) for _ in range(2)]

        def wait(ticket):
            try:
                ticket.start(clock.now() + 9)
                return clock.now()
            finally:
                ticket.close()

        tasks = [eventlet.spawn(wait, ticket) for ticket in waiting]
        clock.sleep(1)
        # The first waiting task is started and killed at the same time.
        first.close()
        tasks[0].kill()
        return tasks[1].wait()

    assert virtual_hub.run(scenario) == 1


def test_change_of_the_limits_applies_to_requests_that_wait():
    """Guards against requests that wait behind a limit which was lifted, or
    start beyond one which was lowered.
    """

    def scenario():
        account_limits = limits.AccountLimits()
        narrow, wide = parties('a', concurrency=1), parties('a', concurrency=3)

        def start(both):
            ticket = account_limits.admit(*both)
            eventlet.spawn(ticket.start, clock.now() + 900)
            clock.sleep(0)
            return ticket

        def started(tickets):
            return [ticket.started.ready() for ticket in tickets]

        first, second = start(narrow), start(narrow)
        third = start(wide)
        lifted = started([second])
        waiting = [start(wide), start(wide)]
        last = start(narrow)
        for ticket in (first, second):
            ticket.close()
        still_waiting = started([*waiting, last])
        third.close()
        return lifted, still_waiting, started([*waiting, last])

    assert virtual_hub.run(scenario) == (
        [True],
        [False, False, False],
        [True, False, False],
    )


def test_bodies_of_one_account_are_bounded():
    """Guards against one account that fills the memory with request bodies."""

    def scenario():
        account_limits = limits.AccountLimits(max_held_bytes=100)
        held = account_limits.admit(*parties('a'))
        held.hold(90)
        account_limits.admit(*parties('b')).hold(90)
        with pytest.raises(errors.RefusedError):
            account_limits.admit(*parties('a')).hold(20)
        held.close()
        account_limits.admit(*parties('a')).hold(20)

    virtual_hub.run(scenario)


# No two sums of these times are equal, so that no two tasks wake at the same
# time; the hub does not define their order.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(['quiet', 'quiet', 'flood']),
        st.sampled_from([0.0013, 0.0109, 0.2027, 70.0019]),
        st.sampled_from([0.0507, 0.5003, 3.0011]),
    ),
    max_size=60,
)
NARROW = {'requests_per_s': 2.0, 'burst': 3, 'concurrency': 2, 'queue': 2}


def outcomes(steps):
    """Run requests of two accounts.

    Args:
        steps: For each request, its account, the pause before it and its
            duration. None as the account stands for no request.

    Returns:
        Outcome of each request, account and time of those admitted, and
        violations of the concurrency limit.
    """

    def main():
        account_limits = limits.AccountLimits()
        running = {'quiet': 0, 'flood': 0}
        admitted = []
        violations = []
        seen = []

        def work(account, duration_s, number):
            try:
                ticket = account_limits.admit(*parties(account, **NARROW))
            except errors.RefusedError as error:
                return account, number, error.code, error.retry_after_s
            admitted.append((account, clock.now()))
            try:
                ticket.start(clock.now() + 2)
            except errors.RefusedError as error:
                ticket.close()
                return account, number, error.code, error.retry_after_s
            running[account] += 1
            if running[account] > NARROW['concurrency']:
                violations.append('concurrency')
            started = clock.now()
            clock.sleep(duration_s)
            running[account] -= 1
            ticket.close()
            return account, number, 'ran', started

        tasks = []
        for number, (account, pause_s, duration_s) in enumerate(steps):
            clock.sleep(pause_s)
            if account is not None:
                tasks.append(eventlet.spawn(work, account, duration_s, number))
        seen = [task.wait() for task in tasks]
        return seen, admitted, violations

    return virtual_hub.run(main)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS)
def test_a_flood_changes_nothing_for_another_account(steps):
    """Guards against an account that affects another one's requests, and
    against exceeded limits.
    """
    seen, admitted, violations = outcomes(steps)
    alone, _, _ = outcomes(
        [
            (account if account == 'quiet' else None, *rest)
            for account, *rest in steps
        ]
    )
    assert [one for one in seen if one[0] == 'quiet'] == alone
    assert not violations
    for account in ('quiet', 'flood'):
        times = [at for name, at in admitted if name == account]
        for index, start in enumerate(times):
            for count, end in enumerate(times[index:], 1):
                assert count <= 3 + 2.0 * (end - start) + 1e-6
