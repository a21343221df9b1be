"""Estimates how fast engines prefill prompts, from the times to first token.

Engines of one service are usually alike, so the prompts of all of them tell
the rate of the service, and a new engine starts with it. The more prompts of
its own an engine has prefilled, the more they count. An engine whose last ones
differ clearly from the service is slow or of another kind and gets their rate.

A prompt is delayed by the steps of the requests that run beside it, and some
of its parts may be cached. Neither is known here, so the estimate is a quantile
of the measured rates, which a few delayed or cached prompts do not move.
"""

import collections
import dataclasses
from collections.abc import Collection

# Prefill rate of a service before its first measurement.
INITIAL_TOKENS_PER_S = 15000.0
# Shorter prompts say little about the prefill rate.
MIN_MEASURED_TOKENS = 256
# Time to first token of a very short prompt: two network hops and a step.
USUAL_LATENCY_S = 0.012
# Ratio of the time to first token beside other requests to that of a prompt
# alone.
FIRST_EVENT_MARGIN = 1.5
# Smallest share of the time to first token that is prefill.
MIN_PREFILL_SHARE = 0.25
# Share of the prompts that are prefilled more slowly than the estimate.
SLOWER_SHARE = 0.6
# Measurements that are kept of a service and of an engine.
SERVICE_SAMPLES = 96
ENGINE_SAMPLES = 24
# Measurements of an engine that count as much as those of its service.
HALF_ENGINE_SAMPLES = 6
# Last measurements of an engine that count alone, and the least number of them,
# if their rate differs from that of the service by at least this ratio.
LAST_ENGINE_SAMPLES = 7
MIN_ENGINE_SAMPLES = 3
DIFFERENT_RATIO = 1.7
# Bounds of an estimate, so that extreme measurements neither stop all prompts
# nor send every one at once.
MIN_TOKENS_PER_S = 1000.0
MAX_TOKENS_PER_S = 1000000.0
# Engines that are remembered; each incarnation has its own name.
MAX_ENGINES = 16384


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillSample:
    """A prompt that was prefilled while no other one was.

    Attributes:
        engine: Incarnation of the engine.
        tokens: Number of tokens of the prompt.
        first_event_s: Time to first token, in seconds.
    """

    engine: str
    tokens: int
    first_event_s: float


class _ServiceRate:
    """Rate of the engines of one service."""

    def __init__(self) -> None:
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        self._samples: collections.deque[PrefillSample] = collections.deque(
            maxlen=SERVICE_SAMPLES
        )

    def add(self, sample: PrefillSample) -> None:
        self._samples.append(sample)
        self.tokens_per_s = _rate(self._samples)


class PrefillRates:
    """Prefill rates of all engines, as far as they are known to this host."""

    def __init__(self) -> None:
        self._service_by_engine: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._rate_by_service: collections.defaultdict[str, _ServiceRate] = (
            collections.defaultdict(_ServiceRate)
        )
        self._samples_by_engine: dict[
            str, collections.deque[PrefillSample]
        ] = {}

    def add_engine(self, engine: str, service: str) -> None:
        """Record the service of an engine; known engines are ignored."""
        if engine in self._service_by_engine:
            return
        self._service_by_engine[engine] = service
        self._samples_by_engine[engine] = collections.deque(
            maxlen=ENGINE_SAMPLES
        )
        if len(self._service_by_engine) > MAX_ENGINES:
            oldest, _ = self._service_by_engine.popitem(last=False)
            del self._samples_by_engine[oldest]

    def record(self, sample: PrefillSample) -> None:
        """Add the measurement of a prompt; unknown engines are ignored."""
        service = self._service_by_engine.get(sample.engine)
        if service is None or sample.tokens < MIN_MEASURED_TOKENS:
            return
        self._rate_by_service[service].add(sample)
        self._samples_by_engine[sample.engine].append(sample)

    def tokens_per_s(self, engine: str) -> float:
        """Return the expected prefill rate of an engine."""
        service = self._service_by_engine.get(engine)
        if service is None:
            return INITIAL_TOKENS_PER_S
        usual = self._rate_by_service[service]
        samples = self._samples_by_engine[engine]
        if len(samples) < MIN_ENGINE_SAMPLES:
            return usual.tokens_per_s
        last = _rate(tuple(samples)[-LAST_ENGINE_SAMPLES:])
        if _is_different(last, usual.tokens_per_s):
            return last
        own = _rate(samples)
        if _is_different(own, usual.tokens_per_s):
            # The engine was slow until lately.
            return usual.tokens_per_s
        weight = len(samples) / (len(samples) + HALF_ENGINE_SAMPLES)
        return usual.tokens_per_s ** (1 - weight) * own**weight

    def first_event_s(self, service: str, tokens: int) -> float:
        """Return the time in which a prompt usually gets its first event.

        Args:
            service: The service.
            tokens: Number of tokens of the prompt.

        Returns:
            Time in seconds after the prompt was sent, with a margin for other
            requests in the batch.
        """
        rate = self._rate_by_service.get(service)
        tokens_per_s = rate.tokens_per_s if rate else INITIAL_TOKENS_PER_S
        return FIRST_EVENT_MARGIN * (USUAL_LATENCY_S + tokens / tokens_per_s)

    def relative_speed(self, engine: str) -> float:
        """Return an engine's rate relative to its service's, at most 1."""
        service = self._service_by_engine.get(engine)
        if service is None:
            return 1.0
        usual = self._rate_by_service[service].tokens_per_s
        return min(self.tokens_per_s(engine) / usual, 1.0)


def _rate(samples: Collection[PrefillSample]) -> float:
    """Return the quantile of the rates at which prompts were prefilled."""
    rates = sorted(sample.tokens / _prefill_s(sample) for sample in samples)
    typical = rates[min(int(SLOWER_SHARE * len(rates)), len(rates) - 1)]
    return min(max(typical, MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)


def _is_different(rate: float, usual: float) -> bool:
    return max(rate, usual) > DIFFERENT_RATIO * min(rate, usual)


def _prefill_s(sample: PrefillSample) -> float:
    return max(
        sample.first_event_s - USUAL_LATENCY_S,
        MIN_PREFILL_SHARE * sample.first_event_s,
    )
