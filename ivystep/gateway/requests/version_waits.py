"""Ends waits of requests whose adapter version is replaced meanwhile.

A request waits in a pool with the version that was chosen for it, and in the
queue of an engine with the version with which it was sent. A newer version may
be named meanwhile, or the time of the older one may pass.
"""

import collections
import contextlib
import dataclasses
import typing
from collections.abc import Callable, Generator

import greenlet
from eventlet import hubs

from ivystep.core import types
from ivystep.gateway.store import configuration
from ivystep.runtime import clock

# The hub's timers do not count the time for which the machine is suspended.
CHECK_INTERVAL_S = 0.25


class VersionReplacedError(Exception):
    """The version with which a request waits has been replaced for too long."""


class Timer(typing.Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Do not make the call."""


@dataclasses.dataclass(slots=True, eq=False)
class _Wait:
    """A wait in progress.

    Attributes:
        allowed_s: Time for which it may last after the version was replaced.
        is_waiting: Returns whether the wait is to be ended if it lasts longer.
        task: The task that waits.
        timer: Ends the wait; None while its version is the newest.
    """

    ref: types.AdapterRef
    allowed_s: float
    is_waiting: Callable[[], bool]
    task: greenlet.greenlet
    timer: Timer | None = None


class VersionWaits:
    """The waits of this host's requests, with the versions that they use.

    Args:
        config: The adapter versions in force.
    """

    def __init__(self, config: configuration.Configuration) -> None:
        self._config = config
        self._waits_by_name: collections.defaultdict[
            tuple[str, str], set[_Wait]
        ] = collections.defaultdict(set)

    @contextlib.contextmanager
    def limit(
        self,
        ref: types.AdapterRef,
        allowed_s: float,
        is_waiting: Callable[[], bool],
    ) -> Generator[None]:
        """End the wait within the context if its version becomes too old.

        Args:
            ref: Adapter version with which a request waits.
            allowed_s: Time in seconds for which it may wait after the version
                was replaced.
            is_waiting: Returns whether it still waits when that time is over.

        Raises:
            VersionReplacedError: The wait was ended.
        """
        wait = _Wait(ref, allowed_s, is_waiting, greenlet.getcurrent())
        name = (ref.account, ref.name)
        self._waits_by_name[name].add(wait)
        self._schedule(wait)
        try:
            yield
        finally:
            self._remove(name, wait)

    def on_version(self, newest: types.AdapterRef) -> None:
        """Limit the waits that use an earlier version.

        Args:
            newest: The version that was named.
        """
        name = (newest.account, newest.name)
        for wait in tuple(self._waits_by_name.get(name, ())):
            self._schedule(wait)

    def _schedule(self, wait: _Wait) -> None:
        """Schedule the end of a wait, unless its version is the newest.

        A version that is replaced again keeps the time of its replacement.
        """
        replaced_after = self._config.replaced_after(wait.ref)
        if wait.timer is None and replaced_after is not None:
            # The hub ends the wait, so that the present task goes on.
            wait.timer = hubs.get_hub().schedule_call_global(
                0, _end_at, wait, replaced_after + wait.allowed_s
            )

    def _remove(self, name: tuple[str, str], wait: _Wait) -> None:
        if wait.timer is not None:
            wait.timer.cancel()
        waits = self._waits_by_name[name]
        waits.discard(wait)
        if not waits:
            del self._waits_by_name[name]


def _end_at(wait: _Wait, end_at: float) -> None:
    """End a wait at an uptime if it still lasts by then."""
    left_s = end_at - clock.uptime()
    if left_s > 0:
        wait.timer = hubs.get_hub().schedule_call_global(
            min(left_s, CHECK_INTERVAL_S), _end_at, wait, end_at
        )
    elif wait.is_waiting():
        wait.task.throw(VersionReplacedError)
