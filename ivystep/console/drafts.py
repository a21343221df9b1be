"""An operator's draft: a base version of the setup and edits of parts.

A part is an item of a list in the setup document: a pool, a service, an
account, or an application or adapter of an account.
"""

import copy
import dataclasses
import json
import types
import typing

from ivystep.core import errors, ids
from ivystep.setup import difference, document, strict_json

Raw = dict[str, typing.Any]
Path = tuple[str, ...]
MODEL_BY_LIST = types.MappingProxyType(
    {
        'pools': document.Pool,
        'services': document.Service,
        'accounts': document.Account,
    }
)
PART_LISTS = frozenset({'applications', 'adapters'})


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """An edit that adds, replaces or removes one part.

    Attributes:
        path: Alternating list names and part names, such as
            ``('accounts', 'authority', 'adapters', 'letters')``.
        part: Content of the part without the lists in ``PART_LISTS``; None
            removes the part.
    """

    path: Path
    part: Raw | None


class Draft:
    """A setup document that an operator is editing.

    Args:
        version: Setup version that the draft is based on.
        base: Document of that version.
    """

    def __init__(self, version: int, base: document.Document) -> None:
        self.base_version = version
        self.base = base
        self.document = base
        self.submission_id = ids.new_id('sub')
        self._raw: Raw = base.model_dump(mode='json')
        self._edits: list[Edit] = []

    @property
    def changes(self) -> list[difference.Change]:
        """Differences from the base version."""
        return difference.compare_documents(self.base, self.document)

    def part(self, path: Path) -> Raw | None:
        """Return a part, or None if it does not exist.

        Args:
            path: Path of the part; see ``Edit``.
        """
        return find_part(self._raw, path)

    def parts(self, path: Path) -> list[Raw]:
        """Return the parts of a list.

        Args:
            path: Path of the part that has the list, then the list name.
        """
        owner = self._raw if len(path) == 1 else self.part(path[:-1])
        return owner.get(path[-1], []) if owner else []

    def apply_edit(self, edit: Edit) -> None:
        """Apply an edit if the whole document stays valid.

        Args:
            edit: The edit.

        Raises:
            errors.SetupError: The document would become invalid; the draft
                is unchanged.
        """
        key, name = edit.path[:2]
        changed = {
            list_name: list(parts) for list_name, parts in self._raw.items()
        }
        changed[key] = [
            copy.deepcopy(part) if part['name'] == name else part
            for part in changed[key]
        ]
        write_edit(changed, edit)
        self.document = self._validate(key, name, changed)
        self._raw = changed
        self._edits.append(edit)
        self.submission_id = ids.new_id('sub')

    def replace(self, source: document.Document) -> None:
        """Replace the whole document, to restore an earlier version."""
        self.document = source
        self._raw = source.model_dump(mode='json')
        self._edits = []
        self.submission_id = ids.new_id('sub')

    def rebase(
        self, version: int, base: document.Document
    ) -> tuple['Draft', list[str]]:
        """Apply the edits to a newer version.

        An edit is left out if another operator changed the same part, or if
        it would make the newer document invalid; the operator then decides
        again about it.

        Args:
            version: The newer setup version.
            base: Document of the newer version.

        Returns:
            The new draft, and the reason for each edit that was left out.
        """
        rebased = Draft(version, base)
        newer_raw = base.model_dump(mode='json')
        base_raw = self.base.model_dump(mode='json')
        omitted = []
        for edit in self._edits:
            if own_fields(newer_raw, edit.path) != own_fields(
                base_raw, edit.path
            ):
                omitted.append(
                    f'{_describe_path(edit.path)} was also changed by '
                    f'another operator'
                )
                continue
            try:
                rebased.apply_edit(edit)
            except errors.SetupError as error:
                omitted.append(f'{_describe_path(edit.path)}: {error.reason}')
        return rebased, list(dict.fromkeys(omitted))

    def _validate(self, key: str, name: str, changed: Raw) -> document.Document:
        """Validate the edited part, then the references between all parts.

        The models of the other parts are reused, because validating all of
        120,000 adapters took 5 s for each edit.
        """
        models = {part.name: part for part in getattr(self.document, key)}
        models.pop(name, None)
        for index, part in enumerate(changed[key]):
            if part['name'] == name:
                model = MODEL_BY_LIST[key]
                models[name] = strict_json.validate(model, part, 'draft')
                # Dump the model, so that a new part has all default values.
                changed[key][index] = models[name].model_dump(mode='json')
        fields = {
            list_name: getattr(self.document, list_name)
            for list_name in MODEL_BY_LIST
        }
        fields[key] = tuple(models[item['name']] for item in changed[key])
        return strict_json.validate(document.Document, fields, 'draft')


def find_part(raw: Raw, path: Path) -> Raw | None:
    """Return the part at a path, or None if it does not exist."""
    part: Raw | None = raw
    for key, name in zip(path[::2], path[1::2], strict=True):
        siblings = part.get(key, []) if part else []
        part = next((item for item in siblings if item['name'] == name), None)
    return part


def own_fields(raw: Raw, path: Path) -> Raw | None:
    """Return a part without its lists of other parts, or None if missing."""
    part = find_part(raw, path)
    if part is None:
        return None
    return {
        key: content for key, content in part.items() if key not in PART_LISTS
    }


def part_digest(part: Raw) -> str:
    """Return the digest of a part without its lists of other parts."""
    own = {key: one for key, one in part.items() if key not in PART_LISTS}
    return ids.digest(json.dumps(own, sort_keys=True).encode()).hex()


def write_edit(raw: Raw, edit: Edit) -> None:
    """Write an edit into a raw document.

    Raises:
        errors.SetupError: The part that has the list no longer exists.
    """
    owner = raw if len(edit.path) == 2 else find_part(raw, edit.path[:-2])
    if owner is None:
        raise errors.SetupError(
            f'{_describe_path(edit.path[:-2])} no longer exists'
        )
    key, name = edit.path[-2:]
    siblings = owner.get(key, [])
    names = [part['name'] for part in siblings]
    if edit.part is None:
        owner[key] = [part for part in siblings if part['name'] != name]
    elif name in names:
        index = names.index(name)
        siblings[index] = {**edit.part, **_part_lists(siblings[index])}
    else:
        owner[key] = [*siblings, edit.part]


def _part_lists(part: Raw) -> Raw:
    return {key: content for key, content in part.items() if key in PART_LISTS}


def _describe_path(path: Path) -> str:
    return ', '.join(
        f'{key.removesuffix("s")} {name}'
        for key, name in zip(path[::2], path[1::2], strict=True)
    )
