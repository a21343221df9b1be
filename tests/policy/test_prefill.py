"""Tests of the pace at which prompts reach an engine."""

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.policy import prefill

PACE = 10000.0


def ticket(tokens=1000, **more):
    values = {
        'tokens': tokens,
        'target_start_by': 1.0,
        'start_by': 4.0,
        'value_rate': 1.0,
        'max_gap_s': 0.3,
        'tokens_per_s': PACE,
    }
    return prefill.Ticket(**{**values, **more})


def test_idle_engine_takes_any_prompt_at_once():
    """Guards against a long prompt that is never sent."""
    assert prefill.PrefillPacer().delay_s(ticket(50000), 0.0) == 0


STEP_S = 0.01
TOKENS_OF_AN_EVENT = 3


def longest_pause_s(sent, tokens_per_s, piece):
    """Return the longest time between two events of a stream.

    Args:
        sent: Time and tokens of each prompt that the engine gets meanwhile.
        tokens_per_s: Prefill rate at which it reads prompts.
        piece: Tokens of prompts that it reads in one step at most.
    """
    now, longest = 0.0, 0.0
    waiting = list(sent)
    made = [now]
    while waiting or now < sent[-1][0] + 0.5:
        left = piece
        while waiting and waiting[0][0] <= now and left:
            at, tokens = waiting.pop(0)
            read = min(tokens, left)
            left -= read
            if read < tokens:
                waiting.insert(0, (at, tokens - read))
        now += STEP_S + (piece - left) / tokens_per_s
        made.append(now)
        if len(made) > TOKENS_OF_AN_EVENT:
            longest = max(longest, now - made[-1 - TOKENS_OF_AN_EVENT])
    return longest


def let_through(sizes, tokens_per_s):
    """Return when a gate lets prompts through that all wait from the start."""
    gate, now, sent = prefill.PrefillPacer(), 0.0, []
    for tokens in sizes:
        one = ticket(tokens, tokens_per_s=tokens_per_s)
        now += gate.delay_s(one, now)
        gate.record_sent(one, now)
        sent.append((now, tokens))
    return sent


@hypothesis.given(
    sizes=strategies.lists(strategies.integers(50, 3000), min_size=2),
    tokens_per_s=strategies.sampled_from([14200.0, 19100.0]),
    piece=strategies.sampled_from([512, 2048, 100000]),
)
@hypothesis.example([791, 3000], 14200.0, 100000)
def test_streams_never_pause_for_longer_than_callers_accept(
    sizes, tokens_per_s, piece
):
    """Guards against streams that are late because of others' prompts."""
    sent = let_through(sizes, tokens_per_s)
    assert longest_pause_s(sent, tokens_per_s, piece) <= 0.3


@hypothesis.given(
    strategies.lists(strategies.integers(50, 2000), min_size=2, max_size=40)
)
def test_prompts_never_come_faster_than_they_are_read(sizes):
    """Guards against a backlog that is longer than callers accept a pause."""
    sent = let_through(sizes, PACE)
    reading_s = sum(sizes[:-1]) / PACE
    assert sent[-1][0] >= reading_s - 0.3


@pytest.mark.parametrize('tokens', [300, 1460, 2000])
def test_gate_leaves_most_of_the_engines_time_to_prompts(tokens):
    """Guards against prompts that wait while the engine has time for them."""
    sent = let_through([tokens] * 60, 19100.0)
    assert sum(size for _, size in sent) / sent[-1][0] >= 0.7 * 19100.0


def test_slow_engine_gets_its_prompts_further_apart():
    """Guards against engines that are slower than the others."""
    fast, slow = prefill.PrefillPacer(), prefill.PrefillPacer()
    fast.record_sent(ticket(2000), 0.0)
    slow.record_sent(ticket(2000, tokens_per_s=PACE / 2), 0.0)
    assert slow.delay_s(ticket(tokens_per_s=PACE / 2), 0.0) > fast.delay_s(
        ticket(), 0.0
    )


@pytest.mark.parametrize('tokens_per_s', [14200.0, 19100.0])
def test_pace_is_that_of_the_engine_for_prompts_of_all_sizes(tokens_per_s):
    """Guards against pauses because an engine is taken for a faster one.

    Short prompts take little longer than the first step, so an error in that
    step's time counts most for them.
    """
    pace = prefill.PrefillRate()
    sizes = [650, 4100, 900, 1460, 700, 2200, 646, 1110] * 4
    for tokens in sizes:
        pace.observe(tokens, 0.014 + tokens / tokens_per_s)
        assert pace.tokens_per_s < 1.05 * max(
            tokens_per_s, prefill.FIRST_TOKENS_PER_S
        )
    assert pace.tokens_per_s == pytest.approx(tokens_per_s, rel=0.05)


def test_pace_is_measured_on_long_prompts_and_bounded():
    """Guards against a gate that opens for good, or never."""
    pace = prefill.PrefillRate()
    pace.observe(10, 5.0)
    assert pace.tokens_per_s == prefill.FIRST_TOKENS_PER_S
    for _ in range(200):
        pace.observe(2000, 100.0)
    assert pace.tokens_per_s == pytest.approx(
        prefill.SLOWEST_TOKENS_PER_S, rel=0.01
    )
    for _ in range(200):
        pace.observe(2000, 0.0)
    assert pace.tokens_per_s == pytest.approx(
        prefill.FASTEST_TOKENS_PER_S, rel=0.01
    )


def test_timely_request_goes_before_a_late_one():
    """Guards against late requests that make others late as well."""
    late = ticket(target_start_by=-1.0, value_rate=9.0)
    timely = ticket(value_rate=0.1)
    assert prefill.choose([late, timely], 0.0) is timely
    assert prefill.choose([late], 0.0) is late
