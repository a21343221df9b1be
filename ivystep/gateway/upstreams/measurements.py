"""What this host measures of engines, and tells the leader.

The leader paces the prompts of all hosts and tells when a load is complete, but
sees the answers to its own requests only. The other hosts therefore send it
their measurements with the next heartbeat.
"""

import dataclasses
import typing
from collections.abc import Iterable

from ivystep.core import types
from ivystep.gateway.upstreams import upstream_state
from ivystep.policy import load_correction, load_times
from ivystep.prefill import prefill_rates

# Measurements of one kind that wait for the next heartbeat.
MAX_PENDING = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """Measurements for the leader."""

    samples: list[prefill_rates.PrefillSample]
    answers: list[load_correction.LoadAnswer]


class Measurements:
    """Measurements of this host and, on the leader, of all hosts.

    Args:
        rates: Prefill rates of the engines.
        times: Expected times of loads.

    Attributes:
        rates: See the argument.
        times: See the argument.
    """

    def __init__(
        self, rates: prefill_rates.PrefillRates, times: load_times.LoadTimes
    ) -> None:
        self.rates = rates
        self.times = times
        self._samples: list[prefill_rates.PrefillSample] = []
        self._answers: list[load_correction.LoadAnswer] = []

    @classmethod
    def empty(cls) -> typing.Self:
        """Return measurements of a host that has measured nothing yet."""
        return cls(prefill_rates.PrefillRates(), load_times.LoadTimes())

    def tokens_per_s(self, upstream: upstream_state.Upstream) -> float:
        """Return the expected prefill rate of an engine."""
        return self.rates.tokens_per_s(upstream.entry.incarnation)

    def latency_s(self, upstream: upstream_state.Upstream) -> float:
        """Return the expected latency in seconds of an engine's prompts."""
        return self.rates.latency_s(upstream.entry.incarnation)

    def record_prefill(
        self,
        upstream: upstream_state.Upstream,
        tokens: int,
        first_event_s: float,
        fill: float,
    ) -> None:
        """Record a prompt that was prefilled alone.

        Args:
            upstream: The engine.
            tokens: Number of tokens of the prompt.
            first_event_s: Time to first token, in seconds.
            fill: Share of the engine's batch that other requests used.
        """
        sample = prefill_rates.PrefillSample(
            upstream.entry.incarnation, tokens, first_event_s, fill
        )
        self.rates.record(sample)
        if len(self._samples) < MAX_PENDING:
            self._samples.append(sample)

    def record_answer(
        self,
        upstream_id: str,
        ref: types.AdapterRef,
        since_s: float,
        *,
        is_held: bool,
    ) -> None:
        """Record the answer to a request that was sent after a load.

        Args:
            upstream_id: The engine.
            ref: The adapter.
            since_s: See ``load_correction.LoadAnswer``.
            is_held: Whether the adapter was resident.
        """
        answer = load_correction.LoadAnswer(
            upstream_id, ref.lora_name, since_s, is_held
        )
        self.times.record_answer(answer)
        if len(self._answers) < MAX_PENDING:
            self._answers.append(answer)

    def take(self) -> Taken:
        """Return the measurements since the last call."""
        taken = Taken(self._samples, self._answers)
        self._samples = []
        self._answers = []
        return taken

    def apply(
        self,
        samples: Iterable[prefill_rates.PrefillSample],
        answers: Iterable[load_correction.LoadAnswer],
    ) -> None:
        """Apply the measurements of another host on the leader."""
        for sample in samples:
            self.rates.record(sample)
        for answer in answers:
            self.times.record_answer(answer)
