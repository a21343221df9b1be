"""Chooses the adapter version with which a request is sent."""

import contextlib
from collections.abc import Callable

from ivystep.core import types
from ivystep.entry import pool
from ivystep.gateway.requests import version_waits
from ivystep.gateway.store import configuration
from ivystep.traffic import calls

# Part of the time limit for adopting a new adapter version in which requests
# are still sent with the previous version. The rest of the limit covers their
# wait in the queue of an engine.
OLD_VERSION_SHARE = 0.5
# Time for the close of a connection to reach the engine, also from a host whose
# event loop is busy.
CLOSE_MARGIN_S = 0.4


class VersionChoice:
    """Uses the previous version of an adapter while the newest one is loaded.

    Args:
        config: The adapter versions in force.
        version_s: Time limit for adopting a new adapter version.

    Attributes:
        waits: Ends waits with a version that is too old.
    """

    def __init__(
        self, config: configuration.Configuration, version_s: float
    ) -> None:
        self._config = config
        self._old_version_s = OLD_VERSION_SHARE * version_s
        self._queue_s = version_s - CLOSE_MARGIN_S
        self.waits = version_waits.VersionWaits(config)

    def choose(
        self, call: calls.Call, target: pool.Pool
    ) -> types.AdapterRef | None:
        """Return the adapter version to use; None without an adapter.

        Args:
            call: The request.
            target: The pool that will place it.
        """
        generation = call.generation
        if generation is None or not generation.adapter:
            return None
        newest = self._config.newest(generation.model, generation.adapter)
        if newest.version > 1 and not target.is_held(newest):
            previous = self._config.previous(newest, self._old_version_s)
            if previous is not None and target.is_held(previous):
                return previous
        return newest

    def is_allowed(self, ref: types.AdapterRef) -> bool:
        """Return whether requests may still use an adapter version.

        Args:
            ref: The adapter with the version that was chosen before a wait.
        """
        newest = self._config.newest(ref.account, ref.name)
        allowed = self._config.previous(newest, self._old_version_s)
        return ref in {newest, allowed}

    def limit_placing(
        self, ref: types.AdapterRef | None
    ) -> contextlib.AbstractContextManager[None]:
        """End the wait for a place when the version is to be chosen again.

        Args:
            ref: The version that was chosen; None without an adapter.

        Returns:
            A context that raises ``version_waits.VersionReplacedError``: as
            soon as a newer version is named, or when the time of the previous
            one is over.
        """
        if ref is None:
            return contextlib.nullcontext()
        is_previous = self._config.replaced_after(ref) is not None
        allowed_s = self._old_version_s if is_previous else 0.0
        return self.waits.limit(ref, allowed_s, _is_always_waiting)

    def limit_queueing(
        self, ref: types.AdapterRef, is_queued: Callable[[], bool]
    ) -> contextlib.AbstractContextManager[None]:
        """End a request's wait in an engine's queue before its limit.

        Args:
            ref: The version with which the request is sent.
            is_queued: Returns whether the engine has the request and has not
                begun to answer.

        Returns:
            A context that raises ``version_waits.VersionReplacedError``.
        """
        return self.waits.limit(ref, self._queue_s, is_queued)


def _is_always_waiting() -> bool:
    return True
