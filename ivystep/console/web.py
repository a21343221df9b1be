"""WSGI requests, responses and page templates of the console."""

import dataclasses
import datetime
import http
import typing
import urllib.parse
from collections.abc import Mapping

import jinja2
import markupsafe

from ivystep.console import sessions

MAX_FORM_BYTES = 2097152
MAX_FORM_FIELDS = 200
CONTENT_POLICY = (
    "default-src 'none'; style-src 'self'; form-action 'self'; "
    "frame-ancestors 'none'; base-uri 'none'"
)
SECURITY_HEADERS = (
    ('Content-Security-Policy', CONTENT_POLICY),
    ('X-Content-Type-Options', 'nosniff'),
    ('Referrer-Policy', 'same-origin'),
    ('Cache-Control', 'no-store'),
)

Environ = dict[str, typing.Any]


class BadFormError(Exception):
    """A form or query is too long or malformed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request.

    Attributes:
        method: HTTP method.
        path: Path segments, such as ``('list', 'pools')``.
        query: Fields of the query string.
        form: Form fields of a POST; empty for other methods.
        cookies: Value of the header ``Cookie``.
    """

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str]
    form: Mapping[str, str]
    cookies: str

    @classmethod
    def from_environ(cls, environ: Environ) -> typing.Self:
        """Create a request from a WSGI environment.

        Raises:
            BadFormError: The form or query is too long or malformed.
        """
        method = environ['REQUEST_METHOD']
        path = environ['PATH_INFO'].strip('/')
        return cls(
            method,
            tuple(path.split('/')) if path else (),
            _parse_fields(environ.get('QUERY_STRING', '')),
            _read_form(environ) if method == 'POST' else {},
            environ.get('HTTP_COOKIE', ''),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One HTTP response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = 'text/html; charset=utf-8'

    @property
    def status_line(self) -> str:
        """Status code and reason phrase."""
        return f'{self.status} {http.HTTPStatus(self.status).phrase}'

    @property
    def all_headers(self) -> list[tuple[str, str]]:
        """Headers of this response, with those of every response."""
        return [
            ('Content-Type', self.content_type),
            ('Content-Length', str(len(self.body))),
            *SECURITY_HEADERS,
            *self.headers,
        ]


def redirect(path: str, *headers: tuple[str, str]) -> Response:
    """Return a response that redirects to another page with GET."""
    return Response(303, b'', (('Location', path), *headers))


class PageRenderer:
    """Renders page templates with automatic escaping."""

    def __init__(self) -> None:
        self._templates = jinja2.Environment(
            loader=jinja2.PackageLoader('ivystep.console'),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
            trim_blocks=True,
            lstrip_blocks=True,
        )

    def render(
        self,
        template: str,
        session: sessions.Session | None,
        status: int = 200,
        **content: typing.Any,
    ) -> Response:
        """Render a page.

        Args:
            template: Name of the template without its suffix.
            session: Session of the operator, None before sign-in. Its notice
                is shown and cleared.
            status: HTTP status code.
            content: Variables of the template.
        """
        notice = ''
        if session is not None:
            notice = session.notice
            session.notice = ''
        text = self._templates.get_template(f'{template}.html').render(
            session=session,
            notice=notice,
            csrf=lambda: _csrf_field(session),
            format_time=_format_time,
            **content,
        )
        return Response(status, text.encode())

    def style(self) -> Response:
        """Return the style sheet."""
        text = self._templates.get_template('style.css').render()
        return Response(200, text.encode(), content_type='text/css')


def _csrf_field(session: sessions.Session | None) -> markupsafe.Markup:
    field = markupsafe.Markup(
        '<input type="hidden" name="csrf_token" value="{}">'
    )
    return field.format(session.csrf_token if session else '')


def _format_time(wall_time: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall_time, datetime.UTC)
    return f'{moment:%d %B %Y, %H:%M} UTC'


def _read_form(environ: Environ) -> Mapping[str, str]:
    declared = environ.get('CONTENT_LENGTH') or '0'
    if not declared.isdigit() or int(declared) > MAX_FORM_BYTES:
        raise BadFormError
    try:
        text = environ['wsgi.input'].read(int(declared)).decode()
    except UnicodeError as error:
        raise BadFormError from error
    return _parse_fields(text)


def _parse_fields(text: str) -> Mapping[str, str]:
    try:
        return dict(
            urllib.parse.parse_qsl(
                text, keep_blank_values=True, max_num_fields=MAX_FORM_FIELDS
            )
        )
    except ValueError as error:
        raise BadFormError from error
