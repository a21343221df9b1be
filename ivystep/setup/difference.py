"""Readable differences between two setups, by account and key."""

import dataclasses
import types
import typing
from collections.abc import Iterable, Iterator, Mapping

import pydantic

from ivystep.setup import document, snapshot

SHORT_DIGEST_DIGITS = 12
MAX_SHOWN_CHARACTERS = 80
# Lists whose elements are parts with an identity, and the field that is it.
IDENTITY_BY_LIST = types.MappingProxyType(
    {
        'adapters': 'name',
        'applications': 'name',
        'pools': 'name',
        'services': 'name',
        'versions': 'version',
    }
)
SINGULAR_BY_LIST = types.MappingProxyType(
    {
        'key_digests': 'key',
        'non_idempotent_paths': 'non-idempotent path',
    }
)

_Json = typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One difference.

    Attributes:
        account: Account that it belongs to, empty for pools and services.
        place: Parts from the account down, such as ``adapter letters``.
        text: What changed, such as ``active_version changed from 1 to 2``.
    """

    account: str
    place: tuple[str, ...]
    text: str

    def __str__(self) -> str:
        """Return one line."""
        owner = (f'account {self.account}',) if self.account else ()
        return ': '.join((*owner, *self.place, self.text))


def compare_documents(
    old: document.Document | None, new: document.Document
) -> list[Change]:
    """Compare two whole documents.

    Args:
        old: The earlier document, None for an empty one.
        new: The later document.
    """
    old = old or document.Document()
    old_by_name = {account.name: account for account in old.accounts}
    new_by_name = {account.name: account for account in new.accounts}
    changes = compare_common(old.common, new.common)
    for name in sorted(old_by_name.keys() | new_by_name.keys()):
        changes.extend(
            compare_accounts(old_by_name.get(name), new_by_name.get(name))
        )
    return changes


def compare_snapshots(
    old: snapshot.Snapshot | None, new: snapshot.Snapshot
) -> list[Change]:
    """Compare two snapshots; only sections that differ are parsed.

    Args:
        old: The earlier snapshot, None for an empty setup.
        new: The later snapshot.

    Raises:
        errors.SetupError: A section is not valid.
    """
    old = old or snapshot.build(document.Common(), ())
    delta = snapshot.compare(old, new)
    changes = []
    if delta.is_common_changed:
        changes = compare_common(old.read_common(), new.read_common())
    for name in sorted((*delta.changed, *delta.removed)):
        before = old.read_account(name) if old.section(name) else None
        after = new.read_account(name) if new.section(name) else None
        changes.extend(compare_accounts(before, after))
    return changes


def compare_common(old: document.Common, new: document.Common) -> list[Change]:
    """Compare pools and services."""
    return [
        Change('', place, text)
        for place, text in _fields(_dump(old), _dump(new), ())
    ]


def compare_accounts(
    old: document.Account | None, new: document.Account | None
) -> list[Change]:
    """Compare an account with its earlier form.

    Args:
        old: None if the account is new.
        new: None if the account no longer exists.
    """
    if old == new:
        return []
    if new is None:
        return [Change(old.name, (), 'removed')] if old else []
    if old is None:
        blank = document.Account(name=new.name)
        return [
            Change(new.name, (), 'added'),
            *compare_accounts(blank, new),
        ]
    return [
        Change(new.name, place, text)
        for place, text in _fields(_dump(old), _dump(new), ())
    ]


def _dump(part: pydantic.BaseModel) -> dict[str, _Json]:
    return part.model_dump(mode='json')


_Found = tuple[tuple[str, ...], str]


def _fields(
    old: Mapping[str, _Json], new: Mapping[str, _Json], place: tuple[str, ...]
) -> Iterator[_Found]:
    for key, before in old.items():
        after = new.get(key)
        if before != after:
            yield from _field(key, before, after, place)


def _field(
    key: str, before: _Json, after: _Json, place: tuple[str, ...]
) -> Iterator[_Found]:
    if isinstance(before, list):
        is_parts = any(isinstance(part, dict) for part in (*before, *after))
        compare = _parts if is_parts else _values
        yield from compare(key, before, after, place)
    elif isinstance(before, dict):
        yield from _fields(before, after, (*place, key))
    else:
        text = f'{key} changed from {_show(before)} to {_show(after)}'
        yield place, text


def _parts(
    key: str,
    old: Iterable[_Json],
    new: Iterable[_Json],
    place: tuple[str, ...],
) -> Iterator[_Found]:
    identity = IDENTITY_BY_LIST[key]
    old_by_id = {part[identity]: part for part in old}
    new_by_id = {part[identity]: part for part in new}
    for name in (
        *old_by_id,
        *(one for one in new_by_id if one not in old_by_id),
    ):
        here = (*place, f'{_singular(key)} {name}')
        if name not in new_by_id:
            yield here, 'removed'
        elif name not in old_by_id:
            yield here, f'added{_summary(new_by_id[name], identity)}'
        else:
            yield from _fields(old_by_id[name], new_by_id[name], here)


def _values(
    key: str,
    old: Iterable[_Json],
    new: Iterable[_Json],
    place: tuple[str, ...],
) -> Iterator[_Found]:
    earlier, later = set(old), set(new)
    name = _singular(key)
    for gone in sorted(earlier - later):
        yield place, f'{name} {_show(gone)} removed'
    for added in sorted(later - earlier):
        yield place, f'{name} {_show(added)} added'
    if earlier == later:
        yield place, f'order of {key} changed'


def _summary(part: Mapping[str, _Json], identity: str) -> str:
    facts = [
        f'{key} {_show(content)}'
        for key, content in part.items()
        if key != identity and not isinstance(content, (list, dict))
    ]
    counts = [
        f'{len(content)} {key}'
        for key, content in part.items()
        if isinstance(content, list) and content
    ]
    return f' with {", ".join((*facts, *counts))}' if facts or counts else ''


def _singular(key: str) -> str:
    return SINGULAR_BY_LIST.get(key, key.removesuffix('s'))


def _show(content: _Json) -> str:
    if isinstance(content, bool):
        return 'yes' if content else 'no'
    text = str(content)
    if len(text) == 64 and text.isalnum():
        return f'{text[:SHORT_DIGEST_DIGITS]}…'
    if len(text) > MAX_SHOWN_CHARACTERS:
        return f'{text[:MAX_SHOWN_CHARACTERS]}…'
    return text
