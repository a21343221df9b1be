"""Tests of what hosts remember of parts that upstreams crashed under."""

import types as builtin_types

import pytest

from ivystep.gateway.requests import part_crashes
from ivystep.platform import crash_rows
from ivystep.policy import crashing_parts

PART = 'p'


class Clock:
    """A clock that the tests set."""

    def __init__(self):
        self.time = 1000.0

    def now(self):
        return self.time

    def wall_time(self):
        return self.time


class Writer:
    """Keeps the rows that a host writes."""

    def __init__(self):
        self.writes = []

    def write(self, row_write):
        self.writes.append(row_write)


@pytest.fixture
def clock(monkeypatch):
    fake = Clock()
    monkeypatch.setattr(part_crashes, 'clock', fake)
    return fake


@pytest.fixture
def parts(clock):
    return part_crashes.PartCrashes(Writer())


def request(*part_ids):
    progress = builtin_types.SimpleNamespace(head_at=None, is_settled=False)
    return builtin_types.SimpleNamespace(
        shared_parts=part_ids, progress=progress
    )


def upstream(number):
    return builtin_types.SimpleNamespace(
        upstream_id=f'u-{number}',
        entry=builtin_types.SimpleNamespace(incarnation='1'),
    )


def row(part_id, number, clock, *, has_begun=True):
    return crash_rows.PartCrash(
        part_id, f'u-{number}', '1', clock.time, has_begun=has_begun
    )


def test_crashes_whose_rows_arrive_together_count_apart(parts, clock):
    """Guards against a host that refuses nothing after the store was away."""
    found = []
    for number in range(crashing_parts.CRASHES_TO_END):
        clock.time += 3.0
        found.append(row(PART, number, clock))
    for crash in found:
        parts.add(crash)
    assert parts.refused_for_s(request(PART)) > 0


def test_rows_of_two_hosts_on_one_crash_count_once(parts, clock):
    """Guards against a sound part that is refused after two or three crashes.

    One host had a request with the part that had not begun, another one that
    had; the second row arrives 45 ms after the own one.
    """
    for number in range(2):
        clock.time += 5.0
        parts.on_crash(request(PART), upstream(number))
        clock.time += 0.045
        parts.add(row(PART, number, clock))
    assert parts.refused_for_s(request(PART)) == 0


def test_refused_request_takes_no_trial_of_another_part(parts, clock):
    """Guards against trials of a sound part taken by refused requests."""
    for number in range(crashing_parts.CRASHES_TO_END):
        clock.time += 3.0
        parts.add(row('bad', number, clock))
    for number in range(crashing_parts.BEGUN_TO_REFUSE):
        clock.time += 3.0
        parts.add(row('sound', number + 10, clock))
    clock.time += crashing_parts.TRIAL_BY_ALL_S
    assert parts.refused_for_s(request('sound', 'bad')) > 0
    assert parts.refused_for_s(request('sound')) == 0


def test_part_that_crashes_often_outlasts_parts_that_crashed_once(parts, clock):
    """Guards against a crashing part that is forgotten for rare sound ones."""
    for number in range(crashing_parts.CRASHES_TO_END):
        clock.time += 3.0
        parts.add(row(PART, number, clock))
    for number in range(crashing_parts.MAX_PARTS):
        parts.add(row(f'rare-{number}', 99, clock))
    assert parts.refused_for_s(request(PART)) > 0


def test_host_that_learned_of_its_own_crash_by_a_row_may_try(parts, clock):
    """Guards against a crash that no host takes for its own."""
    for number in range(crashing_parts.BEGUN_TO_REFUSE):
        clock.time += 3.0
        parts.add(row(PART, number, clock))
        clock.time += 0.001
        state = request(PART)
        state.progress.head_at = clock.time - 0.1
        parts.on_crash(state, upstream(number))
    clock.time += crashing_parts.TRIAL_AFTER_S
    assert parts.refused_for_s(request(PART)) == 0


def test_late_row_of_a_cleared_crash_does_not_count(parts, clock):
    """Guards against a cleared part that is refused by late rows."""
    crashes = []
    for number in range(crashing_parts.BEGUN_TO_REFUSE):
        clock.time += 3.0
        crash = row(PART, number, clock)
        parts.add(crash)
        crashes.append(crash)
    state = request(PART)
    state.progress.head_at = clock.time + 0.1
    clock.time += 2.0
    parts.on_completed(state)
    assert parts.refused_for_s(request(PART)) == 0
    for crash in crashes:
        clock.time += 0.1
        parts.add(crash)
    assert parts.refused_for_s(request(PART)) == 0


def test_five_crashes_within_a_second_leave_a_trial(parts, clock):
    """Guards against popular sound parts that stay refused for an hour.

    Five upstreams end one after the other 0.2 s apart, as when a lost request
    is sent again and crashes the next one. No answer goes on in between.
    """
    for number in range(crashing_parts.CRASHES_TO_END):
        clock.time += 0.2
        parts.add(row(PART, number, clock))
    clock.time += 2 * crashing_parts.TRIAL_BY_ALL_S
    assert parts.refused_for_s(request(PART)) == 0


def test_rows_that_are_read_with_a_late_clock_count_apart(parts, clock):
    """Guards against a restarted host that refuses nothing.

    Its wall clock is a minute behind that of the hosts that wrote the rows.
    """
    found = []
    for number in range(crashing_parts.CRASHES_TO_END):
        clock.time += 3.0
        found.append(row(PART, number, clock))
    clock.time -= 60.0
    for crash in found:
        parts.add(crash)
    assert parts.refused_for_s(request(PART)) > 0


def test_trial_that_is_not_sent_ends(parts, clock):
    """Guards against states of ended requests that are kept without end."""
    for number in range(crashing_parts.BEGUN_TO_REFUSE):
        clock.time += 3.0
        parts.add(row(PART, number, clock))
    clock.time += crashing_parts.TRIAL_BY_ALL_S
    assert parts.refused_for_s(request(PART)) == 0
    clock.time += crashing_parts.RETENTION_S
    parts.remove_expired()
    parts.refused_for_s(request(PART))
    assert not parts._trial_by_part


def test_host_that_saw_the_last_crash_may_try_beside_a_row_of_another(
    parts, clock
):
    """Guards against 10 s without a trial because two hosts saw a crash.

    The other host's request had begun, so its row on the same crash has a key
    of its own and arrives later.
    """
    for number in range(crashing_parts.BEGUN_TO_REFUSE):
        clock.time += 3.0
        parts.on_crash(request(PART), upstream(number))
        clock.time += 0.03
        parts.add(row(PART, number, clock))
    clock.time += crashing_parts.TRIAL_AFTER_S
    assert parts.refused_for_s(request(PART)) == 0


def test_crash_is_written_once_for_all_requests_with_a_part(clock):
    """Guards against equal writes for each of the requests of an upstream."""
    writer = Writer()
    parts = part_crashes.PartCrashes(writer)
    for _ in range(20):
        parts.on_crash(request(PART), upstream(1))
    assert len(writer.writes) == 1
