"""Checks the API keys of requests again while they wait or run."""

import contextlib
import dataclasses
import typing
from collections.abc import Generator

import greenlet
from eventlet import hubs

from ivystep.accounts import authentication, events, revocation
from ivystep.core import errors
from ivystep.gateway.requests import final_errors, request_state
from ivystep.gateway.store import configuration
from ivystep.runtime import event_log
from ivystep.settings import gateway as settings_models
from ivystep.traffic import contracts


class KeyRevokedError(Exception):
    """The key of a running stream has been removed."""


@dataclasses.dataclass(slots=True, eq=False)
class _RunningStream:
    """A stream in progress and the task that relays it."""

    state: request_state.RequestState
    task: greenlet.greenlet


class RequestAccess:
    """Checks requests against the accounts that are in force.

    Args:
        config: The configuration in force.
        log: Event log of ended streams.
        policy: Which running streams end when their keys are removed.
    """

    def __init__(
        self,
        config: configuration.Configuration,
        log: event_log.EventLog,
        policy: revocation.RevocationPolicy,
    ) -> None:
        self._config = config
        self._log = log
        self._policy = policy
        self._running: set[_RunningStream] = set()

    @classmethod
    def from_config(
        cls,
        settings: settings_models.GatewaySettings,
        config: configuration.Configuration,
        log: event_log.EventLog,
    ) -> typing.Self:
        """Check the keys as a host's settings say.

        Args:
            settings: The settings.
            config: The configuration in force.
            log: Event log of ended streams.
        """
        policy = revocation.RevocationPolicy(settings.bounds.revoke_strict)
        return cls(config, log, policy)

    def renew(self, state: request_state.RequestState) -> None:
        """Find the account of a request again, before an attempt.

        A stream that has begun stays with its account, also if another
        upstream resumes it, unless streams of removed keys are to end.

        Args:
            state: The request.

        Raises:
            errors.RefusedError: Its key has been removed.
        """
        if state.answer.has_started and not self._policy.is_strict:
            return
        state.account = authentication.authenticate_again(
            self._accounts,
            authentication.Claim(state.call.key_digest, state.route.is_public),
            state.account,
            has_run=state.has_run_before,
        )

    @contextlib.contextmanager
    def end_if_revoked(
        self, state: request_state.RequestState
    ) -> Generator[None]:
        """End a stream within the context if its key is to end it.

        Args:
            state: The request.

        Raises:
            errors.RequestError: The stream was ended.
        """
        is_stream = state.route.kind is contracts.Repeatability.STREAM
        if not (is_stream and self._policy.is_strict):
            yield
            return
        running = _RunningStream(state, greenlet.getcurrent())
        self._running.add(running)
        try:
            yield
        except KeyRevokedError as error:
            raise revoked_error(state) from error
        finally:
            self._running.discard(running)

    def on_config(self, config: contracts.RouteConfig) -> None:
        """End the streams whose keys a new configuration has removed.

        Args:
            config: The configuration that has come into force.
        """
        revoked = [
            running
            for running in self._running
            if self._policy.must_end(
                config.accounts,
                running.state.call.key_digest,
                running.state.account,
            )
        ]
        for running in revoked:
            # The hub ends them, so that the present task goes on.
            hubs.get_hub().schedule_call_global(0, self._end, running)
        if revoked:
            self._log.write(events.StreamsRevoked(config.version, len(revoked)))

    @property
    def _accounts(self) -> contracts.Accounts | None:
        config = self._config.current
        return config.accounts if config else None

    def _end(self, running: _RunningStream) -> None:
        if running in self._running:
            self._running.discard(running)
            running.task.throw(KeyRevokedError())


def revoked_error(state: request_state.RequestState) -> errors.RequestError:
    """Return the error of a stream whose key has been removed."""
    return final_errors.final_error(authentication.revoked_key(), state)
