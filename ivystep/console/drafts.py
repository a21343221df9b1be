"""The draft of one operator: a base version and edits of single parts."""

import copy
import dataclasses
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
    """One edited part.

    Attributes:
        path: List name and part name in turn, such as
            ``('accounts', 'authority', 'adapters', 'letters')``.
        part: The part without the lists that have forms of their own; None
            if it was removed.
    """

    path: Path
    part: Raw | None


class Draft:
    """A setup that an operator is working on.

    Args:
        version: Version that it is drawn from.
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
        """Return a part, or None if there is none.

        Args:
            path: See ``Edit``.
        """
        return find(self._raw, path)

    def parts(self, path: Path) -> list[Raw]:
        """Return the parts of a list.

        Args:
            path: Path of the owner, then the name of the list.
        """
        owner = self._raw if len(path) == 1 else self.part(path[:-1])
        return owner.get(path[-1], []) if owner else []

    def apply(self, edit: Edit) -> None:
        """Apply an edit if the whole document stays valid.

        Args:
            edit: The edit.

        Raises:
            errors.SetupError: The document would not be valid; nothing was
                changed.
        """
        key, name = edit.path[:2]
        changed = {listed: list(parts) for listed, parts in self._raw.items()}
        changed[key] = [
            copy.deepcopy(part) if part['name'] == name else part
            for part in changed[key]
        ]
        put(changed, edit)
        self.document = self._validate(key, name, changed)
        self._raw = changed
        self._edits.append(edit)
        self.submission_id = ids.new_id('sub')

    def replace(self, source: document.Document) -> None:
        """Replace the whole content, to restore an earlier version."""
        self.document = source
        self._raw = source.model_dump(mode='json')
        self._edits = []
        self.submission_id = ids.new_id('sub')

    def rebase(
        self, version: int, base: document.Document
    ) -> tuple['Draft', list[str]]:
        """Carry the edits over to a newer version.

        An edit is left out if another operator changed the same part, or if
        it no longer fits; the operator decides about it anew.

        Args:
            version: The newer version.
            base: Its document.

        Returns:
            The new draft, and a sentence for each edit that was left out.
        """
        fresh = Draft(version, base)
        theirs = base.model_dump(mode='json')
        ours = self.base.model_dump(mode='json')
        left_out = []
        for edit in self._edits:
            if own_fields(theirs, edit.path) != own_fields(ours, edit.path):
                left_out.append(
                    f'{_name(edit.path)} was changed by somebody else too'
                )
                continue
            try:
                fresh.apply(edit)
            except errors.SetupError as error:
                left_out.append(f'{_name(edit.path)}: {error.reason}')
        return fresh, list(dict.fromkeys(left_out))

    def _validate(self, key: str, name: str, changed: Raw) -> document.Document:
        """Validate the edited part, then the references of all parts.

        The models of the other parts are used again: validating 120,000
        adapters for each edit took 5 s.
        """
        models = {part.name: part for part in getattr(self.document, key)}
        models.pop(name, None)
        for index, part in enumerate(changed[key]):
            if part['name'] == name:
                model = MODEL_BY_LIST[key]
                models[name] = strict_json.validate(model, part, 'draft')
                # Dumped again, so that new parts have all defaults.
                changed[key][index] = models[name].model_dump(mode='json')
        fields = {
            listed: getattr(self.document, listed) for listed in MODEL_BY_LIST
        }
        fields[key] = tuple(models[one['name']] for one in changed[key])
        return strict_json.validate(document.Document, fields, 'draft')


def find(raw: Raw, path: Path) -> Raw | None:
    """Return the part at a path, or None."""
    part: Raw | None = raw
    for key, name in zip(path[::2], path[1::2], strict=True):
        listed = part.get(key, []) if part else []
        part = next((one for one in listed if one['name'] == name), None)
    return part


def own_fields(raw: Raw, path: Path) -> Raw | None:
    """Return a part without its lists of other parts."""
    part = find(raw, path)
    if part is None:
        return None
    return {
        key: content for key, content in part.items() if key not in PART_LISTS
    }


def put(raw: Raw, edit: Edit) -> None:
    """Write an edit into a raw document.

    Raises:
        errors.SetupError: The owner of the part no longer exists.
    """
    owner = raw if len(edit.path) == 2 else find(raw, edit.path[:-2])
    if owner is None:
        raise errors.SetupError(f'{_name(edit.path[:-2])} no longer exists')
    key, name = edit.path[-2:]
    listed = owner.get(key, [])
    names = [one['name'] for one in listed]
    if edit.part is None:
        owner[key] = [one for one in listed if one['name'] != name]
    elif name in names:
        index = names.index(name)
        listed[index] = {**edit.part, **_part_lists(listed[index])}
    else:
        owner[key] = [*listed, edit.part]


def _part_lists(part: Raw) -> Raw:
    return {key: content for key, content in part.items() if key in PART_LISTS}


def _name(path: Path) -> str:
    return ', '.join(
        f'{key.removesuffix("s")} {name}'
        for key, name in zip(path[::2], path[1::2], strict=True)
    )
