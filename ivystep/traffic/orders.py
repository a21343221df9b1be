"""Defines the gateway's orders to engines and their outcomes."""

import dataclasses
import enum
import typing

from ivystep.traffic import upstreams


class Outcome(enum.Enum):
    """An engine's answer to an order.

    ``OUT_OF_SEQUENCE`` means that another order is in progress, or that the
    number of orders that the engine has accepted is not the expected one.
    """

    ACCEPTED = 'accepted'
    ALREADY_HELD = 'already_held'
    OUT_OF_SEQUENCE = 'out_of_sequence'
    FENCED = 'fenced'
    OTHER_UPSTREAM = 'other_upstream'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to load or unload a model or an adapter.

    Attributes:
        is_load: Whether to load; otherwise unload.
        adapter: Adapter of the model; empty for the model itself.
        version: Version to load; None for the newest.
        expected_orders: Number of orders that the engine must have accepted
            before this one.
        holder: Host that sends the order.
        token: Fencing token of that host's lease.
    """

    is_load: bool
    model: str
    adapter: str
    version: int | None
    expected_orders: int
    holder: str
    token: int

    @property
    def target(self) -> str:
        """Name of the model or adapter, with its version if one is set."""
        name = f'{self.model}/{self.adapter}' if self.adapter else self.model
        return name if self.version is None else f'{name}@{self.version}'


class EngineApi(typing.Protocol):
    """The calls to engines that the gateway makes."""

    def read_report(self, engine: upstreams.Endpoint) -> upstreams.EngineReport:
        """Request an engine's state.

        Raises:
            errors.MisdirectedError: Another upstream is at the address.
            errors.LinkError: The engine sent no valid report.
        """

    def send_order(self, engine: upstreams.Endpoint, order: Order) -> Outcome:
        """Send an order.

        Raises:
            errors.LinkError: The engine may still execute the order later.
        """
