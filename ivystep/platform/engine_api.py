"""Implements the client of model engines: reports of state, and orders.

An order without an answer is sent again, which is harmless: an engine accepts
it at most once, because it states the expected number of earlier orders.
"""

import dataclasses
import json
import types

from ivystep.core import errors
from ivystep.platform import engine_connections, upstream_entries
from ivystep.traffic import orders, upstreams

REPORT_PATH = '/ivystep/report'
ORDER_PATH = '/ivystep/order'
# Another upstream than the expected one.
MISDIRECTED_STATUS = 421
OUTCOME_BY_STATUS = types.MappingProxyType(
    {
        200: orders.Outcome.ALREADY_HELD,
        202: orders.Outcome.ACCEPTED,
        400: orders.Outcome.MALFORMED,
        409: orders.Outcome.OUT_OF_SEQUENCE,
        412: orders.Outcome.FENCED,
        MISDIRECTED_STATUS: orders.Outcome.OTHER_UPSTREAM,
    }
)


class EngineClient:
    """Calls engines; see ``EngineConnections`` for what answers it believes."""

    def __init__(self) -> None:
        self._connections = engine_connections.EngineConnections()

    def read_report(self, engine: upstreams.Endpoint) -> upstreams.EngineReport:
        """Request an engine's state.

        Args:
            engine: The engine; another upstream at its address refuses.

        Raises:
            errors.MisdirectedError: Another upstream is at the address.
            errors.LinkError: The engine sent no valid report.
        """
        call = engine_connections.Call(
            engine, 'report', 'GET', REPORT_PATH, may_be_earlier=True
        )
        answer = self._connections.send(call)
        if answer.status != 200:
            raise _refusal(answer, call)
        report = upstream_entries.decode_report(answer.body)
        return dataclasses.replace(report, asked_at=answer.asked_at)

    def send_order(
        self, engine: upstreams.Endpoint, order: orders.Order
    ) -> orders.Outcome:
        """Send an order.

        Args:
            engine: The engine; another upstream at its address refuses.
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
        call = engine_connections.Call(
            engine,
            'order',
            'POST',
            ORDER_PATH,
            json.dumps(document).encode(),
            (('Content-Type', 'application/json'),),
        )
        answer = self._connections.send(call)
        outcome = OUTCOME_BY_STATUS.get(answer.status)
        if outcome is None:
            raise _refusal(answer, call)
        return outcome


def _refusal(
    answer: engine_connections.Answer, call: engine_connections.Call
) -> errors.LinkError:
    is_misdirected = answer.status == MISDIRECTED_STATUS
    error_type = errors.MisdirectedError if is_misdirected else errors.LinkError
    return error_type(
        f'status {answer.status} ({answer.call_id})',
        step=call.step,
        peer=str(call.endpoint),
    )
