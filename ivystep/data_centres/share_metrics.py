"""Metrics of the choice among data centres."""

import collections

import aioprometheus

from ivystep.data_centres import shares
from ivystep.metrics import registry

MAX_SERVICE_LABELS = 64
MAX_CENTRE_LABELS = 16


class ShareMetrics:
    """The metrics of one host.

    Args:
        metrics: Owns the registry that publishes them.
    """

    def __init__(self, metrics: registry.Metrics) -> None:
        self._services = registry.BoundedLabel(MAX_SERVICE_LABELS)
        self._centres = registry.BoundedLabel(MAX_CENTRE_LABELS)
        # A counter of the library takes longer than the draw of a request.
        self._pending: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._shown: set[tuple[str, str]] = set()
        self._requests = aioprometheus.Counter(
            'ivystep_data_centre_requests_total',
            'Requests of this host by the data centre of their upstream, and '
            'whether they followed the shares of the leader.',
            registry=metrics.registry,
        )
        self._share = aioprometheus.Gauge(
            'ivystep_data_centre_share',
            "Share of a service's requests that this host sends to a data "
            'centre, as the leader decided; none is the rule of the hosts.',
            registry=metrics.registry,
        )

    def count(self, service: str, destination: str, rule: str) -> None:
        """Count a request that was placed.

        Args:
            service: Its service.
            destination: Data centre of the upstream.
            rule: ``share`` if it was drawn, ``unmet`` if it was drawn and sent
                elsewhere, ``host`` if no shares were in force.
        """
        self._pending[service, destination, rule] += 1

    def show(self, told: shares.SharesByService) -> None:
        """Publish the requests since the last call and the shares in force.

        Args:
            told: Shares by service and destination.
        """
        self._publish_requests()
        present = {
            (service, name): share
            for service, found in told.items()
            for name, share in found.items()
        }
        for service, name in self._shown - present.keys():
            self._share.set(self._labels(service, name), 0)
        for (service, name), share in present.items():
            self._share.set(self._labels(service, name), share)
        self._shown = set(present)

    def _publish_requests(self) -> None:
        for (service, destination, rule), count in self._pending.items():
            labels = {**self._labels(service, destination), 'rule': rule}
            self._requests.add(labels, count)
        self._pending.clear()

    def _labels(self, service: str, destination: str) -> dict[str, str]:
        return {
            'service': self._services.value_for(service),
            'destination': self._centres.value_for(destination),
        }
