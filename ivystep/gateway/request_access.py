"""Checks the API keys of requests again while they wait."""

from ivystep.accounts import authentication
from ivystep.gateway import configuration, request_state


class RequestAccess:
    """Checks requests against the accounts that are in force.

    Args:
        config: The configuration in force.
    """

    def __init__(self, config: configuration.Configuration) -> None:
        self._config = config

    def renew(self, state: request_state.RequestState) -> None:
        """Find the account of a request again, before an attempt.

        Args:
            state: The request.

        Raises:
            errors.RefusedError: Its key has been removed.
        """
        config = self._config.current
        state.account = authentication.authenticate_again(
            config.accounts if config else None,
            authentication.Claim(state.call.key_digest, state.route.is_public),
            state.account,
            has_run=bool(state.may_have_run),
        )
