"""Tests of the pacing of prompts sent to an engine."""

import hypothesis
import pytest
from hypothesis import strategies

from ivystep.prefill import prefill

TOKENS_PER_S = 10000.0


def ticket(tokens=1000, **more):
    values = {
        'tokens': tokens,
        'target_start_by': 1.0,
        'start_by': 4.0,
        'value_rate': 1.0,
        'max_gap_s': 0.3,
        'tokens_per_s': TOKENS_PER_S,
    }
    return prefill.Ticket(**{**values, **more})


def test_idle_engine_takes_any_prompt_at_once():
    """Guards against a prompt that is never sent because it is too long."""
    assert prefill.PrefillPacer().delay_s(ticket(50000), 0.0) == 0


STEP_S = 0.01
TOKENS_PER_EVENT = 3


def longest_pause_s(sent, tokens_per_s, chunk_tokens):
    """Return the longest time between two events of a stream.

    Args:
        sent: Time and tokens of each prompt sent to the engine meanwhile.
        tokens_per_s: Prefill rate of the engine.
        chunk_tokens: Most tokens that it prefills in one step.
    """
    now, longest = 0.0, 0.0
    waiting = list(sent)
    token_times = [now]
    while waiting or now < sent[-1][0] + 0.5:
        left = chunk_tokens
        while waiting and waiting[0][0] <= now and left:
            at, tokens = waiting.pop(0)
            prefilled = min(tokens, left)
            left -= prefilled
            if prefilled < tokens:
                waiting.insert(0, (at, tokens - prefilled))
        now += STEP_S + (chunk_tokens - left) / tokens_per_s
        token_times.append(now)
        if len(token_times) > TOKENS_PER_EVENT:
            longest = max(longest, now - token_times[-1 - TOKENS_PER_EVENT])
    return longest


def send_times(sizes, tokens_per_s):
    """Return when a pacer sends prompts that all wait from the start."""
    pacer, now, sent = prefill.PrefillPacer(), 0.0, []
    for tokens in sizes:
        one = ticket(tokens, tokens_per_s=tokens_per_s)
        now += pacer.delay_s(one, now)
        pacer.record_sent(one, now)
        sent.append((now, tokens))
    return sent


@hypothesis.given(
    sizes=strategies.lists(strategies.integers(50, 3000), min_size=2),
    tokens_per_s=strategies.sampled_from([14200.0, 19100.0]),
    chunk_tokens=strategies.sampled_from([512, 2048, 100000]),
)
@hypothesis.example([791, 3000], 14200.0, 100000)
def test_streams_never_pause_for_longer_than_callers_accept(
    sizes, tokens_per_s, chunk_tokens
):
    """Guards against long gaps in streams caused by other requests' prompts."""
    sent = send_times(sizes, tokens_per_s)
    assert longest_pause_s(sent, tokens_per_s, chunk_tokens) <= 0.3


@hypothesis.given(
    strategies.lists(strategies.integers(50, 2000), min_size=2, max_size=40)
)
def test_prompts_are_not_sent_faster_than_they_are_prefilled(sizes):
    """Guards against a prefill backlog beyond the longest accepted gap."""
    sent = send_times(sizes, TOKENS_PER_S)
    prefill_s = sum(sizes[:-1]) / TOKENS_PER_S
    assert sent[-1][0] >= prefill_s - 0.3


@pytest.mark.parametrize('tokens', [300, 1460, 2000])
def test_most_of_the_engine_time_is_left_for_prefill(tokens):
    """Guards against prompts that wait while the engine is idle."""
    sent = send_times([tokens] * 60, 19100.0)
    assert sum(size for _, size in sent) / sent[-1][0] >= 0.7 * 19100.0


def test_slow_engine_gets_its_prompts_further_apart():
    """Guards against one rate for all engines, which overloads slow ones."""
    fast, slow = prefill.PrefillPacer(), prefill.PrefillPacer()
    fast.record_sent(ticket(2000), 0.0)
    slow.record_sent(ticket(2000, tokens_per_s=TOKENS_PER_S / 2), 0.0)
    assert slow.delay_s(
        ticket(tokens_per_s=TOKENS_PER_S / 2), 0.0
    ) > fast.delay_s(ticket(), 0.0)


def test_timely_request_goes_before_a_late_one():
    """Guards against late requests that delay others beyond their target."""
    late = ticket(target_start_by=-1.0, value_rate=9.0)
    timely = ticket(value_rate=0.1)
    assert prefill.choose([late, timely], 0.0) is timely
    assert prefill.choose([late], 0.0) is late
