"""Tests of the permits for attempts, on the virtual clock."""

import dataclasses

import pytest

from ivystep.core import errors, types
from ivystep.entry import isolation
from ivystep.runtime import clock, virtual_hub
from tests.core import statuses

FINGERPRINT = b'request'


def request(fingerprint=FINGERPRINT):
    ref = types.AdapterRef('authority', 'plans', 1)
    return types.Request(
        request_id='req-1',
        account='authority',
        application='app',
        pool='base',
        adapter=ref,
        adapter_source='weights',
        path='/v1/completions',
        body=b'{}',
        stream=False,
        idempotent=True,
        arrived=0,
        deadline=30,
        fingerprint=fingerprint,
        setup_version=1,
    )


def status(upstream_id, *crashed_incarnations):
    return statuses.upstream_status(
        upstream_id,
        engine_incarnation='now',
        slots=2,
        crash_fingerprints=tuple(
            types.CrashFingerprint(FINGERPRINT, incarnation, clock.now())
            for incarnation in crashed_incarnations
        ),
    )


def engine_lost():
    error = errors.RequestError(
        'upstream_lost', 'Lost.', status=502, engine_lost=True
    )
    error.engine_incarnation = 'one'
    return error


def refusal(quarantines, wanted):
    with pytest.raises(errors.RefusedError) as refused:
        quarantines.acquire_permit(wanted)
    return refused.value.code, refused.value.ran


def test_request_is_isolated_after_one_crash_and_refused_after_two():
    """Guards against a request that crashes one engine after another."""

    def scenario():
        quarantines = isolation.Isolation()
        for name in ('up-1', 'up-2', 'up-3'):
            quarantines.on_status('base', status(name))
        first = quarantines.acquire_permit(request())
        first.on_failure('up-1', engine_lost())
        # The sidecar reports the same failure; it must count once.
        quarantines.on_status('base', status('up-1', 'one'))
        second = quarantines.acquire_permit(request())
        assert (first.is_isolated, second.is_isolated) == (False, True)
        assert len(second.avoid) == 2
        assert refusal(quarantines, request())[0] == 'suspect_running'
        assert not quarantines.acquire_permit(request(b'innocent')).is_isolated
        second.on_failure('up-2', engine_lost())
        return refusal(quarantines, request())

    expected = 'request_quarantined', types.ExecutionStatus.NO
    assert virtual_hub.run(scenario) == expected


def test_innocent_request_is_cleared_by_completing():
    """Guards against suspecting a harmless request of a crashed batch."""

    def scenario():
        quarantines = isolation.Isolation()
        quarantines.on_status('base', status('up-1', 'one'))
        permit = quarantines.acquire_permit(request())
        permit.close(is_completed=True)
        permit.close()
        quarantines.on_status('base', status('up-1', 'one'))
        return quarantines.acquire_permit(request()).is_isolated

    assert virtual_hub.run(scenario) is False


def test_evidence_that_arrives_during_the_wait_ends_the_permit():
    """Guards against an attempt under a permit from before a crash."""

    def scenario():
        quarantines = isolation.Isolation()
        permit = quarantines.acquire_permit(request())
        before = permit.is_current
        quarantines.on_status('base', status('up-1', 'one', 'two'))
        return before, permit.is_current

    assert virtual_hub.run(scenario) == (True, False)


def test_upstream_that_drains_takes_no_suspect():
    """Guards against a suspect that waits for a draining upstream."""

    def scenario():
        quarantines = isolation.Isolation()
        quarantines.on_status('base', status('up-1', 'one'))
        leaving = dataclasses.replace(status('up-2'), draining=True)
        quarantines.on_status('base', leaving)
        return quarantines.acquire_permit(request()).avoid

    assert virtual_hub.run(scenario) == frozenset()
