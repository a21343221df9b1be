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
from collections.abc import Collection

from ivystep.prefill import estimate

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
# The same for the last prompts of an engine that seems fast: cached prompts
# look fast, and several of them may follow each other.
UNCACHED_SHARE = 0.2
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
# A latency is fitted again after this part of the measurements is new.
REFIT_SHARE = 1 / 8
# Engines that are remembered; each incarnation has its own name.
MAX_ENGINES = 16384

PrefillSample = estimate.PrefillSample


class _Samples:
    """Last measurements of a service or of one engine, and their latency.

    Args:
        size: Measurements that are kept.
        keeps_latency: Whether a learned latency remains while the measurements
            fit both it and the usual one.
    """

    def __init__(self, size: int, *, keeps_latency: bool) -> None:
        self.samples: collections.deque[PrefillSample] = collections.deque(
            maxlen=size
        )
        self._undisturbed: collections.deque[PrefillSample] = collections.deque(
            maxlen=size
        )
        # Latency that these measurements show; None before they do.
        self._latency_s: float | None = None
        self._keeps_latency = keeps_latency
        self._unfitted = 0
        self._unchecked = 0

    def add(self, sample: PrefillSample, usual_s: float) -> None:
        """Add a measurement.

        Args:
            sample: The measurement.
            usual_s: Latency in seconds that is assumed until another is clear.
        """
        self.samples.append(sample)
        self._unchecked += 1
        if self._unchecked >= REFIT_SHARE * len(self.samples):
            self._unchecked = 0
            self._forget_contradicted()
        if not sample.is_undisturbed:
            return
        self._undisturbed.append(sample)
        self._unfitted += 1
        if self._unfitted >= REFIT_SHARE * len(self._undisturbed):
            self._unfitted = 0
            self._latency_s = self._fit(usual_s)

    def latency_s(self, usual_s: float) -> float:
        """Return the latency in seconds; the usual one before it is clear."""
        return usual_s if self._latency_s is None else self._latency_s

    def _forget_contradicted(self) -> None:
        """Forget a latency that the last measurements exclude.

        Other requests only add to the time. So a latency that is longer than
        the one which prompts beside others show was learned from prompts that
        seemed to be alone and were not.
        """
        if self._latency_s is None:
            return
        found = estimate.fit(self.samples)
        if found is not None and found.excludes(self._latency_s):
            self._latency_s = None
            self._undisturbed.clear()
            self._unfitted = 0

    def _fit(self, usual_s: float) -> float | None:
        current_s = self.latency_s(usual_s) if self._keeps_latency else usual_s
        latency_s = estimate.next_latency_s(
            estimate.fit(self._undisturbed),
            current_s,
            usual_s,
            USUAL_LATENCY_S,
        )
        return None if latency_s == usual_s else latency_s


class _ServiceRate:
    """Rate of the engines of one service."""

    def __init__(self) -> None:
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        self._samples = _Samples(SERVICE_SAMPLES, keeps_latency=True)

    @property
    def latency_s(self) -> float:
        """Latency of a prompt, in seconds."""
        return self._samples.latency_s(USUAL_LATENCY_S)

    def add(self, sample: PrefillSample) -> None:
        self._samples.add(sample, USUAL_LATENCY_S)
        self.tokens_per_s = _rate(self._samples.samples, self.latency_s)


class PrefillRates:
    """Prefill rates of all engines, as far as they are known to this host."""

    def __init__(self) -> None:
        self._service_by_engine: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._rate_by_service: collections.defaultdict[str, _ServiceRate] = (
            collections.defaultdict(_ServiceRate)
        )
        self._samples_by_engine: dict[str, _Samples] = {}

    def add_engine(self, engine: str, service: str) -> None:
        """Record the service of an engine; known engines are ignored."""
        if engine in self._service_by_engine:
            return
        self._service_by_engine[engine] = service
        self._samples_by_engine[engine] = _Samples(
            ENGINE_SAMPLES, keeps_latency=False
        )
        if len(self._service_by_engine) > MAX_ENGINES:
            oldest, _ = self._service_by_engine.popitem(last=False)
            del self._samples_by_engine[oldest]

    def record(self, sample: PrefillSample) -> None:
        """Add the measurement of a prompt; unknown engines are ignored."""
        service = self._service_by_engine.get(sample.engine)
        if service is None or sample.tokens < MIN_MEASURED_TOKENS:
            return
        usual = self._rate_by_service[service]
        usual.add(sample)
        self._samples_by_engine[sample.engine].add(sample, usual.latency_s)

    def tokens_per_s(self, engine: str) -> float:
        """Return the expected prefill rate of an engine."""
        service = self._service_by_engine.get(engine)
        if service is None:
            return INITIAL_TOKENS_PER_S
        usual = self._rate_by_service[service]
        samples = self._samples_by_engine[engine].samples
        if len(samples) < MIN_ENGINE_SAMPLES:
            return usual.tokens_per_s
        latency_s = self.latency_s(engine)
        last_samples = tuple(samples)[-LAST_ENGINE_SAMPLES:]
        last = _rate(last_samples, latency_s)
        if last > usual.tokens_per_s and latency_s > USUAL_LATENCY_S:
            # A few cached prompts do not make an engine faster.
            last = max(
                _rate(last_samples, latency_s, UNCACHED_SHARE),
                usual.tokens_per_s,
            )
        if _is_different(last, usual.tokens_per_s):
            return last
        own = _rate(samples, latency_s)
        if _is_different(own, usual.tokens_per_s):
            # The engine was slow until lately.
            return usual.tokens_per_s
        weight = len(samples) / (len(samples) + HALF_ENGINE_SAMPLES)
        return usual.tokens_per_s ** (1 - weight) * own**weight

    def latency_s(self, engine: str) -> float:
        """Return the latency in seconds that each prompt of an engine has."""
        service = self._service_by_engine.get(engine)
        if service is None:
            return USUAL_LATENCY_S
        return self._samples_by_engine[engine].latency_s(
            self._rate_by_service[service].latency_s
        )

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
        if rate is None:
            rate = _ServiceRate()
        usual_s = USUAL_LATENCY_S + tokens / rate.tokens_per_s
        return FIRST_EVENT_MARGIN * usual_s + rate.latency_s - USUAL_LATENCY_S

    def relative_speed(self, engine: str) -> float:
        """Return an engine's rate relative to its service's, at most 1."""
        service = self._service_by_engine.get(engine)
        if service is None:
            return 1.0
        usual = self._rate_by_service[service].tokens_per_s
        return min(self.tokens_per_s(engine) / usual, 1.0)


def _rate(
    samples: Collection[PrefillSample],
    latency_s: float,
    slower_share: float = SLOWER_SHARE,
) -> float:
    """Return a quantile of the rates at which prompts were prefilled."""
    rates = sorted(
        sample.tokens / _prefill_s(sample, latency_s) for sample in samples
    )
    typical = rates[min(int(slower_share * len(rates)), len(rates) - 1)]
    return min(max(typical, MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)


def _is_different(rate: float, usual: float) -> bool:
    return max(rate, usual) > DIFFERENT_RATIO * min(rate, usual)


def _prefill_s(sample: PrefillSample, latency_s: float) -> float:
    """Return the time for which a prompt occupied an engine, in seconds."""
    # As at an engine of the usual latency.
    first_event_s = sample.first_event_s - latency_s + USUAL_LATENCY_S
    return max(
        first_event_s - USUAL_LATENCY_S,
        MIN_PREFILL_SHARE * first_event_s,
        sample.tokens / MAX_TOKENS_PER_S,
    )
