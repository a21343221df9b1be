"""Tests of the sums of all hosts' demand for adapters."""

import random

from ivystep.core import types
from ivystep.gateway.loads import host_demands
from ivystep.policy import load_value


def ref(number):
    return types.AdapterRef('m', f'a{number}', 1)


def demand(number, *, waiting=0, running=0):
    return types.AdapterDemand(
        ref=ref(number),
        source='',
        setup_version=0,
        weight=1.0,
        waiting=waiting,
        oldest_wait_s=0.0,
        start_within_s=3.0,
        arrivals=1,
        running=running,
        target_start_within_s=0.8,
        timely_value=0.5 * waiting,
        late_value=0.0,
        software_versions=(),
    )


def test_report_replaces_the_one_before():
    """Guards against adapters that stay needed after their requests ended."""
    demands = host_demands.HostDemands()
    demands.replace('h1', [demand(1, waiting=2), demand(2, running=1)], 0.0)
    demands.replace('h2', [demand(1, waiting=3)], 0.0)
    assert [total.waiting for total in demands.totals()] == [5]
    assert demands.is_needed(ref(1))
    assert demands.is_needed(ref(2))
    demands.replace('h1', [], 0.1)
    assert [total.waiting for total in demands.totals()] == [3]
    assert not demands.is_needed(ref(2))


def test_demand_of_a_silent_host_is_dropped():
    """Guards against adapters kept, or loaded, for a host that has stopped."""
    demands = host_demands.HostDemands()
    demands.replace('h1', [demand(1, waiting=1), demand(2, running=1)], 0.0)
    demands.remove_silent(host_demands.REPORT_MAX_AGE_S)
    assert demands
    demands.remove_silent(host_demands.REPORT_MAX_AGE_S + 0.1)
    assert not demands
    assert not demands.totals()
    assert not demands.is_needed(ref(2))


def test_sums_match_those_of_all_reports():
    """Guards against sums that drift from the reports they are made of."""
    chance = random.Random(3)
    demands = host_demands.HostDemands()
    report_by_host = {}
    for step in range(400):
        host = f'h{chance.randrange(6)}'
        report_by_host[host] = [
            demand(
                number,
                waiting=chance.randrange(3),
                running=chance.randrange(2),
            )
            for number in chance.sample(range(8), chance.randrange(8))
        ]
        demands.replace(host, report_by_host[host], float(step))
        reports = [one for report in report_by_host.values() for one in report]
        for number in range(8):
            same = [one for one in reports if one.ref == ref(number)]
            assert demands.is_needed(ref(number)) == any(
                one.waiting or one.running for one in same
            )
        waiting = {one.ref for one in reports if one.waiting}
        totals = {total.ref: total for total in demands.totals()}
        assert totals.keys() == waiting
        for one, total in totals.items():
            assert total.waiting == sum(
                each.waiting for each in reports if each.ref == one
            )
            assert isinstance(total, load_value.AggregateDemand)
