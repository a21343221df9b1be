"""Separates an engine's time to first token into latency and prefill.

Each prompt has a latency that prompts share: network hops, a step in progress
and the decode steps of the first event. Only the rest of the time occupies the
engine, in proportion to the prompt's tokens. Where a latency is taken for
prefill, the engine is booked for time that nobody uses.

The fit is that of Theil: the median slope over pairs of a shorter and a longer
prompt. It holds although a quarter of the prompts are cached in part, delayed
or slowed. The ranks of the slopes bound the latency, so that lengths that
hardly differ, or few prompts, change nothing.

Designed for some hundred prompts a second, of which at most 96 are fitted at a
time.
"""

import dataclasses
import math
import statistics
from collections.abc import Collection, Sequence

# Largest share of a batch beside which a prompt shows the engine's latency.
MAX_UNDISTURBED_FILL = 0.2
# Pairs of prompts with which a fit begins.
MIN_PAIRS = 12
# Least ratio of the lengths of a pair. Noise exceeds what shorter distances
# add to the time.
MIN_LENGTH_RATIO = 1.1
# Width of the interval of the slope, in square roots of the number of pairs:
# the true slope is outside it once in a hundred times.
INTERVAL_WIDTH = 1.3
# A latency is replaced if the interval excludes it by at least this time.
# The steps that make the tokens of a first event are shorter; they occupy the
# engine, and so count as prefill.
CLEAR_S = 0.03
# The same for a latency that is shorter than assumed, with which the engine
# seems faster than it is.
CLEAR_BELOW_S = 0.001
# The same for prompts beside other requests, whose times scatter more. Their
# latency is not learned; they only show that one which was learned is too long.
CLEAR_BESIDE_S = 0.01
# Largest scatter of a longer latency, relative to what it is longer. A latency
# is common to all prompts but for a step in progress. Waits for other requests
# scatter by half of their median if all lengths up to the longest are alike.
MAX_SCATTER_SHARE = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillSample:
    """A prompt that was prefilled while no other one was.

    Attributes:
        engine: Incarnation of the engine.
        tokens: Number of tokens of the prompt.
        first_event_s: Time to first token, in seconds.
        fill: Share of the engine's batch that other requests used.
    """

    engine: str
    tokens: int
    first_event_s: float
    fill: float = 0.0

    @property
    def is_undisturbed(self) -> bool:
        """Whether the time tells of the latency of the engine itself.

        At a full engine, prompts wait for the steps of other requests and for
        prompts that still lie in its queue. That time looks like latency but
        occupies the engine.
        """
        return self.fill <= MAX_UNDISTURBED_FILL


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyFit:
    """The latency that samples show, in seconds.

    Attributes:
        likely_s: The latency of the median slope, or a shorter one if the
            pairs are few or the interval is wide: a latency that is too long
            makes the engine seem faster than it is, and more is sent than it
            can read.
        lowest_s: Lower end of its interval.
        highest_s: Upper end of its interval.
        scatter_s: Time by which a quarter of the prompts at least are below
            the median, cached ones included.
    """

    likely_s: float
    lowest_s: float
    highest_s: float
    scatter_s: float = 0.0

    def is_longer_than(self, latency_s: float) -> bool:
        """Return whether the samples clearly show a longer latency."""
        is_common = self.scatter_s <= MAX_SCATTER_SHARE * (
            self.likely_s - latency_s
        )
        return is_common and self.lowest_s > latency_s + CLEAR_S

    def is_shorter_than(self, latency_s: float) -> bool:
        """Return whether the samples clearly show a shorter latency."""
        return self.highest_s < latency_s - CLEAR_BELOW_S

    def excludes(self, latency_s: float) -> bool:
        """Return whether a latency is too long, also beside other requests."""
        return self.highest_s < latency_s - CLEAR_BESIDE_S


def fit(samples: Collection[PrefillSample]) -> LatencyFit | None:
    """Fit the latency of prompts.

    Args:
        samples: The measurements.

    Returns:
        The fit; None if the lengths of too few prompts differ.
    """
    by_length = sorted(samples, key=lambda sample: sample.tokens)
    slopes = sorted(_slopes(by_length))
    if len(slopes) < MIN_PAIRS:
        return None
    middle = len(slopes) / 2
    outside = max(int(middle - INTERVAL_WIDTH * math.sqrt(len(slopes))), 0)
    middle_s = _intercept(by_length, statistics.median(slopes))
    lowest_s = _intercept(by_length, slopes[-1 - outside])
    caution = MIN_PAIRS / len(slopes)
    return LatencyFit(
        middle_s - caution * (middle_s - lowest_s),
        lowest_s,
        _intercept(by_length, slopes[outside]),
        _scatter_s(by_length, statistics.median(slopes)),
    )


def next_latency_s(
    found: LatencyFit | None,
    current_s: float,
    usual_s: float,
    shortest_s: float,
) -> float:
    """Return the latency to assume after a fit, in seconds.

    A latency that was learned remains while the samples agree with it, also
    if they would not suffice to learn it again. A true latency below the
    shortest one is not learned: the engine then only seems a little slower than
    it is, and gets less than it could read.

    Args:
        found: The fit.
        current_s: Latency assumed before, in seconds.
        usual_s: Latency that is assumed until another one is clear.
        shortest_s: Shortest latency that is learned.
    """
    if found is None:
        return current_s
    if found.is_longer_than(usual_s):
        return found.likely_s
    if usual_s > shortest_s and found.is_shorter_than(usual_s):
        return max(found.likely_s, shortest_s)
    if current_s > usual_s and found.is_shorter_than(current_s):
        return usual_s
    return current_s


def _slopes(by_length: Sequence[PrefillSample]) -> list[float]:
    """Return the seconds for each token that pairs of prompts show."""
    distance = (len(by_length) + 1) // 2
    return [
        (longer.first_event_s - shorter.first_event_s)
        / (longer.tokens - shorter.tokens)
        for shorter, longer in zip(
            by_length, by_length[distance:], strict=False
        )
        if longer.tokens >= MIN_LENGTH_RATIO * shorter.tokens
    ]


def _intercept(samples: Sequence[PrefillSample], slope: float) -> float:
    """Return the median time that the prompts' tokens leave, at least 0."""
    slope = max(slope, 0.0)
    return max(
        statistics.median(
            sample.first_event_s - slope * sample.tokens for sample in samples
        ),
        0.0,
    )


def _scatter_s(samples: Sequence[PrefillSample], slope: float) -> float:
    """Return by how much the lower quartile is below the median."""
    rests = [
        sample.first_event_s - max(slope, 0.0) * sample.tokens
        for sample in samples
    ]
    lower, middle, _ = statistics.quantiles(rests, method='inclusive')
    return middle - lower
