"""The console as a WSGI application."""

import json
import typing
from collections.abc import Callable, Iterable

from ivystep.console import part_types, parts, sessions, setup_repository, web
from ivystep.core import errors
from ivystep.runtime import logs
from ivystep.setup import submission

StartResponse = Callable[..., typing.Any]
Handler = Callable[[web.Request, sessions.Session], web.Response]
MAX_SHOWN_CHARACTERS = 2000000
UNAVAILABLE_TEXT = (
    'The platform does not answer at the moment. Nothing was changed. Your '
    'draft is kept; please try again in a minute.'
)

log = logs.get('console')


class ConsoleApp:
    """Serves operators' browsers.

    Args:
        session_store: Sessions of the operators.
        repository: Access to the versions of the setup.
    """

    def __init__(
        self,
        session_store: sessions.Sessions,
        repository: setup_repository.SetupRepository,
    ) -> None:
        self._sessions = session_store
        self._repository = repository
        self._pages = web.PageRenderer()
        part_pages = parts.PartPages(self._pages)
        self._handler_by_path: dict[str, Handler] = {
            'list': part_pages.listing,
            'new': part_pages.new,
            'part': part_pages.part,
            'keys': part_pages.keys,
            'draft': self._draft,
            'draft.json': self._draft_json,
            'history': self._history,
        }

    def __call__(
        self, environ: web.Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one HTTP request; see PEP 3333."""
        try:
            response = self._respond(web.Request.from_environ(environ))
        except web.BadFormError:
            response = self._render_message(
                None, 400, 'The form is too long', 'Nothing was changed.'
            )
        start_response(response.status_line, response.all_headers)
        return [response.body]

    def _respond(self, request: web.Request) -> web.Response:
        if request.path == ('style.css',):
            return self._pages.style()
        session = self._sessions.find(request.cookies)
        if request.path == ('sign-in',):
            return self._sign_in(request)
        if session is None:
            return web.redirect('/sign-in')
        if request.method == 'POST' and not session.has_csrf_token(
            request.form.get('csrf_token', '')
        ):
            return self._render_message(
                session,
                403,
                'The page has expired',
                'Nothing was changed. Please go back, load the page again and '
                'repeat your entry.',
            )
        return self._handle_errors(request, session)

    def _handle_errors(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        if request.path == ('sign-out',) and request.method == 'POST':
            self._sessions.end(session)
            return web.redirect('/sign-in')
        try:
            if session.draft is None:
                session.draft = self._repository.new_draft()
            return self._route(request, session)
        except errors.PlatformError as error:
            log.warning('The platform failed while serving a page: %s.', error)
            return self._render_message(
                session, 503, 'The platform does not answer', UNAVAILABLE_TEXT
            )
        except errors.SetupError as error:
            return self._render_message(
                session, 422, 'This cannot be done', f'{error.reason}.'
            )

    def _route(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        if not request.path:
            return self._pages.render(
                'home',
                session,
                part_types=part_types.TOP_LEVEL_PART_TYPES,
                draft=session.draft,
            )
        handler = self._handler_by_path.get(request.path[0])
        if handler is None or not _is_valid_path(request.path):
            return parts.not_found(self._pages, session)
        return handler(request, session)

    def _sign_in(self, request: web.Request) -> web.Response:
        name = request.form.get('name', '')
        if request.method != 'POST':
            return self._pages.render('sign_in', None, name=name, problem='')
        session = self._sessions.sign_in(name, request.form.get('key', ''))
        if session is None:
            return self._pages.render(
                'sign_in',
                None,
                status=403,
                name=name,
                problem='The name or the key is wrong.',
            )
        return web.redirect(
            '/', ('Set-Cookie', self._sessions.set_cookie_header(session))
        )

    def _draft(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        action = request.path[1:]
        if request.method != 'POST':
            return self._show_draft(session)
        if action == ('submit',):
            return self._submit(request, session)
        if action == ('discard',):
            session.draft = None
            session.notice = 'Your draft was discarded.'
            return web.redirect('/')
        if action == ('rebase',) and session.draft:
            newest = self._repository.newest_version()
            rebased, omitted = session.draft.rebase(
                newest, self._repository.read(newest)
            )
            session.draft = rebased
            session.notice = ' '.join(
                (
                    'Your changes were carried over.',
                    *_format_omissions(omitted),
                )
            )
        return web.redirect('/draft')

    def _show_draft(
        self, session: sessions.Session, status: int = 200
    ) -> web.Response:
        draft = session.draft or self._repository.new_draft()
        newer_changes = self._repository.changes_since(draft.base_version)
        text = _as_json(draft.document)
        return self._pages.render(
            'draft',
            session,
            status=status,
            draft=draft,
            newer_changes=newer_changes,
            text=text if len(text) < MAX_SHOWN_CHARACTERS else '',
        )

    def _submit(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        draft = session.draft or self._repository.new_draft()
        if request.form.get('shown', draft.submission_id) != (
            draft.submission_id
        ):
            session.notice = (
                'Nothing was submitted: your draft has changed since you '
                'opened that page. Please review it again.'
            )
            return self._show_draft(session, status=409)
        if not draft.changes:
            session.notice = 'Your draft changes nothing.'
            return web.redirect('/draft')
        try:
            outcome = self._repository.submit(draft, session.operator)
        except submission.StaleBaseError:
            session.notice = (
                'Nothing was changed: another operator submitted a change '
                'first. The changes of others are listed below.'
            )
            return self._show_draft(session, status=409)
        except errors.UncertainWriteError:
            return self._render_message(
                session,
                503,
                'It is not known yet whether your change was accepted',
                'The answer of the platform was lost. Please open your draft '
                'in a minute and submit it again: it is applied at most once.',
            )
        session.draft = None
        session.notice = f'Version {outcome.version} is in force.'
        return web.redirect('/')

    def _draft_json(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        draft = session.draft or self._repository.new_draft()
        return web.Response(
            200,
            _as_json(draft.document).encode(),
            content_type='application/json',
        )

    def _history(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        if request.method != 'POST':
            return self._pages.render(
                'history', session, records=self._repository.recent()
            )
        version = request.form.get('version', '')
        if not (version.isascii() and version.isdigit() and len(version) < 12):
            return parts.not_found(self._pages, session)
        draft = self._repository.new_draft()
        draft.replace(self._repository.read(int(version)))
        session.draft = draft
        session.notice = (
            f'Your draft now holds version {version}. Nothing is in force '
            f'until you submit it.'
        )
        return web.redirect('/draft')

    def _render_message(
        self,
        session: sessions.Session | None,
        status: int,
        title: str,
        text: str,
    ) -> web.Response:
        return self._pages.render(
            'message', session, status=status, title=title, text=text
        )


def _is_valid_path(path: tuple[str, ...]) -> bool:
    """Return whether the lists in a path exist and its length fits the page."""
    page, location = path[0], path[1:]
    if page not in {'list', 'new', 'part', 'keys'}:
        return True
    lengths = {1, 3} if page in {'list', 'new'} else {2, 4}
    top_level_lists = {
        part_type.key for part_type in part_types.TOP_LEVEL_PART_TYPES
    }
    if len(location) not in lengths or location[0] not in top_level_lists:
        return False
    if len(location) < 3:
        return True
    return (
        location[0] == 'accounts'
        and location[2] in part_types.ACCOUNTS.part_lists
    )


def _as_json(source: typing.Any) -> str:
    return json.dumps(source.model_dump(mode='json'), indent=2)


def _format_omissions(omitted: list[str]) -> list[str]:
    return [f'Not carried over: {reason}.' for reason in omitted]
