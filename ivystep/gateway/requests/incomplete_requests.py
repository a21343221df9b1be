"""Refusals of requests that are still being received."""

from ivystep.gateway.requests import request_state
from ivystep.traffic import http1

NO_MEMORY = 'no_memory'
# Time in which requests that were read in full end and make room for others.
NO_MEMORY_RETRY_S = 1.0
NO_CONNECTION = 'no_connection'
# Time in which the connections of others become idle.
NO_CONNECTION_RETRY_S = 1.0


def no_memory() -> http1.BadRequestError:
    """Return the refusal of a request for which there is no memory."""
    return http1.BadRequestError(
        503,
        'The host has no memory for the body now.',
        NO_MEMORY,
        NO_MEMORY_RETRY_S,
    )


def no_connection_left() -> http1.BadRequestError:
    """Return the refusal of a request that arrives slowly at the limit."""
    return http1.BadRequestError(
        503,
        'The host has no connection left for a request that arrives slowly.',
        NO_CONNECTION,
        NO_CONNECTION_RETRY_S,
    )


def host_stopping(retry_after_s: float) -> http1.BadRequestError:
    """Return the refusal of a request that a planned stop ends.

    Args:
        retry_after_s: Time in seconds after which another host can take it.
    """
    return http1.BadRequestError(
        503,
        'This host stops before the request was received in full.',
        request_state.HOST_STOPPING,
        retry_after_s,
    )
