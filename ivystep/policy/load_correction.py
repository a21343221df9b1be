"""Corrects expected load times by the answers to the first requests.

An engine refuses a request for an adapter that is not resident yet. A request
that is sent when its adapter is expected to be resident therefore tells whether
the load took longer. Reports of the engine show a load only later, by a lag
that differs between platforms.

A refusal costs a caller more than a request that is sent a little later, so the
correction grows at once and shrinks slowly.
"""

import collections
import dataclasses

# Added after a refusal, as a share of the expected time, and in any case.
GROWTH_SHARE = 0.04
MIN_GROWTH_S = 0.004
# Growths per accepted request by which the correction shrinks. The share
# doubles with every so many accepted requests in a row, so many times at most.
SHRINK_SHARE = 1 / 40
ACCEPTED_TO_DOUBLE = 10
MAX_DOUBLINGS = 4
# An adapter that is refused longer after it was expected is not resident for
# another reason.
MAX_REFUSAL_S = 0.5
# A request that is accepted later does not tell that the load was shorter.
MAX_TIMELY_S = 0.1
# Loads that are remembered until their answers arrive.
MAX_LOADS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class LoadAnswer:
    """The answer to a request that was sent after a load.

    Attributes:
        upstream_id: The engine.
        adapter: Name of the adapter, with its version.
        since_s: Time in seconds from when the adapter was expected to be
            resident to when the request was sent.
        is_held: Whether the adapter was resident.
    """

    upstream_id: str
    adapter: str
    since_s: float
    is_held: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _ExpectedLoad:
    is_cached: bool
    expected_s: float


class LoadCorrection:
    """Corrections of the expected times of both kinds of load."""

    def __init__(self) -> None:
        self._correction_s = {True: 0.0, False: 0.0}
        self._known = {True: False, False: False}
        self._accepted_in_row = {True: 0, False: 0}
        self._confirmed: set[tuple[str, str]] = set()
        self._load_by_key: collections.OrderedDict[
            tuple[str, str], _ExpectedLoad
        ] = collections.OrderedDict()

    def corrected_s(self, expected_s: float, *, is_cached: bool) -> float:
        """Return the corrected duration of a load in seconds.

        Args:
            expected_s: Duration that reports of the engines suggest.
            is_cached: Whether the engine's host has a copy.
        """
        return max(expected_s + self._correction_s[is_cached], 0.0)

    def is_known(self, *, is_cached: bool) -> bool:
        """Return whether answers have corrected this kind of load."""
        return self._known[is_cached]

    def record_load(
        self,
        upstream_id: str,
        adapter: str,
        expected_s: float,
        *,
        is_cached: bool,
    ) -> None:
        """Record a load that was ordered.

        Args:
            upstream_id: The engine.
            adapter: Name of the adapter, with its version.
            expected_s: Corrected duration in seconds.
            is_cached: Whether the engine's host has a copy.
        """
        self._confirmed.discard((upstream_id, adapter))
        self._load_by_key[upstream_id, adapter] = _ExpectedLoad(
            is_cached, expected_s
        )
        if len(self._load_by_key) > MAX_LOADS:
            oldest, _ = self._load_by_key.popitem(last=False)
            self._confirmed.discard(oldest)

    def record_answer(self, answer: LoadAnswer, expected_s: float) -> None:
        """Correct the expected time by an answer.

        Args:
            answer: The answer; one after an unknown load is ignored.
            expected_s: Present corrected duration of that kind of load.
        """
        load = self._load_by_key.get((answer.upstream_id, answer.adapter))
        if load is None:
            return
        if answer.is_held:
            self._confirmed.add((answer.upstream_id, answer.adapter))
        growth_s = max(GROWTH_SHARE * load.expected_s, MIN_GROWTH_S)
        if not answer.is_held and answer.since_s <= MAX_REFUSAL_S:
            # Several requests may tell of the same load.
            wanted_s = load.expected_s + answer.since_s + growth_s
            missing_s = max(wanted_s - expected_s, 0.0)
            self._accepted_in_row[load.is_cached] = 0
            self._correct(load, missing_s)
        elif answer.is_held and answer.since_s <= MAX_TIMELY_S:
            self._accepted_in_row[load.is_cached] += 1
            share = SHRINK_SHARE * 2 ** min(
                self._accepted_in_row[load.is_cached] / ACCEPTED_TO_DOUBLE,
                MAX_DOUBLINGS,
            )
            self._correct(load, -share * growth_s)

    def is_confirmed(self, upstream_id: str, adapter: str) -> bool:
        """Return whether a request was accepted after the last load."""
        return (upstream_id, adapter) in self._confirmed

    def is_cached(self, answer: LoadAnswer) -> bool:
        """Return whether an answer is about a load of a cached adapter."""
        load = self._load_by_key.get((answer.upstream_id, answer.adapter))
        return load is not None and load.is_cached

    def _correct(self, load: _ExpectedLoad, change_s: float) -> None:
        self._correction_s[load.is_cached] += change_s
        self._known[load.is_cached] = True
