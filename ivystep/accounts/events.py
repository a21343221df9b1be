"""The events on client accounts that are written to the log."""

import dataclasses
import logging
import typing

from ivystep.runtime import event_log


@dataclasses.dataclass(frozen=True, slots=True)
class StreamsRevoked(event_log.Event):
    """Running streams were ended because their API keys were removed.

    Attributes:
        version: Configuration version that removed the keys.
        streams: Number of streams.
    """

    name: typing.ClassVar[str] = 'streams_revoked'
    level: typing.ClassVar[int] = logging.WARNING

    version: int
    streams: int
