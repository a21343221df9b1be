"""Defines the exception hierarchy.

Every error carries the step that failed and the peer that was involved, so
that a log line or an error body can name both.
"""

from ivystep.core import types


class IvystepError(Exception):
    """Base of all errors raised by ivystep.

    Attributes:
        step: The operation that failed, for example ``run`` or ``load``.
        peer: The remote process or service; empty if none is involved.
        reason: One sentence for operators. Never contains keys.
    """

    def __init__(self, reason: str, *, step: str = '', peer: str = '') -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the reason, prefixed with the step and the peer."""
        context = ' '.join(part for part in (self.step, self.peer) if part)
        return f'{context}: {self.reason}' if context else self.reason


class SettingsError(IvystepError):
    """A settings file is unreadable, or a key is unknown or invalid."""


class SetupError(IvystepError):
    """A setup document is invalid."""


class InvariantError(IvystepError):
    """The request is refused because it would violate an invariant."""


class PlatformError(IvystepError):
    """A platform service failed."""


class UnavailableError(PlatformError):
    """The operation was certainly not applied."""


class UncertainWriteError(PlatformError):
    """The write may or may not have been applied."""


class ConflictError(PlatformError):
    """A compare-and-set found a version other than the expected one."""


class LinkError(IvystepError):
    """A connection to another process failed."""


class MisdirectedError(LinkError):
    """Another process has answered than the one that was meant.

    Nothing that it has sent applies to the one that was meant.
    """


class RequestError(IvystepError):
    """A request ends with an error for the caller.

    Attributes:
        code: Stable code for programs, for example ``model_not_found``.
        status: HTTP status.
        ran: Whether the request was run.
        retry_after_s: Seconds after which a retry may succeed; None if it
            cannot.
        engine_lost: Whether the upstream failed while running the request.
        engine_incarnation: Incarnation of the engine that failed; empty if
            none did.
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
