"""Tests of the log of attempts when records are dropped."""

from ivystep.core import types
from ivystep.runtime import clock, virtual_hub
from ivystep.sidecar import attempts

LONGEST_REQUEST_S = 600
RUNNING = attempts.RunningAttempt(b'fingerprint')


def ended(log, attempt_id):
    log.start(attempt_id, RUNNING)
    log.end(attempt_id, types.ExecutionStatus.YES)


def test_ended_attempt_is_known_beyond_the_longest_deadline():
    """Guards against `ran: no` because a record was dropped too soon."""

    def scenario():
        log = attempts.AttemptLog()
        ended(log, 'att-1')
        clock.sleep(LONGEST_REQUEST_S + 60)
        ended(log, 'att-2')
        return log.revoke('att-1')

    assert virtual_hub.run(scenario) is types.ExecutionStatus.YES


def test_full_log_reports_an_unknown_status(monkeypatch):
    """Guards against `ran: no` because a full log dropped the record."""
    monkeypatch.setattr(attempts, 'MAX_ENDED', 10)

    def scenario():
        log = attempts.AttemptLog()
        for number in range(11):
            ended(log, f'att-{number}')
        dropped = log.revoke('att-0')
        clock.sleep(attempts.RETENTION_S + 1)
        return dropped, log.revoke('att-other')

    assert virtual_hub.run(scenario) == (
        types.ExecutionStatus.UNKNOWN,
        types.ExecutionStatus.NO,
    )


def test_attempt_that_was_given_up_is_suspected_for_a_while():
    """Guards against a request whose callers leave before each crash."""

    def scenario():
        log = attempts.AttemptLog()
        for attempt_id in ('answered', 'given-up'):
            fingerprint = attempt_id.encode()
            log.start(attempt_id, attempts.RunningAttempt(fingerprint))
            log.record_sent(attempt_id, 'engine-1')
        log.end('answered', types.ExecutionStatus.YES)
        log.end('given-up', types.ExecutionStatus.UNKNOWN)
        now = log.fingerprints_on('engine-1')
        other = log.fingerprints_on('engine-2')
        clock.sleep(attempts.SUSPECT_S)
        return now, other, log.fingerprints_on('engine-1')

    assert virtual_hub.run(scenario) == ((b'given-up',), (), ())
