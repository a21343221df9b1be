"""Tests of this host's share of what all hosts may use together."""

import pytest

from ivystep.gateway.upstreams import host_shares

RETRY_EXTRA = 54.0


@pytest.mark.parametrize('hosts', [1, 4, 28])
def test_hosts_together_keep_to_the_retry_reserve(hosts):
    """Guards against retries beyond what the platform allows to all hosts."""
    shares = host_shares.HostShares(0.2, RETRY_EXTRA)
    shares.on_host_count(hosts)
    assert hosts * shares.budgets.budget('app').balance <= RETRY_EXTRA


def test_share_is_small_until_the_number_of_hosts_is_known():
    """Guards against a host that takes the share of all others at its start."""
    shares = host_shares.HostShares(0.2, RETRY_EXTRA)
    before = shares.budgets.budget('app').balance
    assert (shares.known_hosts, shares.hosts) == (0, host_shares.EXPECTED_HOSTS)
    shares.on_host_count(4)
    assert shares.hosts == 4
    assert shares.budgets.budget('app').balance > before


@pytest.mark.parametrize('hosts', [16, 43])
def test_hosts_that_start_together_keep_to_the_retry_reserve(hosts):
    """Guards against the shares of hosts that do not know their number yet."""
    shares = host_shares.HostShares(0.2, RETRY_EXTRA)
    assert hosts * shares.budgets.budget('app').balance <= RETRY_EXTRA
