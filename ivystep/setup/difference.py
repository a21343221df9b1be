"""Lists the differences between two setups for operators."""

import dataclasses
import types
import typing
from collections.abc import Iterable, Iterator, Mapping

import pydantic

from ivystep.setup import document, snapshot

SHORT_DIGEST_DIGITS = 12
MAX_SHOWN_CHARACTERS = 80
# Lists of parts, with the field that identifies a part across versions.
ID_FIELD_BY_LIST = types.MappingProxyType(
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
    """One difference between two setups.

    Attributes:
        account: Name of the changed account, empty for pools and services.
        path: Enclosing parts from the outermost, such as ``adapter letters``.
        text: Description, such as ``active_version changed from 1 to 2``.
    """

    account: str
    path: tuple[str, ...]
    text: str

    def __str__(self) -> str:
        """Return the difference as one line."""
        owner = (f'account {self.account}',) if self.account else ()
        return ': '.join((*owner, *self.path, self.text))


def compare_documents(
    old: document.Document | None, new: document.Document
) -> list[Change]:
    """Compare two whole documents.

    Args:
        old: The earlier document, None for an empty setup.
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
    """Compare two snapshots, parsing only the sections that differ.

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
    """Compare the pools and services of two setups."""
    return [
        Change('', path, text)
        for path, text in _compare_fields(_dump(old), _dump(new), ())
    ]


def compare_accounts(
    old: document.Account | None, new: document.Account | None
) -> list[Change]:
    """Compare two versions of an account.

    Args:
        old: The earlier version, None if the account is new.
        new: The later version, None if the account was removed.
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
        Change(new.name, path, text)
        for path, text in _compare_fields(_dump(old), _dump(new), ())
    ]


def _dump(part: pydantic.BaseModel) -> dict[str, _Json]:
    return part.model_dump(mode='json')


_LocatedText = tuple[tuple[str, ...], str]


def _compare_fields(
    old: Mapping[str, _Json], new: Mapping[str, _Json], path: tuple[str, ...]
) -> Iterator[_LocatedText]:
    for key, before in old.items():
        after = new.get(key)
        if before != after:
            yield from _compare_field(key, before, after, path)


def _compare_field(
    key: str, before: _Json, after: _Json, path: tuple[str, ...]
) -> Iterator[_LocatedText]:
    if isinstance(before, list):
        has_parts = any(isinstance(part, dict) for part in (*before, *after))
        compare = _compare_parts if has_parts else _compare_values
        yield from compare(key, before, after, path)
    elif isinstance(before, dict):
        yield from _compare_fields(before, after, (*path, key))
    else:
        text = (
            f'{key} changed from {_format_value(before)} '
            f'to {_format_value(after)}'
        )
        yield path, text


def _compare_parts(
    key: str,
    old: Iterable[_Json],
    new: Iterable[_Json],
    path: tuple[str, ...],
) -> Iterator[_LocatedText]:
    id_field = ID_FIELD_BY_LIST[key]
    old_by_id = {part[id_field]: part for part in old}
    new_by_id = {part[id_field]: part for part in new}
    for name in (
        *old_by_id,
        *(added_id for added_id in new_by_id if added_id not in old_by_id),
    ):
        part_path = (*path, f'{_singular(key)} {name}')
        if name not in new_by_id:
            yield part_path, 'removed'
        elif name not in old_by_id:
            yield part_path, f'added{_summarize(new_by_id[name], id_field)}'
        else:
            yield from _compare_fields(
                old_by_id[name], new_by_id[name], part_path
            )


def _compare_values(
    key: str,
    old: Iterable[_Json],
    new: Iterable[_Json],
    path: tuple[str, ...],
) -> Iterator[_LocatedText]:
    earlier, later = set(old), set(new)
    name = _singular(key)
    for removed in sorted(earlier - later):
        yield path, f'{name} {_format_value(removed)} removed'
    for added in sorted(later - earlier):
        yield path, f'{name} {_format_value(added)} added'
    if earlier == later:
        yield path, f'order of {key} changed'


def _summarize(part: Mapping[str, _Json], id_field: str) -> str:
    scalars = [
        f'{key} {_format_value(content)}'
        for key, content in part.items()
        if key != id_field and not isinstance(content, (list, dict))
    ]
    counts = [
        f'{len(content)} {key}'
        for key, content in part.items()
        if isinstance(content, list) and content
    ]
    return (
        f' with {", ".join((*scalars, *counts))}' if scalars or counts else ''
    )


def _singular(key: str) -> str:
    return SINGULAR_BY_LIST.get(key, key.removesuffix('s'))


def _format_value(content: _Json) -> str:
    if isinstance(content, bool):
        return 'yes' if content else 'no'
    text = str(content)
    if len(text) == 64 and text.isalnum():
        return f'{text[:SHORT_DIGEST_DIGITS]}…'
    if len(text) > MAX_SHOWN_CHARACTERS:
        return f'{text[:MAX_SHOWN_CHARACTERS]}…'
    return text
