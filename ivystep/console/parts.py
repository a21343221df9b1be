"""Pages that list, add, change and remove parts of a draft."""

import dataclasses
import hashlib
import secrets
import typing

from ivystep.console import drafts, forms, part_types, sessions, web
from ivystep.core import errors

KEY_BYTES = 32
MAX_LISTED_PARTS = 200
# A form names the part that it was filled from. Saved onto another state of
# it, it would undo changes that its operator has not seen.
CHANGED_TEXT = (
    'This part has changed since you opened this page, and nothing was saved. '
    'Your input is kept below; open the page again to see the present values.'
)


@dataclasses.dataclass(frozen=True, slots=True)
class PartPages:
    """Handles the paths ``/list``, ``/new``, ``/part`` and ``/keys``."""

    pages: web.PageRenderer

    def listing(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        """Show the parts of a list."""
        path, draft = request.path[1:], _draft(session)
        part_type = part_types.PART_TYPE_BY_KEY[path[-1]]
        search_text = request.query.get('find', '').strip().lower()
        names = [part['name'] for part in draft.parts(path)]
        found = [name for name in sorted(names) if search_text in name]
        return self.pages.render(
            'list',
            session,
            part_type=part_type,
            path=path,
            names=found[:MAX_LISTED_PARTS],
            total=len(names),
            hidden=max(0, len(found) - MAX_LISTED_PARTS),
            find=search_text,
        )

    def new(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        """Show an empty form, or add a part."""
        path = request.path[1:]
        part_type = part_types.PART_TYPE_BY_KEY[path[-1]]
        text_by_key = forms.default_texts(part_type)
        if request.method != 'POST':
            return self._render_form(
                session, path, part_type, text_by_key, {}, is_new=True
            )
        existing: forms.Raw = {}
        key = ''
        if part_type is part_types.APPLICATIONS:
            key = secrets.token_urlsafe(KEY_BYTES)
            existing['key_digests'] = [_key_digest(key)]
        text_by_key = {**text_by_key, **request.form}
        result = forms.parse_form(part_type, text_by_key, existing)
        problems = dict(result.error_by_key)
        name = str(result.part['name']) if result.part else ''
        if name and _draft(session).part((*path, name)):
            problems['name'] = f'There is already a part named {name}.'
        if not problems:
            problems = _apply_to_draft(session, (*path, name), result.part)
        if problems:
            return self._render_form(
                session, path, part_type, text_by_key, problems, is_new=True
            )
        if key:
            return self._show_key(session, (*path, name), key)
        session.notice = f'{name} was added to your draft.'
        return web.redirect(f'/part/{"/".join((*path, name))}')

    def part(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        """Show a part, or save or remove it."""
        path = request.path[1:]
        part_type = part_types.PART_TYPE_BY_KEY[path[-2]]
        part = _draft(session).part(path)
        if part is None:
            return not_found(self.pages, session)
        text_by_key = forms.texts_from_part(part_type, part)
        if request.method != 'POST':
            return self._render_form(
                session, path, part_type, text_by_key, {}, is_new=False
            )
        text_by_key = {**text_by_key, **request.form, 'name': path[-1]}
        digest = drafts.part_digest(part)
        if request.form.get('shown', digest) != digest:
            problems = {forms.WHOLE_FORM: CHANGED_TEXT}
            return self._render_form(
                session,
                path,
                part_type,
                text_by_key,
                problems,
                is_new=False,
                changed_from=request.form['shown'],
            )
        problems = {}
        if request.form.get('action') == 'remove':
            problems = _apply_to_draft(session, path, None)
            success = web.redirect(f'/list/{"/".join(path[:-1])}')
        else:
            result = forms.parse_form(part_type, text_by_key, part)
            problems = dict(result.error_by_key)
            if result.part is not None:
                problems = _apply_to_draft(
                    session, path, _without_lists(result.part)
                )
            success = web.redirect(f'/part/{"/".join(path)}')
        if problems:
            return self._render_form(
                session, path, part_type, text_by_key, problems, is_new=False
            )
        session.notice = (
            'Your draft was changed. The change is not in force yet.'
        )
        return success

    def keys(
        self, request: web.Request, session: sessions.Session
    ) -> web.Response:
        """Add or remove a bearer key of an application."""
        path = request.path[1:]
        part = _draft(session).part(path)
        is_key_form = (
            request.method == 'POST' and path[-2] == part_types.APPLICATIONS.key
        )
        if part is None or not is_key_form:
            return not_found(self.pages, session)
        removed = request.form.get('remove', '')
        key = ''
        digests = [one for one in part['key_digests'] if one != removed]
        if not removed:
            key = secrets.token_urlsafe(KEY_BYTES)
            digests.append(_key_digest(key))
        problems = _apply_to_draft(
            session, path, {**part, 'key_digests': digests}
        )
        if problems:
            session.notice = problems[forms.WHOLE_FORM]
        elif key:
            return self._show_key(session, path, key)
        return web.redirect(f'/part/{"/".join(path)}')

    def _show_key(
        self, session: sessions.Session, path: drafts.Path, key: str
    ) -> web.Response:
        return self.pages.render('key', session, path=path, key=key)

    def _render_form(
        self,
        session: sessions.Session,
        path: drafts.Path,
        part_type: part_types.PartType,
        text_by_key: typing.Mapping[str, str],
        problems: typing.Mapping[str, str],
        *,
        is_new: bool,
        changed_from: str = '',
    ) -> web.Response:
        draft = _draft(session)
        status = 409 if changed_from else 422
        part = None if is_new else draft.part(path)
        return self.pages.render(
            'form',
            session,
            status=status if problems else 200,
            part_type=part_type,
            path=path,
            text_by_key=text_by_key,
            problems=problems,
            is_new=is_new,
            part=part or {},
            # The same form is refused again until it is opened anew.
            shown=changed_from or drafts.part_digest(part or {}),
            choices={
                field.key: field.choices or _pool_names(draft, part_type)
                for field in part_type.fields
                if field.kind is part_types.FieldKind.CHOICE
            },
            part_types=part_types.PART_TYPE_BY_KEY,
        )


def not_found(
    pages: web.PageRenderer, session: sessions.Session | None
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


def _apply_to_draft(
    session: sessions.Session, path: drafts.Path, part: forms.Raw | None
) -> dict[str, str]:
    try:
        _draft(session).apply_edit(drafts.Edit(path, part))
    except errors.SetupError as error:
        reason = error.reason.removeprefix('draft: ').removeprefix('document: ')
        return {forms.WHOLE_FORM: f'This conflicts with the setup: {reason}.'}
    return {}


def _without_lists(part: forms.Raw) -> forms.Raw:
    return {
        key: content
        for key, content in part.items()
        if key not in drafts.PART_LISTS
    }


def _pool_names(
    draft: drafts.Draft, part_type: part_types.PartType
) -> tuple[str, ...]:
    kind = 'service' if part_type is part_types.SERVICES else 'engine'
    return tuple(
        pool['name'] for pool in draft.parts(('pools',)) if pool['kind'] == kind
    )


def _key_digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
