"""The events that the choice among data centres writes to the log."""

import dataclasses
import typing
from collections.abc import Mapping

from ivystep.core import units
from ivystep.data_centres import balance
from ivystep.runtime import event_log


@dataclasses.dataclass(frozen=True, slots=True)
class CentreSharesChanged(event_log.Event):
    """The leader has changed which data centres a service's requests go to.

    Attributes:
        source: Data centre whose hosts send the requests.
        shares: Share of each destination; empty if the hosts keep to their own
            rule.
        demand: Requests in progress that the arrivals lead to, by data centre.
        capacity: Requests that the usable upstreams take at once, by data
            centre.
        crossing_ms: Delay of a crossing from the source, including its price,
            by data centre.
        age_ms: Age of the newest report of hosts, by data centre.
        run_ms: Mean time in progress of a request.
        unmet: Requests since the last line that found no capacity in the data
            centre that was drawn for them.
    """

    name: typing.ClassVar[str] = 'centre_shares_changed'

    service: str
    source: str
    shares: str
    demand: str
    capacity: str
    crossing_ms: str
    age_ms: str
    run_ms: int
    unmet: int

    @classmethod
    def from_decision(
        cls,
        service: str,
        source: str,
        shares: Mapping[str, float],
        load: balance.ServiceLoad,
        unmet: int,
    ) -> typing.Self:
        """Return the event of a decision.

        Args:
            service: The service.
            source: Data centre of the hosts.
            shares: The shares; empty if the hosts keep to their own rule.
            load: What the decision was made from.
            unmet: See the attribute.
        """
        centres = load.centre_by_name
        return cls(
            service,
            source,
            _field(shares, digits=2),
            _field({name: one.demand for name, one in centres.items()}),
            _field({name: one.capacity for name, one in centres.items()}),
            _field(
                {
                    name: load.crossing_of(source, name) * units.MS_PER_S
                    for name in centres
                    if name != source
                },
                digits=1,
            ),
            _field(
                {
                    name: one.age_s * units.MS_PER_S
                    for name, one in centres.items()
                }
            ),
            int(load.run_s * units.MS_PER_S),
            unmet,
        )


def _field(number_by_name: Mapping[str, float], digits: int = 0) -> str:
    """Return numbers by name as one log field."""
    return ','.join(
        f'{name}={number:.{digits}f}'
        for name, number in sorted(number_by_name.items())
    )
