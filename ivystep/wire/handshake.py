"""The first message in both directions on each connection between processes.

The process that connects names the one that it means, because the address may
be another one's by then: a host may have been replaced, and its address given
to another host, another role or another program. Either side closes a
connection to the wrong process before it sends anything else on it.

A process of a release that names no addressee is served. The answer of any
release names the process that answers.
"""

import dataclasses
import typing

from ivystep.core import errors
from ivystep.wire import channel
from ivystep.wire.gen import ttypes

ACCEPT_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Addressee:
    """The process that a call means, and where it is expected to be.

    Attributes:
        process_id: Id of the process.
        address: IP address and port.
    """

    process_id: str
    address: tuple[str, int]

    def __str__(self) -> str:
        """Return id and address, as errors name the peer."""
        return f'{self.process_id} at {self.location}'

    @property
    def location(self) -> str:
        """The address, as logs name it."""
        return f'{self.address[0]}:{self.address[1]}'


def introduce(
    connection: channel.Channel,
    process_id: str,
    addressee: Addressee,
    timeout_s: float,
) -> None:
    """Name this process and the addressee, and check who answers.

    The connection is closed after an error.

    Args:
        connection: A new connection.
        process_id: Id of this process, which is an entry.
        addressee: The process that is meant.
        timeout_s: Longest wait for the answer, in seconds.

    Raises:
        errors.MisdirectedError: Another process has answered.
        errors.LinkError: No process of the system has answered.
    """
    hello = ttypes.Hello(
        process_id, '', 'entry', 0, addressee_id=addressee.process_id
    )
    answer = connection.request(hello, timeout_s)
    if isinstance(answer, ttypes.Hello):
        if answer.process_id == addressee.process_id:
            return
        error = errors.MisdirectedError(
            f'{answer.process_id} has answered',
            step='connect',
            peer=str(addressee),
        )
    else:
        error = errors.LinkError(
            'expected a hello', step='connect', peer=str(addressee)
        )
    connection.close()
    raise error


def accept(connection: channel.Channel, own: ttypes.Hello) -> None:
    """Check that a process that connects means this one, and name this one.

    A process that means another one is told who has answered, too.

    Args:
        connection: A new connection.
        own: The hello of this process.

    Raises:
        errors.MisdirectedError: The other side means another process.
        errors.LinkError: The connection ended or did not begin with a hello.
    """
    hello: typing.Any = connection.receive(ACCEPT_TIMEOUT_S)
    if not isinstance(hello, ttypes.Hello):
        raise errors.LinkError('expected a hello', peer=connection.peer)
    connection.send(own)
    if hello.addressee_id not in {None, own.process_id}:
        raise errors.MisdirectedError(
            f'{hello.process_id} means {hello.addressee_id}',
            step='accept',
            peer=connection.peer,
        )
    connection.on_identified()
