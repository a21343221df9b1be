"""Tests of the back-off of adapters whose loads fail."""

import pytest

from ivystep.core import types
from ivystep.policy import load_back_off


def test_back_off_doubles_up_to_a_minute_and_ends_with_a_success():
    """Guards against retries that occupy the store, or that never happen."""
    back_off = load_back_off.BackOff()
    ref = types.AdapterRef('soil', 'a', 1)
    pauses = [back_off.record_failure(ref, 0.0) for _ in range(8)]
    assert pauses == [1, 2, 4, 8, 16, 32, 60, 60]
    assert back_off.remaining_s(ref, 50.0) == pytest.approx(10.0)
    back_off.record_success(ref)
    assert back_off.remaining_s(ref, 50.0) == 0
