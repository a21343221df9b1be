"""Pages that list, add, change and remove parts of a draft."""

import dataclasses
import hashlib
import secrets
import typing

from ivystep.console import drafts, forms, sessions, subjects, web
from ivystep.core import errors

KEY_BYTES = 32
MAX_LISTED = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PartPages:
    """Handles the paths ``/list``, ``/new``, ``/part`` and ``/keys``."""

    pages: web.Pages

    def listing(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        """Show the parts of a list."""
        path, draft = request.path[1:], _draft(session)
        subject = subjects.SUBJECT_BY_KEY[path[-1]]
        wanted = request.query.get('find', '').strip().lower()
        names = [part['name'] for part in draft.parts(path)]
        found = [name for name in sorted(names) if wanted in name]
        return self.pages.render(
            'list',
            session,
            subject=subject,
            path=path,
            names=found[:MAX_LISTED],
            total=len(names),
            hidden=max(0, len(found) - MAX_LISTED),
            find=wanted,
        )

    def new(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        """Show an empty form, or add a part."""
        path = request.path[1:]
        subject = subjects.SUBJECT_BY_KEY[path[-1]]
        typed = forms.typed_defaults(subject)
        if request.method != 'POST':
            return self._form(session, path, subject, typed, {}, is_new=True)
        earlier: forms.Raw = {}
        key = ''
        if subject is subjects.APPLICATIONS:
            key = secrets.token_urlsafe(KEY_BYTES)
            earlier['key_digests'] = [_digest(key)]
        typed = {**typed, **request.form}
        result = forms.read(subject, typed, earlier)
        problems = dict(result.error_by_key)
        name = str(result.part['name']) if result.part else ''
        if name and _draft(session).part((*path, name)):
            problems['name'] = f'There is already a part named {name}.'
        if not problems:
            problems = _save(session, (*path, name), result.part)
        if problems:
            return self._form(
                session, path, subject, typed, problems, is_new=True
            )
        if key:
            return self._show_key(session, (*path, name), key)
        session.notice = f'{name} was added to your draft.'
        return web.redirect(f'/part/{"/".join((*path, name))}')

    def part(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        """Show a part, or save what was typed."""
        path = request.path[1:]
        subject = subjects.SUBJECT_BY_KEY[path[-2]]
        part = _draft(session).part(path)
        if part is None:
            return not_found(self.pages, session)
        typed = forms.typed_from_part(subject, part)
        if request.method != 'POST':
            return self._form(session, path, subject, typed, {}, is_new=False)
        typed = {**typed, **request.form, 'name': path[-1]}
        problems: dict[str, str] = {}
        if request.form.get('action') == 'remove':
            problems = _save(session, path, None)
            done = web.redirect(f'/list/{"/".join(path[:-1])}')
        else:
            result = forms.read(subject, typed, part)
            problems = dict(result.error_by_key)
            if result.part is not None:
                problems = _save(session, path, _own(result.part))
            done = web.redirect(f'/part/{"/".join(path)}')
        if problems:
            return self._form(
                session, path, subject, typed, problems, is_new=False
            )
        session.notice = 'Your draft was changed. Nothing is in force yet.'
        return done

    def keys(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        """Add or remove a bearer key of an application."""
        path = request.path[1:]
        part = _draft(session).part(path)
        is_key_form = (
            request.method == 'POST' and path[-2] == subjects.APPLICATIONS.key
        )
        if part is None or not is_key_form:
            return not_found(self.pages, session)
        removed = request.form.get('remove', '')
        key = ''
        digests = [one for one in part['key_digests'] if one != removed]
        if not removed:
            key = secrets.token_urlsafe(KEY_BYTES)
            digests.append(_digest(key))
        problems = _save(session, path, {**part, 'key_digests': digests})
        if problems:
            session.notice = problems[forms.WHOLE_FORM]
        elif key:
            return self._show_key(session, path, key)
        return web.redirect(f'/part/{"/".join(path)}')

    def _show_key(
        self, session: sessions.Session, path: drafts.Path, key: str
    ) -> web.Response:
        return self.pages.render('key', session, path=path, key=key)

    def _form(
        self,
        session: sessions.Session,
        path: drafts.Path,
        subject: subjects.Subject,
        typed: typing.Mapping[str, str],
        problems: typing.Mapping[str, str],
        *,
        is_new: bool,
    ) -> web.Response:
        draft = _draft(session)
        part = None if is_new else draft.part(path)
        return self.pages.render(
            'form',
            session,
            status=422 if problems else 200,
            subject=subject,
            path=path,
            typed=typed,
            problems=problems,
            is_new=is_new,
            part=part or {},
            choices={
                field.key: field.choices or _pools(draft, subject)
                for field in subject.fields
                if field.kind is subjects.Kind.CHOICE
            },
            subjects=subjects.SUBJECT_BY_KEY,
        )


def not_found(
    pages: web.Pages, session: sessions.Session | None
) -> web.Response:
    """Return the page for a path that does not exist."""
    return pages.render(
        'message',
        session,
        status=404,
        title='This page does not exist',
        text='It may have been removed from your draft.',
    )


def _draft(session: sessions.Session) -> drafts.Draft:
    if session.draft is None:
        raise errors.SetupError('there is no draft')
    return session.draft


def _save(
    session: sessions.Session, path: drafts.Path, part: forms.Raw | None
) -> dict[str, str]:
    try:
        _draft(session).apply(drafts.Edit(path, part))
    except errors.SetupError as error:
        reason = error.reason.removeprefix('draft: ').removeprefix('document: ')
        return {forms.WHOLE_FORM: f'This does not fit the rest: {reason}.'}
    return {}


def _own(part: forms.Raw) -> forms.Raw:
    return {
        key: content
        for key, content in part.items()
        if key not in drafts.PART_LISTS
    }


def _pools(draft: drafts.Draft, subject: subjects.Subject) -> tuple[str, ...]:
    kind = 'service' if subject is subjects.SERVICES else 'engine'
    return tuple(
        pool['name'] for pool in draft.parts(('pools',)) if pool['kind'] == kind
    )


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
