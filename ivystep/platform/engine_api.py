"""Implements the client of model engines: reports of state, and orders.

Answers do not name their call, and an engine may write one late or twice. So an
order has a connection of its own, and one that brought a refusal is not kept.
"""

import json
import types

import urllib3

from ivystep.core import errors, units
from ivystep.platform import upstream_entries
from ivystep.runtime import sockets
from ivystep.traffic import orders, upstreams

REPORT_PATH = '/ivystep/report'
ORDER_PATH = '/ivystep/order'
# An engine answers within a few milliseconds. An order without an answer is
# sent again, which is harmless: an engine accepts it at most once, because it
# states the expected number of earlier orders.
TIMEOUT = urllib3.Timeout(connect=0.4, read=0.3)
MAX_POOLS = 64
# Longest report that is read; one names some dozens of adapters.
MAX_ANSWER_BYTES = units.MIB
OUTCOME_BY_STATUS = types.MappingProxyType(
    {
        200: orders.Outcome.ALREADY_HELD,
        202: orders.Outcome.ACCEPTED,
        400: orders.Outcome.MALFORMED,
        409: orders.Outcome.OUT_OF_SEQUENCE,
        412: orders.Outcome.FENCED,
        421: orders.Outcome.OTHER_UPSTREAM,
    }
)


class EngineClient:
    """Calls engines, for reports over persistent connections."""

    def __init__(self) -> None:
        self._reports = _pool(MAX_POOLS, maxsize=4)

    def read_report(self, address: tuple[str, int]) -> upstreams.EngineReport:
        """Request an engine's state.

        Raises:
            errors.LinkError: The engine sent no valid report.
        """
        try:
            response = self._reports.request(
                'GET', _url(address, REPORT_PATH), preload_content=False
            )
            if response.status != 200:
                # Not read to its end, so that the connection is not kept.
                response.close()
                raise errors.LinkError(
                    f'status {response.status}',
                    step='report',
                    peer=_peer(address),
                )
            content = response.read(MAX_ANSWER_BYTES)
        except urllib3.exceptions.HTTPError as error:
            raise errors.LinkError(
                str(error), step='report', peer=_peer(address)
            ) from error
        response.release_conn()
        return upstream_entries.decode_report(content)

    def send_order(
        self, address: tuple[str, int], upstream_id: str, order: orders.Order
    ) -> orders.Outcome:
        """Send an order.

        Args:
            address: IP address and port of the engine.
            upstream_id: Id of the engine; an engine with another id refuses
                the order.
            order: The order.

        Raises:
            errors.LinkError: The engine may still execute the order later.
        """
        document = {
            'operation': 'load' if order.is_load else 'unload',
            'model': order.model,
            'expected': order.expected_orders,
            'holder': order.holder,
            'fencing_token': order.token,
        }
        if order.adapter:
            document['adapter'] = order.adapter
        if order.version is not None:
            document['version'] = order.version
        try:
            response = _pool().request(
                'POST',
                _url(address, ORDER_PATH),
                body=json.dumps(document).encode(),
                headers={
                    'Connection': 'close',
                    'Content-Type': 'application/json',
                    'Expect-Instance': upstream_id,
                },
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.LinkError(
                str(error), step='order', peer=_peer(address)
            ) from error
        outcome = OUTCOME_BY_STATUS.get(response.status)
        if outcome is None:
            raise errors.LinkError(
                f'status {response.status}', step='order', peer=_peer(address)
            )
        return outcome


def _pool(num_pools: int = 1, *, maxsize: int = 1) -> urllib3.PoolManager:
    return urllib3.PoolManager(
        num_pools=num_pools,
        maxsize=maxsize,
        timeout=TIMEOUT,
        retries=False,
        socket_options=sockets.RESET_ON_CLOSE_OPTIONS,
    )


def _url(address: tuple[str, int], path: str) -> str:
    return f'http://{_peer(address)}{path}'


def _peer(address: tuple[str, int]) -> str:
    return f'{address[0]}:{address[1]}'
