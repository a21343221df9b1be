"""Ends attempts that wait at an engine with a version that is too old.

A request begins on the version with which it was sent. While it waits in the
queue of an engine, a newer version may be named and the time of its own may
pass. The attempt is then ended before the engine begins it: closing its
connection takes it out of the queue.
"""

import collections
import contextlib
import dataclasses
import typing
from collections.abc import Callable, Generator

import greenlet
from eventlet import hubs

from ivystep.core import errors, types
from ivystep.gateway import configuration
from ivystep.runtime import clock

# Time for the close of a connection to reach the engine, also from a host whose
# event loop is busy.
CLOSE_MARGIN_S = 0.4
# The hub's timers do not count the time for which the machine is suspended.
CHECK_INTERVAL_S = 0.25


class VersionReplacedError(Exception):
    """The version of an attempt has been replaced for too long."""


class Timer(typing.Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Do not make the call."""


@dataclasses.dataclass(slots=True, eq=False)
class _Attempt:
    """An attempt in progress.

    Attributes:
        is_queued: Returns whether the engine has the request and has not
            begun to answer.
        task: The task of the attempt.
        timer: Ends the attempt; None while its version is the newest.
    """

    ref: types.AdapterRef
    is_queued: Callable[[], bool]
    task: greenlet.greenlet
    timer: Timer | None = None


class QueuedAttempts:
    """The attempts of this host at engines, with the versions that they use.

    Args:
        config: The adapter versions in force.
        version_s: Time limit for adopting a new adapter version.
    """

    def __init__(
        self, config: configuration.Configuration, version_s: float
    ) -> None:
        self._config = config
        self._allowed_s = version_s - CLOSE_MARGIN_S
        self._attempts_by_name: collections.defaultdict[
            tuple[str, str], set[_Attempt]
        ] = collections.defaultdict(set)

    @contextlib.contextmanager
    def end_in_time(
        self, ref: types.AdapterRef, is_queued: Callable[[], bool], peer: str
    ) -> Generator[None]:
        """End the attempt within the context if its version becomes too old.

        Args:
            ref: Adapter version with which the request is sent.
            is_queued: Returns whether the engine has the request and has not
                begun to answer; another attempt goes on.
            peer: Id of the engine.

        Raises:
            errors.RequestError: The attempt was ended.
        """
        attempt = _Attempt(ref, is_queued, greenlet.getcurrent())
        name = (ref.account, ref.name)
        self._attempts_by_name[name].add(attempt)
        self._schedule(attempt)
        try:
            yield
        except VersionReplacedError as error:
            raise errors.RequestError(
                'version_replaced',
                f'{ref.lora_name} was replaced before the engine began.',
                status=502,
                ran=types.ExecutionStatus.UNKNOWN,
                step='run',
                peer=peer,
            ) from error
        finally:
            self._remove(name, attempt)

    def on_version(self, newest: types.AdapterRef) -> None:
        """Bound the attempts that use an earlier version.

        Args:
            newest: The version that was named.
        """
        name = (newest.account, newest.name)
        for attempt in tuple(self._attempts_by_name.get(name, ())):
            self._schedule(attempt)

    def _schedule(self, attempt: _Attempt) -> None:
        """Schedule the end of an attempt, unless its version is the newest.

        A version that is replaced again keeps the time of its replacement.
        """
        replaced_after = self._config.replaced_after(attempt.ref)
        if attempt.timer is None and replaced_after is not None:
            # An attempt is ended by the hub, whose other tasks go on.
            attempt.timer = hubs.get_hub().schedule_call_global(
                0, _end_at, attempt, replaced_after + self._allowed_s
            )

    def _remove(self, name: tuple[str, str], attempt: _Attempt) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempts = self._attempts_by_name[name]
        attempts.discard(attempt)
        if not attempts:
            del self._attempts_by_name[name]


def _end_at(attempt: _Attempt, end_at: float) -> None:
    """End an attempt at an uptime if the engine has not begun by then."""
    left_s = end_at - clock.uptime()
    if left_s > 0:
        attempt.timer = hubs.get_hub().schedule_call_global(
            min(left_s, CHECK_INTERVAL_S), _end_at, attempt, end_at
        )
    elif attempt.is_queued():
        attempt.task.throw(VersionReplacedError)
