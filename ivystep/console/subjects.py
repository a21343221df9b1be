"""The parts of the setup that have a form, and the fields of each form."""

import dataclasses
import enum
import types
import typing

import pydantic

from ivystep.setup import document


class Kind(enum.Enum):
    """How a field is shown and read."""

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
            part ``limits``.
        label: Label beside the field.
        hint: One sentence below the label.
        default: Content of the field for a new part.
        choices: What a choice offers; empty if it depends on the draft.
    """

    key: str
    kind: Kind
    label: str
    hint: str = ''
    default: str = ''
    choices: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """A kind of part with a form of its own.

    Attributes:
        key: Name of the list in the document.
        title: Heading of the list.
        singular: What one part is called.
        model: Model that validates one part.
        parts: Lists within a part that have forms of their own.
    """

    key: str
    title: str
    singular: str
    model: type[pydantic.BaseModel]
    fields: tuple[Field, ...]
    parts: tuple[str, ...] = ()

    def field(self, key: str) -> Field | None:
        """Return a field by its key."""
        return next((one for one in self.fields if one.key == key), None)


NAME = Field(
    'name',
    Kind.NAME,
    'Name',
    'Small letters, digits, dots and hyphens. It cannot be changed later.',
)
LIMITS = (
    Field(
        'limits.requests_per_s',
        Kind.NUMBER,
        'Requests per second',
        'The rate that may be sustained.',
        '100',
    ),
    Field(
        'limits.burst',
        Kind.WHOLE,
        'Burst',
        'Requests above the rate that may arrive at once.',
        '100',
    ),
    Field(
        'limits.concurrency',
        Kind.WHOLE,
        'Running at once',
        'Requests that may run at once at each entry.',
        '256',
    ),
    Field(
        'limits.queue',
        Kind.WHOLE,
        'Waiting at once',
        'Requests that may wait at once at each entry.',
        '256',
    ),
)
POOLS = Subject(
    'pools',
    'Pools',
    'pool',
    document.Pool,
    (
        NAME,
        Field(
            'kind',
            Kind.CHOICE,
            'What the pool runs',
            'Model engines, or a plain service.',
            'engine',
            ('engine', 'service'),
        ),
        Field('region', Kind.TEXT, 'Region', default='local'),
        Field(
            'batching_weight',
            Kind.NUMBER,
            'Batching weight',
            'From 0 (short waits for an adapter) to 1 (full batches).',
            '0.2',
        ),
        Field(
            'loads_per_s',
            Kind.NUMBER,
            'Loads per second',
            'Adapter loads per second that the weight store allows.',
            '2',
        ),
    ),
)
SERVICES = Subject(
    'services',
    'Services',
    'service',
    document.Service,
    (
        NAME,
        Field('pool', Kind.CHOICE, 'Pool', 'The pool that runs the service.'),
        Field(
            'non_idempotent_paths',
            Kind.LINES,
            'Calls that must never be repeated',
            'One path on each line, for example returns/log.',
        ),
    ),
)
ACCOUNTS = Subject(
    'accounts',
    'Client accounts',
    'client account',
    document.Account,
    (
        NAME,
        Field(
            'weight',
            Kind.NUMBER,
            'Weight',
            'Share of the engines when accounts compete; 1 is usual.',
            '1',
        ),
        *LIMITS,
    ),
    ('applications', 'adapters'),
)
APPLICATIONS = Subject(
    'applications',
    'Applications',
    'application',
    document.Application,
    (
        NAME,
        Field(
            'grants',
            Kind.LINES,
            'Adapters that it may call',
            'One adapter name on each line.',
        ),
        Field(
            'services',
            Kind.LINES,
            'Services that it may call',
            'One service name on each line.',
        ),
        Field(
            'idempotent',
            Kind.FLAG,
            'Requests may safely be repeated',
            'Choose no if a repeated request does harm, for example a second '
            'delivery. Each request then runs at most once.',
            'yes',
        ),
        *LIMITS,
    ),
)
ADAPTERS = Subject(
    'adapters',
    'Adapters',
    'adapter',
    document.Adapter,
    (
        NAME,
        Field(
            'pool', Kind.CHOICE, 'Pool', 'The base model that it belongs to.'
        ),
        Field(
            'versions',
            Kind.VERSIONS,
            'Versions',
            'One on each line: the number, a space, the place of the weights.',
        ),
        Field(
            'active_version',
            Kind.WHOLE,
            'Active version',
            'The version that is used when a caller names none.',
            '1',
        ),
    ),
)
SUBJECT_BY_KEY: typing.Final = types.MappingProxyType(
    {
        subject.key: subject
        for subject in (POOLS, SERVICES, ACCOUNTS, APPLICATIONS, ADAPTERS)
    }
)
TOP_SUBJECTS = (ACCOUNTS, POOLS, SERVICES)
