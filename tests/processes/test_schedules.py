"""Random fault schedules; each check must see its mechanism missing."""

from unittest import mock

import pytest

from ivystep.coordination import claims
from ivystep.core import types
from ivystep.entry import links, reception
from ivystep.sidecar import answers, host, residency
from soak.schedules import run, world

SEEDS = range(40)
# Enough for each missing mechanism to show, by a trial run.
MAX_SEEDS = 400


def always_granted(self, account, key, claimant_id, fingerprint):
    return claims.Claim(
        granted=True,
        state=claims.ClaimState.TAKEN,
        status=None,
        claimant_id=claimant_id,
        matches=True,
    )


MISSING = {
    'claims': (
        'ran more than once',
        [(claims.ClaimLog, 'acquire', always_granted)],
    ),
    'revocation': (
        'was run',
        [(links.ThriftLink, 'revoke', lambda *_: types.ExecutionStatus.NO)],
    ),
    'pins': (
        'evicted while serving',
        [
            (host.UpstreamHost, 'may_evict', lambda *_: True),
            (residency.Residency, 'is_in_use', lambda *_: False),
        ],
    ),
    'names and positions of messages': (
        'wrong answer',
        [
            (reception.Reception, '_checked', lambda _, message: message),
            (reception.Reception, '_check_position', lambda *_: None),
        ],
    ),
    'announcement of a drain': (
        'new work while leaving',
        [(world.Upstream, 'announce', lambda _: None)],
    ),
    'check of the adapter that answers': (
        'wrong answer',
        [(answers, '_check_model', lambda *_: None)],
    ),
}


# Where one fault leads to the violation, the search need not draw others.
FAULTS_BY_MECHANISM = {
    'names and positions of messages': (run._disturb_network,),
    'check of the adapter that answers': (run._disturb_engine,),
    'announcement of a drain': (run._drain_sidecar,),
}


def test_no_caller_is_told_a_falsehood():
    """Guards against faults that only several failures together show."""
    verdicts = [run.run(seed) for seed in SEEDS]
    assert [one for one in verdicts if one.violations] == []
    told = {outcome for one in verdicts for outcome in one.told}
    assert told == {'complete', 'no', 'yes', 'unknown'}


@pytest.mark.parametrize('mechanism', MISSING)
def test_oracle_sees_each_missing_mechanism(mechanism):
    """Guards against schedules that would pass without the mechanism."""
    expected, changes = MISSING[mechanism]
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
    """Guards against violations that their seed does not show again."""
    earlier = {seed: run.run(seed) for seed in range(5, 10)}
    for seed in reversed(earlier):
        assert run.run(seed) == earlier[seed]
