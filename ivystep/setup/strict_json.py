"""Parses setup documents from untrusted JSON with bounded memory."""

import json
import typing

import pydantic

from ivystep.core import errors
from ivystep.setup import document

MAX_DOCUMENT_BYTES = 33554432
# Objects and arrays. 120,000 adapters need about 500,000. The limit bounds the
# memory: an empty array takes about 60 bytes, but only three bytes of text.
MAX_CONTAINERS = 1000000
MAX_VALUES = 4000000
MAX_FIELDS_PER_OBJECT = 64
MAX_REPORTED_PROBLEMS = 20

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def parse_document(text: str, source: str) -> document.Document:
    """Parse and validate a setup document.

    Args:
        text: JSON text.
        source: Name of the file or service, for error messages.

    Returns:
        The validated document.

    Raises:
        errors.SetupError: Has one line per problem, which names the source
            and the location in the document.
    """
    return validate(document.Document, parse_json(text, source), source)


def parse_json(text: str, source: str) -> typing.Any:
    """Parse JSON strictly and within size limits.

    Args:
        text: JSON text.
        source: Name of the file or service, for error messages.

    Returns:
        Dictionaries, lists and scalars.

    Raises:
        errors.SetupError: The text is not JSON, is too long or too deeply
            nested, or has duplicate keys or a number such as ``NaN``.
    """
    _check_size(text, source)
    try:
        return json.loads(
            text,
            object_pairs_hook=_unique_fields,
            parse_constant=_reject_constant,
        )
    except RecursionError as error:
        raise _error(source, 'nested too deeply') from error
    except ValueError as error:
        raise _error(source, str(error)) from error


def validate(model: type[_Model], content: typing.Any, source: str) -> _Model:
    """Validate parsed JSON with a model.

    Args:
        model: The model of the content.
        content: Parsed JSON.
        source: Name of the file or service, for error messages.

    Returns:
        The validated instance of the model.

    Raises:
        errors.SetupError: Has one line per problem.
    """
    try:
        return model.model_validate(content)
    except pydantic.ValidationError as error:
        lines = describe_errors(error, content)
        raise errors.SetupError(
            '\n'.join(f'{source}: {line}' for line in lines)
        ) from error


def describe_errors(
    error: pydantic.ValidationError, content: typing.Any
) -> list[str]:
    """Return one line per problem, with its location in the content.

    Args:
        error: The error of the model.
        content: The validated content, for the names of list elements.

    Returns:
        At most ``MAX_REPORTED_PROBLEMS`` lines.
    """
    problems = error.errors(
        include_url=False, include_input=False, include_context=False
    )
    lines = [
        f'{format_location(problem["loc"], content)}: '
        f'{problem["msg"].removeprefix("Value error, ")}'
        for problem in problems[:MAX_REPORTED_PROBLEMS]
    ]
    omitted = len(problems) - len(lines)
    if omitted:
        lines.append(f'{omitted} further problems')
    return lines


def format_location(
    location: tuple[int | str, ...], content: typing.Any
) -> str:
    """Return a location in a document as text.

    Args:
        location: Keys and indexes from the top of the document.
        content: The document, for the names of list elements.

    Returns:
        For example ``accounts[2] (vanhoutte) > weight``.
    """
    parts: list[str] = []
    for step in location:
        content = _child(content, step)
        if isinstance(step, int) and parts:
            parts[-1] = f'{parts[-1]}[{step}]{_name_suffix(content)}'
        else:
            parts.append(str(step))
    return ' > '.join(parts) or 'document'


def _child(content: typing.Any, step: int | str) -> typing.Any:
    try:
        return content[step]
    except (KeyError, IndexError, TypeError):
        return None


def _name_suffix(content: typing.Any) -> str:
    name = content.get('name') if isinstance(content, dict) else None
    return f' ({name[:64]})' if isinstance(name, str) else ''


def _check_size(text: str, source: str) -> None:
    if len(text) > MAX_DOCUMENT_BYTES:
        raise _error(source, f'longer than {MAX_DOCUMENT_BYTES} bytes')
    if text.count('[') + text.count('{') > MAX_CONTAINERS:
        raise _error(source, f'more than {MAX_CONTAINERS} objects and arrays')
    if text.count(',') > MAX_VALUES:
        raise _error(source, f'more than {MAX_VALUES} values')


def _unique_fields(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    if len(pairs) > MAX_FIELDS_PER_OBJECT:
        raise ValueError(
            f'an object has more than {MAX_FIELDS_PER_OBJECT} fields'
        )
    fields: dict[str, typing.Any] = {}
    for key, content in pairs:
        if key in fields:
            raise ValueError(
                f'the field {key[:64]!r} is repeated in one object'
            )
        fields[key] = content
    return fields


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not a JSON number')


def _error(source: str, reason: str) -> errors.SetupError:
    return errors.SetupError(f'{source}: document: {reason}')
