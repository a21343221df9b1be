"""The events of the origins of streams in the gateway's log."""

import dataclasses
import logging
import typing

from ivystep.runtime import event_log


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsRecorded(event_log.Event):
    """This host wrote the software versions of a service to the store.

    Attributes:
        versions: The versions of the last minute.
        gone: Number of them that have no upstream any more.
        era: Era of the store in which the row was written.
        is_complete: Whether no version of the last minute is missing.
        store_version: Store version of the row.
    """

    name: typing.ClassVar[str] = 'versions_recorded'

    service: str
    versions: str
    gone: int
    era: int
    is_complete: bool
    store_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class OriginResolved(event_log.Event):
    """A caller resumes a stream, and the version that began it is known.

    Attributes:
        resumed: The request that began the stream.
        source: How it is known: ``own`` stream of this host, ``row`` in the
            store, or ``only`` version of the last minute.
    """

    name: typing.ClassVar[str] = 'origin_resolved'

    request_id: str
    resumed: str
    service: str
    software_version: str
    source: str


@dataclasses.dataclass(frozen=True, slots=True)
class OriginUnknown(event_log.Event):
    """A caller resumes a stream of which nobody knows the version.

    Attributes:
        resumed: The request that began the stream; empty if not named.
        reason: ``store`` did not answer, knowledge is ``incomplete``,
            ``several`` versions are possible, or ``none`` is.
        versions: The versions that are possible, with their services.
    """

    name: typing.ClassVar[str] = 'origin_unknown'
    level: typing.ClassVar[int] = logging.WARNING

    request_id: str
    resumed: str
    route: str
    reason: str
    versions: str


@dataclasses.dataclass(frozen=True, slots=True)
class OriginLate(event_log.Event):
    """The first event of a stream was passed on before its origin's row.

    If this host ends before the row is written, the stream can't be resumed.

    Attributes:
        waited_ms: Time for which the event was held back.
    """

    name: typing.ClassVar[str] = 'origin_late'
    level: typing.ClassVar[int] = logging.WARNING

    request_id: str
    upstream: str
    waited_ms: int
