"""Orders to engines, as the gateway gives them."""

import dataclasses
import enum
import typing

from ivystep.traffic import upstreams


class Outcome(enum.Enum):
    """What an engine answers to an order.

    ``OUT_OF_SEQUENCE`` says that another order is in progress, or that the
    engine has accepted another number of orders than expected.
    """

    ACCEPTED = 'accepted'
    ALREADY_HELD = 'already_held'
    OUT_OF_SEQUENCE = 'out_of_sequence'
    FENCED = 'fenced'
    OTHER_UPSTREAM = 'other_upstream'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        is_load: Whether it loads; otherwise it unloads.
        adapter: Adapter of the model; empty for the model itself.
        version: Version to load; None takes the newest.
        expected_orders: Orders that the engine must have accepted before.
        holder: Host that gives the order.
        token: Fencing token of its lease.
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
        """What is loaded or unloaded."""
        name = f'{self.model}/{self.adapter}' if self.adapter else self.model
        return name if self.version is None else f'{name}@{self.version}'


class EngineApi(typing.Protocol):
    """What the gateway needs of an engine's interface."""

    def read_report(self, address: tuple[str, int]) -> upstreams.EngineReport:
        """Ask an engine for its state.

        Raises:
            errors.LinkError: It gave no report.
        """

    def send_order(
        self, address: tuple[str, int], upstream_id: str, order: Order
    ) -> Outcome:
        """Give an order.

        Raises:
            errors.LinkError: The engine may carry the order out later.
        """
