"""Decides by one table whether a failed attempt may be followed by another.

The manner in which an answer ended (closed, reset, timed out, malformed, short
or a failure status) does not count: only whether the upstream has stated that
the request did not run there, and what may be repeated of the request.
"""

import enum
import types as builtin_types

from ivystep.core import types
from ivystep.gateway.requests import request_state


class Repeatable(enum.Enum):
    """What may be repeated of a request.

    Attributes:
        NOTHING: Its caller has a part of an answer that can't be continued.
        IF_NOT_RUN: It may run once at most.
        ANYTHING: It may run again, or go on after what its caller has.
    """

    NOTHING = 'nothing'
    IF_NOT_RUN = 'if_not_run'
    ANYTHING = 'anything'


# Statements of an upstream on a failed attempt after which another may follow.
REPEATED_AFTER = builtin_types.MappingProxyType(
    {
        Repeatable.NOTHING: frozenset[types.ExecutionStatus](),
        Repeatable.IF_NOT_RUN: frozenset((types.ExecutionStatus.NO,)),
        Repeatable.ANYTHING: frozenset(types.ExecutionStatus),
    }
)


def repeatable(state: request_state.RequestState) -> Repeatable:
    """Return what may be repeated of a request, as far as it has come.

    Args:
        state: The request.
    """
    can_go_on = state.route.is_resumable and state.answer.can_resume
    if state.answer.has_started and not can_go_on:
        return Repeatable.NOTHING
    if state.route.is_repeatable:
        return Repeatable.ANYTHING
    return Repeatable.IF_NOT_RUN


def may_follow(
    state: request_state.RequestState, ran: types.ExecutionStatus
) -> bool:
    """Return whether another attempt may follow a failed one.

    The retry budget is not looked at.

    Args:
        state: The request, whose failed attempt is counted.
        ran: Whether that attempt ran, as far as the upstream has stated it.
    """
    return state.has_attempt_left and ran in REPEATED_AFTER[repeatable(state)]
