"""Tests of the failure detector, and of the comparison behind its rule."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ivystep.coordination import failure_detector
from measure import (
    suspicion as measure,
)
from measure import (
    suspicion_rules as rules,
)
from measure import (
    suspicion_traces as traces,
)


@given(st.lists(st.floats(0, 100)), st.floats(0, 200))
def test_silence_counts_from_the_latest_report(heartbeats, now):
    """Guards against a heartbeat out of order that moves the time back."""
    peer = failure_detector.FailureDetector(3.0)
    for time in heartbeats:
        peer.heartbeat(time)
    latest = max(heartbeats, default=-math.inf)
    assert peer.is_suspected(now) is (now - latest > 3)


@pytest.mark.parametrize(
    ('rule', 'wrong', 'detected_s'),
    [
        (rules.FixedTimeout(3.0), 1, 3.0),
        (rules.AttemptEvidence(1), 1, 1.5),
        (rules.Accrual(8, 1.0), 1, None),
    ],
)
def test_replay_counts_a_pause_and_a_crash(rule, wrong, detected_s):
    """Guards against a comparison that miscounts false suspicions."""
    beats = (*map(float, range(11)), *map(float, range(15, 21)))
    attempts = ((11.0, 15.0), (20.5, math.inf))
    trace = traces.Trace(beats, attempts, died=20.0)
    score = measure.Score()
    measure.replay(rule, trace, score)
    assert score.wrong == wrong
    if detected_s is not None:
        assert score.detections_s[0] == pytest.approx(detected_s, abs=0.05)


def test_traces_are_reproducible():
    """Guards against figures that cannot be reproduced."""
    profile = traces.PROFILES[-1]
    first = traces.generate(profile, 1)
    assert first == traces.generate(profile, 1)
    assert first != traces.generate(profile, 2)
    assert list(first.heartbeats) == sorted(first.heartbeats)
