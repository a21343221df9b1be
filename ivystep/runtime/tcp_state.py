"""Reads what the kernel knows of a TCP connection: ``struct tcp_info``.

The layout is that of Linux's ``tcp.h``; the kernel only ever adds fields at its
end. Times are in milliseconds there.
"""

import dataclasses
import socket
import struct
import typing

from ivystep.core import units

_SIZE = 232
# State, seven other bytes, and the words up to the last acknowledgement.
_HEAD = struct.Struct('=8B13I')
_UNACKNOWLEDGED = 12
_LAST_ACK = 20
_ACKNOWLEDGED_BYTES = struct.Struct('=Q')
_ACKNOWLEDGED_BYTES_AT = 120
# Sent and received segments.
_SEGMENTS = struct.Struct('=II')
_SEGMENTS_AT = 136
_UNSENT_BYTES = struct.Struct('=I')
_UNSENT_BYTES_AT = 144
# Before this field, which Linux has since 4.6, the rest is of no use here.
_MIN_SIZE = _UNSENT_BYTES_AT + _UNSENT_BYTES.size


@dataclasses.dataclass(frozen=True, slots=True)
class TcpState:
    """The state of one connection.

    Attributes:
        since_ack_s: Time since the peer's kernel has acknowledged anything,
            also without taking a byte, in seconds.
        acknowledged_bytes: Bytes that the peer's kernel has taken so far.
        sent_segments: Segments sent so far, repeated ones and probes included.
        unacknowledged_segments: Segments in flight.
        unsent_bytes: Bytes that wait until the peer has room for them.
    """

    since_ack_s: float
    acknowledged_bytes: int
    sent_segments: int
    unacknowledged_segments: int
    unsent_bytes: int

    @classmethod
    def of_connection(cls, connection: socket.socket) -> typing.Self | None:
        """Read the state of a connection.

        Args:
            connection: A TCP socket that has been connected.

        Returns:
            None if the socket is closed or the kernel does not tell.
        """
        try:
            info = connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _SIZE
            )
        except OSError:
            return None
        if len(info) < _MIN_SIZE:
            return None
        head = _HEAD.unpack_from(info)
        segments = _SEGMENTS.unpack_from(info, _SEGMENTS_AT)
        acknowledged = _ACKNOWLEDGED_BYTES.unpack_from(
            info, _ACKNOWLEDGED_BYTES_AT
        )
        unsent = _UNSENT_BYTES.unpack_from(info, _UNSENT_BYTES_AT)
        if not any(segments):
            # No connection opens without a segment: the fields are there, but
            # they are not filled in.
            return None
        return cls(
            since_ack_s=head[_LAST_ACK] / units.MS_PER_S,
            acknowledged_bytes=acknowledged[0],
            sent_segments=segments[0],
            unacknowledged_segments=head[_UNACKNOWLEDGED],
            unsent_bytes=unsent[0],
        )

    @property
    def is_settled(self) -> bool:
        """Whether the peer's kernel has taken all that was written."""
        return not (self.unacknowledged_segments or self.unsent_bytes)
