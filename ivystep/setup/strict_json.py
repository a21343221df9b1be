"""Parses setup documents from untrusted text with bounded memory."""

import json
import typing

import pydantic

from ivystep.core import errors
from ivystep.setup import document

MAX_DOCUMENT_BYTES = 33554432
# 120,000 adapters need about 500,000 parts; an empty list takes about 60
# bytes of memory but only three bytes of text.
MAX_PARTS = 1000000
MAX_VALUES = 4000000
MAX_FIELDS_PER_PART = 64
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
        errors.SetupError: The message names the source, the place in the
            document and the problem, one line each.
    """
    return validate(document.Document, parse_json(text, source), source)


def parse_json(text: str, source: str) -> typing.Any:
    """Parse JSON strictly and within bounds.

    Args:
        text: JSON text.
        source: Name of the file or service, for error messages.

    Returns:
        Dictionaries, lists and scalars.

    Raises:
        errors.SetupError: The text is not JSON, too long, too deep, has
            duplicate keys or numbers that JSON does not know.
    """
    _check_size(text, source)
    try:
        return json.loads(
            text,
            object_pairs_hook=_unique_fields,
            parse_constant=_refuse_constant,
        )
    except RecursionError as error:
        raise _error(source, 'parts are nested too deeply') from error
    except ValueError as error:
        raise _error(source, str(error)) from error


def validate(model: type[_Model], content: typing.Any, source: str) -> _Model:
    """Validate parsed JSON.

    Args:
        model: The model to build.
        content: Parsed JSON.
        source: Name of the file or service, for error messages.

    Returns:
        The model.

    Raises:
        errors.SetupError: One line for each problem.
    """
    try:
        return model.model_validate(content)
    except pydantic.ValidationError as error:
        lines = describe(error, content)
        raise errors.SetupError(
            '\n'.join(f'{source}: {line}' for line in lines)
        ) from error


def describe(error: pydantic.ValidationError, content: typing.Any) -> list[str]:
    """Return one line for each problem, with the names of the parts.

    Args:
        error: What the model refused.
        content: What was validated, for the names of list elements.

    Returns:
        At most ``MAX_REPORTED_PROBLEMS`` lines.
    """
    problems = error.errors(
        include_url=False, include_input=False, include_context=False
    )
    lines = [
        f'{place(problem["loc"], content)}: '
        f'{problem["msg"].removeprefix("Value error, ")}'
        for problem in problems[:MAX_REPORTED_PROBLEMS]
    ]
    rest = len(problems) - len(lines)
    if rest:
        lines.append(f'{rest} further problems')
    return lines


def place(location: tuple[int | str, ...], content: typing.Any) -> str:
    """Describe a place in a document.

    Args:
        location: Keys and indexes from the top.
        content: The document.

    Returns:
        For example ``accounts[2] (vanhoutte) > weight``.
    """
    parts: list[str] = []
    for step in location:
        content = _child(content, step)
        if isinstance(step, int) and parts:
            parts[-1] = f'{parts[-1]}[{step}]{_name_of(content)}'
        else:
            parts.append(str(step))
    return ' > '.join(parts) or 'document'


def _child(content: typing.Any, step: int | str) -> typing.Any:
    try:
        return content[step]
    except (KeyError, IndexError, TypeError):
        return None


def _name_of(content: typing.Any) -> str:
    name = content.get('name') if isinstance(content, dict) else None
    return f' ({name[:64]})' if isinstance(name, str) else ''


def _check_size(text: str, source: str) -> None:
    if len(text) > MAX_DOCUMENT_BYTES:
        raise _error(source, f'longer than {MAX_DOCUMENT_BYTES} bytes')
    if text.count('[') + text.count('{') > MAX_PARTS:
        raise _error(source, f'more than {MAX_PARTS} parts')
    if text.count(',') > MAX_VALUES:
        raise _error(source, f'more than {MAX_VALUES} values')


def _unique_fields(
    pairs: list[tuple[str, typing.Any]],
) -> dict[str, typing.Any]:
    if len(pairs) > MAX_FIELDS_PER_PART:
        raise ValueError(f'a part has more than {MAX_FIELDS_PER_PART} fields')
    fields: dict[str, typing.Any] = {}
    for key, content in pairs:
        if key in fields:
            raise ValueError(f'the field {key[:64]!r} is repeated in one part')
        fields[key] = content
    return fields


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not a JSON number')


def _error(source: str, reason: str) -> errors.SetupError:
    return errors.SetupError(f'{source}: document: {reason}')
