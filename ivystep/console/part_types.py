"""Defines the types of parts that have a form, and the fields of each form."""

import dataclasses
import enum
import types
import typing

import pydantic

from ivystep.setup import document


class FieldKind(enum.Enum):
    """How a field is displayed and parsed."""

    NAME = 'name'
    TEXT = 'text'
    NUMBER = 'number'
    WHOLE = 'whole'
    FLAG = 'flag'
    CHOICE = 'choice'
    LINES = 'lines'
    VERSIONS = 'versions'


@dataclasses.dataclass(frozen=True, slots=True)
class Field:
    """One field of a form.

    Attributes:
        key: Key in the part; ``limits.queue`` is the key ``queue`` of the
            object ``limits``.
        kind: How the field is displayed and parsed.
        label: Label of the field.
        hint: Explanation below the label.
        default: Text of the field for a new part.
        choices: Options of a choice; empty if they depend on the draft.
    """

    key: str
    kind: FieldKind
    label: str
    hint: str = ''
    default: str = ''
    choices: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PartType:
    """A type of part that has its own form.

    Attributes:
        key: Name of the list in the document.
        title: Heading of the list.
        singular: Noun for one part.
        model: Model that validates one part.
        fields: Fields of the form.
        part_lists: Lists within a part whose parts have their own forms.
    """

    key: str
    title: str
    singular: str
    model: type[pydantic.BaseModel]
    fields: tuple[Field, ...]
    part_lists: tuple[str, ...] = ()

    def field(self, key: str) -> Field | None:
        """Return a field by its key."""
        return next((one for one in self.fields if one.key == key), None)


NAME = Field(
    'name',
    FieldKind.NAME,
    'Name',
    'Lowercase letters, digits, dots and hyphens. It cannot be changed later.',
)
LIMITS = (
    Field(
        'limits.requests_per_s',
        FieldKind.NUMBER,
        'Requests per second',
        'Sustained rate.',
        '100',
    ),
    Field(
        'limits.burst',
        FieldKind.WHOLE,
        'Burst',
        'Requests above the sustained rate that are accepted at once.',
        '100',
    ),
    Field(
        'limits.concurrency',
        FieldKind.WHOLE,
        'Running at once',
        'Requests that may run at once at each entry.',
        '256',
    ),
    Field(
        'limits.queue',
        FieldKind.WHOLE,
        'Waiting at once',
        'Requests that may wait at once at each entry.',
        '256',
    ),
)
POOLS = PartType(
    'pools',
    'Pools',
    'pool',
    document.Pool,
    (
        NAME,
        Field(
            'kind',
            FieldKind.CHOICE,
            'What the pool runs',
            'Model engines, or a plain service.',
            'engine',
            ('engine', 'service'),
        ),
        Field('region', FieldKind.TEXT, 'Region', default='local'),
        Field(
            'batching_weight',
            FieldKind.NUMBER,
            'Batching weight',
            'From 0 (short waits for an adapter) to 1 (full batches).',
            '0.2',
        ),
        Field(
            'loads_per_s',
            FieldKind.NUMBER,
            'Loads per second',
            'Adapter loads per second that the weight store allows.',
            '2',
        ),
    ),
)
SERVICES = PartType(
    'services',
    'Services',
    'service',
    document.Service,
    (
        NAME,
        Field(
            'pool', FieldKind.CHOICE, 'Pool', 'The pool that runs the service.'
        ),
        Field(
            'non_idempotent_paths',
            FieldKind.LINES,
            'Calls that must never be repeated',
            'One path on each line, for example returns/log.',
        ),
    ),
)
ACCOUNTS = PartType(
    'accounts',
    'Client accounts',
    'client account',
    document.Account,
    (
        NAME,
        Field(
            'weight',
            FieldKind.NUMBER,
            'Weight',
            'Relative share of the engines when accounts compete; usually 1.',
            '1',
        ),
        *LIMITS,
    ),
    ('applications', 'adapters'),
)
APPLICATIONS = PartType(
    'applications',
    'Applications',
    'application',
    document.Application,
    (
        NAME,
        Field(
            'grants',
            FieldKind.LINES,
            'Adapters that it may call',
            'One adapter name on each line.',
        ),
        Field(
            'services',
            FieldKind.LINES,
            'Services that it may call',
            'One service name on each line.',
        ),
        Field(
            'idempotent',
            FieldKind.FLAG,
            'Requests may safely be repeated',
            'Choose no if repeating a request does harm, for example causes a '
            'second delivery. Each request then runs at most once.',
            'yes',
        ),
        *LIMITS,
    ),
)
ADAPTERS = PartType(
    'adapters',
    'Adapters',
    'adapter',
    document.Adapter,
    (
        NAME,
        Field(
            'pool',
            FieldKind.CHOICE,
            'Pool',
            'The base model that it belongs to.',
        ),
        Field(
            'versions',
            FieldKind.VERSIONS,
            'Versions',
            'One on each line: number, a space, location of the weights.',
        ),
        Field(
            'active_version',
            FieldKind.WHOLE,
            'Active version',
            'Used when a caller does not name a version.',
            '1',
        ),
    ),
)
PART_TYPE_BY_KEY: typing.Final = types.MappingProxyType(
    {
        part_type.key: part_type
        for part_type in (POOLS, SERVICES, ACCOUNTS, APPLICATIONS, ADAPTERS)
    }
)
TOP_LEVEL_PART_TYPES = (ACCOUNTS, POOLS, SERVICES)
