"""Operators' sign-in: named keys, session cookies and CSRF tokens."""

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
# Slows down guessing; operators' keys have 256 random bits.
FAILURE_PAUSE_S = 1.0
NO_DIGEST = '0' * 64

log = logs.get('console')


@dataclasses.dataclass(slots=True)
class Session:
    """A signed-in operator.

    Attributes:
        token: Content of the cookie.
        csrf_token: Content of the hidden field of every form.
        expires: Time of the runtime's clock.
        draft: What the operator is working on.
        notice: A sentence to show once on the next page.
    """

    operator: str
    token: str
    csrf_token: str
    expires: float
    draft: drafts.Draft | None = None
    notice: str = ''

    def allows(self, csrf_token: str) -> bool:
        """Return whether a form was sent from this session's pages."""
        return hmac.compare_digest(
            self.csrf_token.encode(), csrf_token.encode()
        )


class Sessions:
    """All sessions of this console process; a restart ends them.

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
        """Start a session, or return None after a pause.

        Args:
            operator: Name as typed.
            key: Key as typed.
        """
        operator = operator.strip().lower()
        expected = self._digest_by_operator.get(operator, NO_DIGEST)
        found = hashlib.sha256(key.strip().encode()).hexdigest()
        if not hmac.compare_digest(expected, found):
            log.warning('A sign-in failed.')
            clock.sleep(FAILURE_PAUSE_S)
            return None
        self._remove_old()
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
        """Return the session of a request.

        Args:
            cookie_header: The header ``Cookie``.
        """
        try:
            cookie = http.cookies.SimpleCookie(cookie_header).get(COOKIE)
        except http.cookies.CookieError:
            return None
        session = self._session_by_token.get(cookie.value) if cookie else None
        if session is None or session.expires < clock.now():
            return None
        return session

    def end(self, session: Session) -> None:
        """Sign an operator out."""
        self._session_by_token.pop(session.token, None)

    def cookie(self, session: Session) -> str:
        """Return the header ``Set-Cookie`` of a session."""
        secure = '; Secure' if self._is_secure else ''
        return (
            f'{COOKIE}={session.token}; Path=/; HttpOnly; SameSite=Strict; '
            f'Max-Age={int(self._duration_s)}{secure}'
        )

    def _remove_old(self) -> None:
        ordered = sorted(
            self._session_by_token.values(), key=lambda one: one.expires
        )
        excess = len(ordered) - MAX_SESSIONS + 1
        for place, session in enumerate(ordered):
            if place < excess or session.expires < clock.now():
                self.end(session)
