"""The console as a WSGI application."""

import json
import typing
from collections.abc import Callable, Iterable

from ivystep.console import parts, sessions, setups, subjects, web
from ivystep.core import errors
from ivystep.runtime import logs
from ivystep.setup import submission

StartResponse = Callable[..., typing.Any]
Handler = Callable[[web.Request, sessions.Session], web.Response]
MAX_SHOWN_CHARACTERS = 2000000
OUT_OF_REACH = (
    'The platform does not answer at the moment. Nothing was changed. Your '
    'draft is kept; please try again in a minute.'
)

log = logs.get('console')


class ConsoleApp:
    """Serves operators' browsers.

    Args:
        signed_in: The sessions.
        setup: Access to the setup.
    """

    def __init__(
        self, signed_in: sessions.Sessions, setup: setups.Setups
    ) -> None:
        self._sessions = signed_in
        self._setups = setup
        self._pages = web.Pages()
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
            response = self._answer(web.Request.from_environ(environ))
        except web.BadFormError:
            response = self._message(
                None, 400, 'The form is too long', 'Nothing was changed.'
            )
        start_response(response.status_line, response.all_headers)
        return [response.body]

    def _answer(self, request: web.Request) -> web.Response:
        if request.path == ('style.css',):
            return self._pages.style()
        session = self._sessions.find(request.cookies)
        if request.path == ('sign-in',):
            return self._sign_in(request)
        if session is None:
            return web.redirect('/sign-in')
        if request.method == 'POST' and not session.allows(
            request.form.get('csrf_token', '')
        ):
            return self._message(
                session,
                403,
                'The page was too old',
                'Nothing was changed. Please go back, load the page again and '
                'repeat your entry.',
            )
        return self._guarded(request, session)

    def _guarded(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        if request.path == ('sign-out',) and request.method == 'POST':
            self._sessions.end(session)
            return web.redirect('/sign-in')
        try:
            if session.draft is None:
                session.draft = self._setups.new_draft()
            return self._route(request, session)
        except errors.PlatformError as error:
            log.warning('A page failed: %s.', error)
            return self._message(
                session, 503, 'The platform does not answer', OUT_OF_REACH
            )
        except errors.SetupError as error:
            return self._message(
                session, 422, 'This cannot be done', f'{error.reason}.'
            )

    def _route(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        if not request.path:
            return self._pages.render(
                'home',
                session,
                subjects=subjects.TOP_SUBJECTS,
                draft=session.draft,
            )
        handler = self._handler_by_path.get(request.path[0])
        if handler is None or not _is_place(request.path):
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
                problem='The name and the key do not belong together.',
            )
        return web.redirect('/', ('Set-Cookie', self._sessions.cookie(session)))

    def _draft(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        action = request.path[1:]
        if request.method != 'POST':
            return self._show_draft(session)
        if action == ('submit',):
            return self._submit(session)
        if action == ('discard',):
            session.draft = None
            session.notice = 'Your draft was discarded.'
            return web.redirect('/')
        if action == ('rebase',) and session.draft:
            newest = self._setups.newest_version()
            fresh, left_out = session.draft.rebase(
                newest, self._setups.read(newest)
            )
            session.draft = fresh
            session.notice = ' '.join(
                ('Your changes were carried over.', *_sentences(left_out))
            )
        return web.redirect('/draft')

    def _show_draft(
        self, session: sessions.Session, status: int = 200
    ) -> web.Response:
        draft = session.draft or self._setups.new_draft()
        others = self._setups.changes_since(draft.base_version)
        text = _as_json(draft.document)
        return self._pages.render(
            'draft',
            session,
            status=status,
            draft=draft,
            others=others,
            text=text if len(text) < MAX_SHOWN_CHARACTERS else '',
        )

    def _submit(self, session: sessions.Session) -> web.Response:
        draft = session.draft or self._setups.new_draft()
        if not draft.changes:
            session.notice = 'Your draft changes nothing.'
            return web.redirect('/draft')
        try:
            outcome = self._setups.submit(draft, session.operator)
        except submission.StaleBaseError:
            session.notice = (
                'Nothing was changed: somebody else was faster. See below '
                'what they changed.'
            )
            return self._show_draft(session, status=409)
        except errors.UncertainWriteError:
            return self._message(
                session,
                503,
                'It is not known yet whether your change was accepted',
                'The answer of the platform was lost. Please open your draft '
                'in a minute and submit it again: it is applied once at most.',
            )
        session.draft = None
        session.notice = f'Version {outcome.version} is in force.'
        return web.redirect('/')

    def _draft_json(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        draft = session.draft or self._setups.new_draft()
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
                'history', session, records=self._setups.recent()
            )
        version = request.form.get('version', '')
        if not (version.isascii() and version.isdigit() and len(version) < 12):
            return parts.not_found(self._pages, session)
        draft = self._setups.new_draft()
        draft.replace(self._setups.read(int(version)))
        session.draft = draft
        session.notice = (
            f'Your draft now holds version {version}. Nothing is in force '
            f'until you submit it.'
        )
        return web.redirect('/draft')

    def _message(
        self,
        session: sessions.Session | None,
        status: int,
        title: str,
        text: str,
    ) -> web.Response:
        return self._pages.render(
            'message', session, status=status, title=title, text=text
        )


def _is_place(path: tuple[str, ...]) -> bool:
    """Return whether list names and part names alternate correctly."""
    page, place = path[0], path[1:]
    if page not in {'list', 'new', 'part', 'keys'}:
        return True
    lengths = {1, 3} if page in {'list', 'new'} else {2, 4}
    tops = {subject.key for subject in subjects.TOP_SUBJECTS}
    if len(place) not in lengths or place[0] not in tops:
        return False
    if len(place) < 3:
        return True
    return place[0] == 'accounts' and place[2] in subjects.ACCOUNTS.parts


def _as_json(source: typing.Any) -> str:
    return json.dumps(source.model_dump(mode='json'), indent=2)


def _sentences(left_out: list[str]) -> list[str]:
    return [f'Left out: {reason}.' for reason in left_out]
