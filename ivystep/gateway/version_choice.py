"""Chooses the adapter version with which a request is sent."""

from ivystep.core import types
from ivystep.entry import pool
from ivystep.gateway import configuration, queued_attempts
from ivystep.traffic import calls

# Part of the time limit for adopting a new adapter version in which requests
# are still sent with the previous version. The rest of the limit covers their
# wait in the queue of an engine.
OLD_VERSION_SHARE = 0.5


class VersionChoice:
    """Uses the previous version of an adapter while the newest one is loaded.

    Args:
        config: The adapter versions in force.
        version_s: Time limit for adopting a new adapter version.

    Attributes:
        queued: Ends attempts whose version becomes too old at an engine.
    """

    def __init__(
        self, config: configuration.Configuration, version_s: float
    ) -> None:
        self._config = config
        self._old_version_s = OLD_VERSION_SHARE * version_s
        self.queued = queued_attempts.QueuedAttempts(config, version_s)

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
