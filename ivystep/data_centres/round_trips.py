"""Measures round trips between data centres by the time to connect.

A host that is busy notices a connection late, so the smallest time within a
minute counts. It follows a link that becomes slower within two halves of it.
"""

import dataclasses
import math
from collections.abc import Mapping

# Time in seconds after which a smallest value starts anew.
HALF_WINDOW_S = 30.0


class SmallestTime:
    """Smallest time to connect to one upstream, of the last minute or so."""

    def __init__(self) -> None:
        self._current_s = math.inf
        self._previous_s = math.inf
        self._since = -math.inf

    def record(self, connect_s: float, now: float) -> None:
        """Record the time that a connection took.

        Args:
            connect_s: The time in seconds.
            now: Current time in seconds.
        """
        if now - self._since > HALF_WINDOW_S:
            self._previous_s = self._current_s
            self._current_s = math.inf
            self._since = now
        self._current_s = min(self._current_s, connect_s)

    @property
    def seconds(self) -> float:
        """The smallest time; infinite before the first connection."""
        return min(self._current_s, self._previous_s)


@dataclasses.dataclass(frozen=True, slots=True)
class HostTrips:
    """What one host has measured.

    Attributes:
        data_centre: Data centre of the host.
        trip_s_by_name: Round trip to each data centre, in seconds.
    """

    data_centre: str
    trip_s_by_name: Mapping[str, float]


class RoundTrips:
    """Round trips between data centres, as told to the leader."""

    def __init__(self) -> None:
        self._trips_by_host: dict[str, HostTrips] = {}

    def record(self, host: str, trips: HostTrips) -> None:
        """Record what a host has measured."""
        self._trips_by_host[host] = trips

    def forget(self, host: str) -> None:
        """Drop what a host that has disconnected has measured."""
        self._trips_by_host.pop(host, None)

    def smallest(self) -> dict[tuple[str, str], float]:
        """Return the smallest round trips by source and destination."""
        smallest_s: dict[tuple[str, str], float] = {}
        for trips in self._trips_by_host.values():
            for destination, trip_s in trips.trip_s_by_name.items():
                pair = (trips.data_centre, destination)
                known_s = smallest_s.get(pair, math.inf)
                smallest_s[pair] = min(known_s, trip_s)
        return smallest_s


def added_s(
    trip_s_by_pair: Mapping[tuple[str, str], float],
    source: str,
    destination: str,
) -> float:
    """Return what a crossing adds to a request, in seconds.

    Args:
        trip_s_by_pair: Smallest round trips by source and destination.
        source: Data centre of the host.
        destination: Data centre of the upstream.

    Returns:
        The longest known one if neither direction has been measured; 0 if none
        has.
    """
    trip_s = min(
        trip_s_by_pair.get((source, destination), math.inf),
        trip_s_by_pair.get((destination, source), math.inf),
    )
    if math.isinf(trip_s):
        return max(trip_s_by_pair.values(), default=0.0)
    return max(trip_s - trip_s_by_pair.get((source, source), 0.0), 0.0)
