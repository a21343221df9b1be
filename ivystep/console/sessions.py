"""Signs operators in by name and key; keeps their sessions and CSRF tokens."""

import dataclasses
import hashlib
import hmac
import http.cookies
import secrets
from collections.abc import Mapping

from ivystep.console import drafts
from ivystep.runtime import clock, logs

COOKIE = 'ivystep_session'
TOKEN_BYTES = 32
MAX_SESSIONS = 500
# Slows down guessing of keys, which have 256 random bits.
SIGN_IN_FAILURE_DELAY_S = 1.0
UNKNOWN_OPERATOR_DIGEST = '0' * 64

log = logs.get('console')


@dataclasses.dataclass(slots=True)
class Session:
    """A signed-in operator.

    Attributes:
        operator: Name of the operator.
        token: Value of the session cookie.
        csrf_token: Value of the hidden field in every form.
        expires_at: End of the session, in the time of ``clock.now``.
        draft: The operator's draft; None until the next page creates one.
        notice: Message to show once on the next page.
    """

    operator: str
    token: str
    csrf_token: str
    expires_at: float
    draft: drafts.Draft | None = None
    notice: str = ''

    def has_csrf_token(self, csrf_token: str) -> bool:
        """Return whether a form has the CSRF token of this session."""
        return hmac.compare_digest(
            self.csrf_token.encode(), csrf_token.encode()
        )


class Sessions:
    """Keeps the sessions in memory; a restart of the console ends them.

    Args:
        digest_by_operator: SHA-256 digests of the operators' keys.
        duration_s: Longest duration of a session in seconds.
        is_secure: Whether the cookie is sent over HTTPS only.
    """

    def __init__(
        self,
        digest_by_operator: Mapping[str, str],
        duration_s: float,
        *,
        is_secure: bool,
    ) -> None:
        self._digest_by_operator = digest_by_operator
        self._duration_s = duration_s
        self._is_secure = is_secure
        self._session_by_token: dict[str, Session] = {}

    def sign_in(self, operator: str, key: str) -> Session | None:
        """Start a session.

        Args:
            operator: Submitted name.
            key: Submitted key.

        Returns:
            The session; None, after a delay, if the name or key is wrong.
        """
        operator = operator.strip().lower()
        expected = self._digest_by_operator.get(
            operator, UNKNOWN_OPERATOR_DIGEST
        )
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        if not hmac.compare_digest(expected, digest):
            log.warning('A sign-in failed.')
            clock.sleep(SIGN_IN_FAILURE_DELAY_S)
            return None
        self._evict_sessions()
        session = Session(
            operator,
            secrets.token_urlsafe(TOKEN_BYTES),
            secrets.token_urlsafe(TOKEN_BYTES),
            clock.now() + self._duration_s,
        )
        self._session_by_token[session.token] = session
        log.info('Operator %s signed in.', operator)
        return session

    def find(self, cookie_header: str) -> Session | None:
        """Return the session of a request, or None if it has no valid one.

        Args:
            cookie_header: Value of the header ``Cookie``.
        """
        try:
            cookie = http.cookies.SimpleCookie(cookie_header).get(COOKIE)
        except http.cookies.CookieError:
            return None
        session = self._session_by_token.get(cookie.value) if cookie else None
        if session is None or session.expires_at < clock.now():
            return None
        return session

    def end(self, session: Session) -> None:
        """End a session."""
        self._session_by_token.pop(session.token, None)

    def set_cookie_header(self, session: Session) -> str:
        """Return the value of the header ``Set-Cookie`` for a session."""
        secure = '; Secure' if self._is_secure else ''
        return (
            f'{COOKIE}={session.token}; Path=/; HttpOnly; SameSite=Strict; '
            f'Max-Age={int(self._duration_s)}{secure}'
        )

    def _evict_sessions(self) -> None:
        ordered = sorted(
            self._session_by_token.values(), key=lambda one: one.expires_at
        )
        excess = len(ordered) - MAX_SESSIONS + 1
        for index, session in enumerate(ordered):
            if index < excess or session.expires_at < clock.now():
                self.end(session)
