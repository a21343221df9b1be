"""Runs random fault schedules, with all mechanisms and without each one.

Without a mechanism, some schedule must show a violation; otherwise the check
would prove nothing about it.
"""

from unittest import mock

import pytest

from ivystep.coordination import claims
from ivystep.core import types
from ivystep.entry import links, reception
from ivystep.sidecar import answers, host, residency
from soak.schedules import run, simulation

SEEDS = range(40)
# In a trial run, each missing mechanism was detected within this many seeds.
MAX_SEEDS = 400


def always_granted(self, account, key, claimant_id, fingerprint):
    return claims.Claim(
        granted=True,
        state=claims.ClaimState.TAKEN,
        status=None,
        claimant_id=claimant_id,
        matches=True,
    )


MISSING_MECHANISMS = {
    'claims': (
        'ran more than once',
        [(claims.ClaimLog, 'acquire', always_granted)],
    ),
    'revocation': (
        'ran although reported as not run',
        [(links.ThriftLink, 'revoke', lambda *_: types.ExecutionStatus.NO)],
    ),
    'pins': (
        'evicted while serving',
        [
            (host.UpstreamHost, 'may_evict', lambda *_: True),
            (residency.Residency, 'is_in_use', lambda *_: False),
        ],
    ),
    'checks of attempt ids and offsets': (
        'wrong answer',
        [
            (reception.Reception, '_checked', lambda _, message: message),
            (reception.Reception, '_check_position', lambda *_: None),
        ],
    ),
    'announcement of a drain': (
        'new work while draining',
        [(simulation.Upstream, 'announce', lambda _: None)],
    ),
    'check of the adapter that answers': (
        'wrong answer',
        [(answers, '_check_model', lambda *_: None)],
    ),
}


# Only this fault can cause the violation, which shortens the search.
FAULTS_BY_MECHANISM = {
    'checks of attempt ids and offsets': (run._disturb_network,),
    'check of the adapter that answers': (run._disturb_engine,),
    'announcement of a drain': (run._drain_sidecar,),
}


def test_results_agree_with_engine_journals():
    """Guards against defects that only combined faults reveal."""
    verdicts = [run.run(seed) for seed in SEEDS]
    assert [one for one in verdicts if one.violations] == []
    results = {outcome for one in verdicts for outcome in one.results}
    assert results == {'complete', 'no', 'yes', 'unknown'}


@pytest.mark.parametrize('mechanism', MISSING_MECHANISMS)
def test_oracle_sees_each_missing_mechanism(mechanism):
    """Guards against checks that pass without the mechanism they cover."""
    expected, changes = MISSING_MECHANISMS[mechanism]
    patches = [mock.patch.object(*change) for change in changes]
    faults = FAULTS_BY_MECHANISM.get(mechanism, run.FAULTS)
    patches.append(mock.patch.object(run, 'FAULTS', faults))
    for patch in patches:
        patch.start()
    try:
        assert any(
            expected in violation
            for seed in range(MAX_SEEDS)
            for violation in run.run(seed).violations
        )
    finally:
        for patch in patches:
            patch.stop()


def test_a_seed_repeats_its_schedule():
    """Guards against violations that cannot be reproduced from a seed."""
    earlier = {seed: run.run(seed) for seed in range(5, 10)}
    for seed in reversed(earlier):
        assert run.run(seed) == earlier[seed]
