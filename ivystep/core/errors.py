"""The exception hierarchy.

Every error carries the step at which it arose and the peer that was involved,
so that a log line or an error body can name both.
"""

from ivystep.core import types


class IvystepError(Exception):
    """Base of all errors raised by ivystep.

    Attributes:
        step: The operation that failed, for example ``run`` or ``load``.
        peer: The process or service at the other end, empty if none.
        reason: One sentence for operators. Never contains keys.
    """

    def __init__(self, reason: str, *, step: str = '', peer: str = '') -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the reason with step and peer in front."""
        place = ' '.join(part for part in (self.step, self.peer) if part)
        return f'{place}: {self.reason}' if place else self.reason


class SettingsError(IvystepError):
    """A settings file is unreadable, or a key is unknown or invalid."""


class SetupError(IvystepError):
    """A setup document is invalid."""


class InvariantError(IvystepError):
    """An invariant would be violated; the request is refused instead."""


class PlatformError(IvystepError):
    """A platform service failed."""


class UnavailableError(PlatformError):
    """The operation was definitely not applied."""


class UncertainWriteError(PlatformError):
    """The write may or may not have been applied."""


class ConflictError(PlatformError):
    """A compare-and-set found another version than expected."""


class LinkError(IvystepError):
    """A connection to another ivystep process failed."""


class RequestError(IvystepError):
    """A request ends with an error for the caller.

    Attributes:
        code: Stable code for programs, for example ``model_not_found``.
        status: HTTP status.
        ran: Whether the request was run.
        retry_after_s: When a repeat can help, in seconds; None if it cannot.
        engine_lost: Whether the upstream failed while running the request.
        engine_incarnation: The incarnation that failed, if one did.
    """

    def __init__(
        self,
        code: str,
        reason: str,
        *,
        status: int,
        ran: types.ExecutionStatus = types.ExecutionStatus.NO,
        retry_after_s: float | None = None,
        engine_lost: bool = False,
        step: str = '',
        peer: str = '',
    ) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.code = code
        self.status = status
        self.ran = ran
        self.retry_after_s = retry_after_s
        self.engine_lost = engine_lost
        self.engine_incarnation = ''


class RefusedError(RequestError):
    """The request was refused before it ran; ``ran`` is always ``no``."""
