"""Tests of attempts over HTTP against the engine stand-in."""

import json

import eventlet
import pytest

from ivystep.core import errors
from ivystep.runtime import clock
from ivystep.wire import channel
from ivystep.wire.gen import ttypes
from standins import web
from tests.gateway import harness
from tests.sidecar import bench


@pytest.fixture
def engine_bench():
    sidecar_bench = bench.Bench()
    sidecar_bench.start(bench.REF)
    yield sidecar_bench
    sidecar_bench.stop()


def answer(frames):
    return b''.join(
        frame.data for frame in frames if isinstance(frame, ttypes.AnswerChunk)
    )


def test_answers_are_relayed_whole(engine_bench):
    """Guards against an answer that loses bytes or its end marker."""
    assert b'plans#3' in answer(engine_bench.run())
    stream = answer(engine_bench.run(attempt_id='att-2', stream=True))
    assert stream.endswith(b'data: [DONE]\n\n')
    assert stream.count(b'plans#') == 4


@pytest.mark.parametrize('cut', [1, 60, 200])
@pytest.mark.parametrize('stream', [False, True])
def test_truncated_answer_is_never_complete(engine_bench, cut, stream):
    """Guards against relaying a truncated answer as complete."""
    engine_bench.set_faults(truncate_bytes=cut)
    last = engine_bench.run(stream=stream)[-1]
    assert isinstance(last, ttypes.AttemptFailed)
    assert (last.ran, last.engine_lost) == ('unknown', False)


def test_truncated_answer_of_a_live_engine_is_no_crash(engine_bench):
    """Guards against clearing residency after one broken connection."""
    engine_bench.set_faults(truncate_bytes=60)
    engine_bench.run(prompt='innocent')
    status = engine_bench.upstream_host.status()
    assert status.crash_fingerprints == ()
    assert bench.REF in status.resident_by_ref


def test_stream_without_end_marker_fails(engine_bench):
    """Guards against relaying a stream that ends early but is framed."""
    engine_bench.set_faults(omits_end=True)
    last = engine_bench.run(stream=True)[-1]
    assert (last.code, last.ran) == ('invalid_answer', 'yes')


@pytest.mark.parametrize('stream', [False, True])
def test_answer_of_another_adapter_is_withheld(engine_bench, stream, caplog):
    """Guards against relaying the answer of another adapter."""
    engine_bench.set_faults(answer_model='rival/plans@3')
    frames = engine_bench.run(stream=stream)
    assert frames[-1].code == 'invalid_answer'
    assert answer(frames) == b''
    assert 'Invariant violated' in caplog.text


def test_stream_that_changes_adapter_midway_is_aborted():
    """Guards against mixed streams whose first event is correct."""

    def event(model, text):
        body = json.dumps({'model': model, 'choices': [{'text': text}]})
        return f'data: {body}\n\n'.encode()

    def handle(environ):
        if environ['PATH_INFO'] != '/v1/completions':
            return sidecar_bench.engine.handle(environ)
        parts = [event(bench.REF.lora_name, 'right')]
        parts += [event('rival/plans@3', 'secret'), b'data: [DONE]\n\n']
        return 200, iter(parts)

    sidecar_bench = bench.Bench(handle)
    sidecar_bench.start(bench.REF)
    frames = sidecar_bench.run(stream=True)
    sidecar_bench.stop()
    assert b'secret' not in answer(frames)
    assert frames[-1].code == 'invalid_answer'


def test_restart_between_health_checks_runs_nothing(engine_bench):
    """Guards against relaying the 404 of an engine that was restarted."""
    engine_bench.engine.restart()
    last = engine_bench.run()[-1]
    assert (last.code, last.ran) == ('adapter_not_resident', 'no')
    assert bench.REF not in engine_bench.upstream_host.status().resident_by_ref


def answer_with(status, body, *headers):
    """Run one attempt on an engine with a fixed answer."""

    def handle(environ):
        if environ['PATH_INFO'] != '/v1/completions':
            return sidecar_bench.engine.handle(environ)
        return web.ReplyWithHeaders(
            status,
            (('Content-Type', 'application/json'), *headers),
            json.dumps(body).encode(),
        )

    sidecar_bench = bench.Bench(handle)
    sidecar_bench.start(bench.REF)
    frames = sidecar_bench.run()
    sidecar_bench.stop()
    return frames


def test_refused_request_body_is_passed_on():
    """Guards against reporting a caller's error as an invalid answer."""
    frames = answer_with(400, {'error': {'message': 'prompt too long'}})
    heads = [one for one in frames if isinstance(one, ttypes.AnswerHead)]
    assert heads[0].status == 400
    assert b'prompt too long' in answer(frames)


@pytest.mark.parametrize(
    ('status', 'code', 'ran'),
    [
        (201, 'invalid_answer', 'yes'),
        (302, 'invalid_answer', 'yes'),
        (429, 'overloaded', 'no'),
        (500, 'upstream_error', 'unknown'),
    ],
)
def test_unexpected_status_ends_the_attempt_with_an_error(status, code, ran):
    """Guards against relaying answers without checking their adapter."""
    last = answer_with(status, {'model': 'rival/plans@3'})[-1]
    assert (last.code, last.ran) == (code, ran)


@pytest.mark.parametrize(
    ('named', 'retry_after_ms'),
    [('7', 7000), ('0.5', 500), ('soon', 1000), ('-3', 1000), ('9e9', 1000)],
)
def test_wait_that_an_overloaded_engine_names_is_passed_on(
    named, retry_after_ms
):
    """Guards against callers that come back while the engine takes nothing."""
    last = answer_with(429, {}, ('Retry-After', named))[-1]
    assert last.retry_after_ms == retry_after_ms


@pytest.mark.parametrize(
    ('status', 'named', 'code'),
    [
        (503, '9', 'overloaded'),
        (503, 'soon', 'upstream_error'),
        (500, '9', 'upstream_error'),
    ],
)
def test_engine_that_asks_for_rest_gets_no_attempts(status, named, code):
    """Guards against requests to an engine that wants none."""
    runs = []

    def handle(environ):
        if environ['PATH_INFO'] != '/v1/completions':
            return sidecar_bench.engine.handle(environ)
        runs.append(environ)
        return web.ReplyWithHeaders(status, (('Retry-After', named),), b'')

    sidecar_bench = bench.Bench(handle)
    sidecar_bench.start(bench.REF)
    sidecar_bench.run()
    last = sidecar_bench.run(attempt_id='att-2')[-1]
    sidecar_bench.stop()
    assert last.code == code
    is_resting = code == 'overloaded'
    assert len(runs) == (1 if is_resting else 2)
    assert not is_resting or 8000 < last.retry_after_ms <= 9000


def test_attempts_cannot_give_orders(engine_bench):
    """Guards against an attempt that loads or unloads adapters."""
    last = engine_bench.run(path='/v1/unload_lora_adapter')[-1]
    assert (last.code, last.ran) == ('invalid_request', 'no')


def test_attempt_of_a_disconnected_entry_is_not_sent(engine_bench):
    """Guards against running an attempt received while paused."""
    entry = bench.Entry()
    entry.channel.close()
    engine_bench.serve(bench.message(engine_bench.upstream_host), entry)
    assert engine_bench.engine.completions_by_prompt == {}
    assert engine_bench.upstream_host.attempts.revoke('att-1').value == 'no'


def test_interrupted_frame_is_never_completed_by_another(engine_bench):
    """Guards against an error message sent within an answer's frame."""
    engine_bench.engine.step_s = 0
    name = bench.REF.lora_name
    engine_bench.engine.source_by_name[name] = 'w' * 1_000_000
    entry = engine_bench.spawn(max_tokens=14)
    entry.channel.receive(10)
    # The entry stops reading, so that a frame is only partly sent.
    bench.wait_until(lambda: engine_bench.engine.running == 0)
    for _ in range(50):
        eventlet.sleep(0.002)
    engine_bench.upstream_host.interrupt_attempts()
    with pytest.raises(errors.LinkError, match='connection closed'):
        entry.frames()
    bench.wait_until(lambda: engine_bench.upstream_host.attempts.running == 0)


def test_disconnected_entry_cancels_the_silent_engine_call(engine_bench):
    """Guards against an engine that works for a disconnected entry."""
    engine_bench.set_faults(is_silent=True)
    entry = engine_bench.spawn(stream=True, budget_ms=60_000)
    bench.wait_until(lambda: engine_bench.engine.running == 1)
    entry.channel.close()
    bench.wait_until(lambda: engine_bench.engine.cancelled == 1)
    bench.wait_until(lambda: engine_bench.upstream_host.attempts.running == 0)
    assert engine_bench.upstream_host.status().crash_fingerprints == ()


@pytest.mark.parametrize('stream', [False, True])
def test_attempt_on_a_silent_engine_ends_at_the_deadline(engine_bench, stream):
    """Guards against treating a time-out as a crash."""
    engine_bench.set_faults(is_silent=True)
    last = engine_bench.run(stream=stream, budget_ms=50)[-1]
    assert (last.code, last.ran) == ('deadline_exceeded', 'unknown')
    assert engine_bench.upstream_host.status().crash_fingerprints == ()


def test_answer_that_stops_midway_ends_at_the_deadline(engine_bench):
    """Guards against a deadline that restarts with each chunk."""
    entry = engine_bench.spawn(stream=True, max_tokens=5000, budget_ms=300)
    bench.wait_until(lambda: engine_bench.engine.steps > 2)
    engine_bench.set_faults(is_silent=True)
    last = entry.frames()[-1]
    assert (last.code, last.ran) == ('deadline_exceeded', 'unknown')
    assert engine_bench.upstream_host.status().crash_fingerprints == ()


def test_failed_answer_has_no_head(engine_bench):
    """Guards against a head that keeps the entry from retrying."""
    engine_bench.set_faults(truncate_bytes=60)
    frames = engine_bench.run()
    assert not any(isinstance(one, ttypes.AnswerHead) for one in frames)


def test_answer_longer_than_a_frame_is_relayed(engine_bench):
    """Guards against a chunk that no frame can hold."""
    engine_bench.engine.step_s = 0
    source = 'w' * 1_000_000
    engine_bench.engine.source_by_name[bench.REF.lora_name] = source
    frames = engine_bench.run(max_tokens=5)
    assert answer(frames).count(source.encode()) == 5
    assert isinstance(frames[-1], ttypes.AnswerEnd)


def test_crash_is_recorded_once_with_every_running_request(engine_bench):
    """Guards against evidence lost when attempts end or by a health check."""
    engine_bench.set_faults(is_silent=True)
    first = engine_bench.spawn(
        attempt_id='att-1', prompt='one', stream=True, max_tokens=5000
    )
    second = engine_bench.spawn(
        attempt_id='att-2', prompt='two', max_tokens=5000
    )
    bench.wait_until(lambda: engine_bench.engine.running == 2)
    engine_bench.set_faults()
    failures = [engine_bench.run(attempt_id='att-3', prompt='CRASH')[-1]]
    failures += [first.frames()[-1], second.frames()[-1]]
    assert all(failure.engine_lost for failure in failures)
    assert {failure.ran for failure in failures} == {'unknown'}
    recorded = engine_bench.upstream_host.status().crash_fingerprints
    assert {crash.fingerprint for crash in recorded} == {
        b'CRASH',
        b'one',
        b'two',
    }
    lost = {crash.engine_incarnation for crash in recorded}
    assert lost == {failure.engine_incarnation for failure in failures}


def test_request_that_failed_two_incarnations_is_refused(engine_bench):
    """Guards against a third crash if no entry knows of the first two."""
    for attempt_id in ('att-1', 'att-2'):
        last = engine_bench.run(attempt_id=attempt_id, prompt='CRASH')[-1]
        assert last.engine_lost
        engine_bench.start(bench.REF)
    last = engine_bench.run(attempt_id='att-3', prompt='CRASH')[-1]
    assert (last.code, last.ran) == ('request_quarantined', 'no')
    assert last.status < 500


def test_one_suspect_runs_at_a_time(engine_bench):
    """Guards against two suspected requests on one upstream at a time."""
    engine_bench.set_faults(is_silent=True)
    engine_bench.spawn(isolated=True, stream=True)
    bench.wait_until(lambda: engine_bench.engine.running == 1)
    last = engine_bench.run(attempt_id='att-2', isolated=True)[-1]
    assert (last.code, last.ran) == ('suspect_running', 'no')


def test_health_check_that_sees_the_restart_first_keeps_the_evidence():
    """Guards against lost evidence if the monitor sees a restart first."""
    sidecar_bench = bench.Bench()
    sidecar_bench.start(bench.REF)
    sidecar_bench.set_faults(is_silent=True)
    entry = sidecar_bench.spawn(prompt='guilty', stream=True)
    bench.wait_until(lambda: sidecar_bench.engine.running == 1)
    sidecar_bench.engine.started += 1
    assert sidecar_bench.upstream_host.refresh()
    recorded = sidecar_bench.upstream_host.status().crash_fingerprints
    assert [crash.fingerprint for crash in recorded] == [b'guilty']
    entry.channel.close()
    sidecar_bench.stop()


def test_repeated_attempt_id_is_not_reported_as_not_run(engine_bench):
    """Guards against `ran: no` for an attempt that did run."""
    assert isinstance(engine_bench.run()[-1], ttypes.AnswerEnd)
    assert engine_bench.run()[-1].ran == 'yes'
    engine_bench.upstream_host.is_draining = True
    assert engine_bench.run()[-1].ran == 'yes'
    assert engine_bench.engine.completions_by_prompt == {'hello': 1}


def test_refused_attempt_never_starts_later(engine_bench):
    """Guards against running an attempt after reporting `ran: no`."""
    engine_bench.upstream_host.is_draining = True
    assert engine_bench.run()[-1].ran == 'no'
    engine_bench.upstream_host.is_draining = False
    assert engine_bench.run()[-1].ran == 'no'
    assert engine_bench.engine.completions_by_prompt == {}


def test_attempt_on_an_unreachable_engine_is_not_run(engine_bench):
    """Guards against `unknown` where the connection was refused."""
    engine_bench.stop()
    last = engine_bench.run(idempotent=False)[-1]
    assert last.ran == 'no'


def test_unreachable_engine_takes_no_second_attempt(engine_bench):
    """Guards against using up all attempts on an unreachable upstream."""
    engine_bench.stop()
    engine_bench.run()
    assert not engine_bench.upstream_host.status().healthy
    last = engine_bench.run(attempt_id='att-2')[-1]
    assert (last.code, last.reason) == (
        'upstream_unavailable',
        'The upstream is unhealthy.',
    )


class PlainService:
    """A service without a start-time metric and without models."""

    def __init__(self, reply):
        self.reply = reply

    def handle(self, environ):
        if environ['PATH_INFO'] == '/health':
            return 200, {}
        if environ['PATH_INFO'] in {'/metrics', '/v1/models'}:
            return 404, {'error': 'no such path'}
        return self.reply


def test_plain_service_needs_no_metrics_and_keeps_its_404():
    """Guards against treating services as engines."""
    sidecar_bench = bench.Bench(
        PlainService((404, {'error': 'no such tag'})).handle, kind='service'
    )
    sidecar_bench.start()
    frames = sidecar_bench.run(ref=None, path='/tags/9')
    refused = sidecar_bench.run(attempt_id='att-2', ref=bench.REF)[-1]
    load = sidecar_bench.upstream_host.load(bench.order(bench.REF))
    sidecar_bench.stop()
    assert b'no such tag' in answer(frames)
    assert isinstance(frames[-1], ttypes.AnswerEnd)
    assert refused.ran == 'no'
    assert not load.ok


def test_plain_service_that_crashes_is_crash_evidence():
    """Guards against losing evidence of services without a start time."""

    def handle(environ):
        if environ['PATH_INFO'] == '/tags/9':
            sidecar_bench.stop()
        return PlainService((200, {})).handle(environ)

    sidecar_bench = bench.Bench(handle, kind='service')
    sidecar_bench.start()
    last = sidecar_bench.run(ref=None, path='/tags/9', prompt='guilty')[-1]
    assert (last.ran, last.engine_lost) == ('unknown', True)
    recorded = sidecar_bench.upstream_host.status().crash_fingerprints
    assert [crash.fingerprint for crash in recorded] == [b'guilty']


def run_on_cut_service(received, end=None):
    """Run an attempt on a service that closes after a part of its answer."""

    def serve(connection, _):
        if connection.recv(65536).startswith(b'POST'):
            connection.sendall(received)
            if end is not None:
                end(connection)
        else:
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
            )
        connection.close()

    sidecar_bench = bench.Bench(kind='service')
    listener = eventlet.listen((bench.LOOPBACK, 0))
    task = eventlet.spawn(eventlet.serve, listener, serve)
    port = listener.getsockname()[1]
    sidecar_bench.upstream_host.http.base_url = (
        f'http://{bench.LOOPBACK}:{port}'
    )
    sidecar_bench.start()
    frames = sidecar_bench.run(ref=None, path='/tags/9')
    task.kill()
    sidecar_bench.stop()
    return frames


@pytest.mark.parametrize(
    'framing',
    [
        b'',
        b'Content-Length: many\r\n',
        b'Content-Length: -1\r\n',
        b'Transfer-Encoding: chunkedness\r\n',
    ],
    ids=['none', 'word', 'negative', 'other-coding'],
)
def test_answer_without_framing_is_not_complete(framing):
    """Guards against a truncated answer that cannot be detected."""
    head = b'HTTP/1.1 200 OK\r\n'
    last = run_on_cut_service(head + framing + b'\r\n{"cut": ')[-1]
    assert (last.code, last.ran) == ('invalid_answer', 'yes')


CUT_HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: 12\r\nServer: s\r\n'


@pytest.mark.parametrize('end', [None, harness.reset])
@pytest.mark.parametrize('part', [1, 9, 12, 15, 17, 32, 34, 37, len(CUT_HEAD)])
def test_head_that_is_cut_is_no_answer(part, end):
    """Guards against an empty or short body of an answer taken for whole."""
    (*earlier, last) = run_on_cut_service(CUT_HEAD[:part], end)
    assert not any(isinstance(one, ttypes.AnswerHead) for one in earlier)
    assert isinstance(last, ttypes.AttemptFailed)
    assert last.status == 502
    assert last.ran != 'no'


def test_attempt_is_not_sent_after_its_deadline(engine_bench, monkeypatch):
    """Guards against a run whose caller has been told that it was too late."""
    send, now = channel.Channel.send, clock.now

    def pause_and_send(link, message):
        if isinstance(message, ttypes.AttemptAccepted):
            monkeypatch.setattr(clock, 'now', lambda: now() + 60)
        send(link, message)

    engine_bench.run()
    monkeypatch.setattr(channel.Channel, 'send', pause_and_send)
    last = engine_bench.run(attempt_id='att-2', budget_ms=5000)[-1]
    assert (last.code, last.ran) == ('deadline_exceeded', 'no')
