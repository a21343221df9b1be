"""Tests of the evidence against parts of prompts."""

import pytest

from ivystep.policy import crashing_parts

PART = 'p'
CRASH_INTERVAL_S = 3.0


class Evidence:
    """Crashes and answers, at times that advance with each crash."""

    def __init__(self):
        self.parts = crashing_parts.CrashingParts()
        self.now = 0.0
        self.crashes = 0

    def crash(self, times=1, *, has_begun=True, is_own=True, apart_s=None):
        for _ in range(times):
            self.now += CRASH_INTERVAL_S if apart_s is None else apart_s
            self.crashes += 1
            self.parts.add(
                PART,
                f'crash-{self.crashes}',
                self.now,
                self.now,
                has_begun=has_begun,
                is_own=is_own,
            )

    def answer(self, began_at):
        for part_id, crash_id in self.parts.on_answered([PART], began_at):
            self.parts.remove(part_id, crash_id)

    @property
    def refused_for_s(self):
        return self.parts.refused_for_s(PART, self.now)

    @property
    def may_try(self):
        return self.parts.may_try(PART, self.now, self.now)


@pytest.mark.parametrize(('has_begun', 'needed'), [(True, 3), (False, 4)])
def test_part_is_refused_after_a_few_crashes(has_begun, needed):
    """Guards against engines that end one after the other."""
    evidence = Evidence()
    evidence.crash(needed - 1, has_begun=has_begun)
    assert not evidence.refused_for_s
    evidence.crash(has_begun=has_begun)
    assert 0 < evidence.refused_for_s <= crashing_parts.TRIAL_RETRY_S


def test_part_is_refused_for_long_after_a_trial():
    """Guards against trials that crash engines without end."""
    evidence = Evidence()
    evidence.crash(crashing_parts.CRASHES_TO_END - 1)
    evidence.now += crashing_parts.TRIAL_AFTER_S
    assert evidence.may_try
    evidence.crash()
    evidence.now += crashing_parts.TRIAL_BY_ALL_S
    assert not evidence.may_try
    assert evidence.refused_for_s > crashing_parts.LATE_TRIAL_S / 2


def test_one_late_trial_follows_the_others():
    """Guards against a sound part that is refused for an hour."""
    evidence = Evidence()
    evidence.crash(crashing_parts.CRASHES_TO_END)
    evidence.now += crashing_parts.LATE_TRIAL_S
    assert evidence.may_try
    assert 0 < evidence.refused_for_s <= crashing_parts.TRIAL_RETRY_S


def test_crashes_at_one_moment_leave_a_trial():
    """Guards against a part refused for long because a rack lost its power."""
    evidence = Evidence()
    evidence.crash(9, apart_s=0.01)
    evidence.now += crashing_parts.TRIAL_AFTER_S
    assert evidence.may_try
    assert evidence.refused_for_s <= crashing_parts.TRIAL_RETRY_S


def test_trial_waits_for_the_answers_in_progress():
    """Guards against a trial that is needless, or ends with the others."""
    evidence = Evidence()
    evidence.crash(3)
    assert not evidence.may_try


def test_answer_that_began_later_clears_a_part():
    """Guards against a sound part that stays refused."""
    evidence = Evidence()
    evidence.crash(4)
    evidence.answer(began_at=evidence.now + 0.1)
    assert not evidence.refused_for_s


def test_answer_that_began_before_a_crash_does_not_clear_it():
    """Guards against long answers from before a part became harmful."""
    evidence = Evidence()
    evidence.crash(4)
    evidence.answer(began_at=CRASH_INTERVAL_S / 2)
    assert evidence.refused_for_s


def test_part_of_a_recent_answer_is_not_suspected():
    """Guards against rows for popular parts at each crash."""
    evidence = Evidence()
    evidence.answer(began_at=10.0)
    recent_s = crashing_parts.RECENT_ANSWER_S
    assert not evidence.parts.suspects([PART], 10.0 + recent_s / 2)
    assert evidence.parts.suspects([PART], 10.0 + recent_s) == [PART]


def test_trial_is_left_to_the_hosts_that_saw_the_last_crash():
    """Guards against one trial of each host at the same moment."""
    evidence = Evidence()
    evidence.crash(3, is_own=False)
    evidence.now += crashing_parts.TRIAL_AFTER_S
    assert not evidence.may_try
    evidence.now += crashing_parts.TRIAL_BY_ALL_S
    assert evidence.may_try


def test_old_crashes_expire():
    """Guards against a part that is refused for ever."""
    evidence = Evidence()
    evidence.crash(crashing_parts.CRASHES_TO_END)
    evidence.now += crashing_parts.RETENTION_S
    assert not evidence.refused_for_s


def test_memory_is_bounded():
    """Guards against memory that grows with the parts of callers."""
    evidence = Evidence()
    for number in range(crashing_parts.MAX_PARTS + 10):
        evidence.parts.on_answered([f'p-{number}'], 1.0)
    assert evidence.parts.suspects(['p-0'], 1.5) == ['p-0']
