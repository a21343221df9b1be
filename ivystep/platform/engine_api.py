"""Implements the client of model engines: reports of state, and orders.

An order without an answer is sent again, which is harmless: an engine accepts
it at most once, because it states the expected number of earlier orders.
"""

import json
import types

from ivystep.core import errors
from ivystep.platform import engine_connections, upstream_entries
from ivystep.traffic import orders, upstreams

REPORT_PATH = '/ivystep/report'
ORDER_PATH = '/ivystep/order'
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
    """Calls engines; see ``EngineConnections`` for what answers it believes."""

    def __init__(self) -> None:
        self._connections = engine_connections.EngineConnections()

    def read_report(self, address: tuple[str, int]) -> upstreams.EngineReport:
        """Request an engine's state.

        Raises:
            errors.LinkError: The engine sent no valid report.
        """
        answer = self._connections.send(
            address,
            engine_connections.Call(
                'report', 'GET', REPORT_PATH, may_be_earlier=True
            ),
        )
        if answer.status != 200:
            raise _refusal(answer, 'report', address)
        return upstream_entries.decode_report(answer.body)

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
        answer = self._connections.send(
            address,
            engine_connections.Call(
                'order',
                'POST',
                ORDER_PATH,
                json.dumps(document).encode(),
                (
                    ('Content-Type', 'application/json'),
                    ('Expect-Instance', upstream_id),
                ),
            ),
        )
        outcome = OUTCOME_BY_STATUS.get(answer.status)
        if outcome is None:
            raise _refusal(answer, 'order', address)
        return outcome


def _refusal(
    answer: engine_connections.Answer, step: str, address: tuple[str, int]
) -> errors.LinkError:
    return errors.LinkError(
        f'status {answer.status} ({answer.call_id})',
        step=step,
        peer=f'{address[0]}:{address[1]}',
    )
