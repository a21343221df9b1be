"""Converts submitted forms to validated parts of the setup.

Errors are sentences for the operator, each assigned to a field.
"""

import dataclasses
import typing
from collections.abc import Mapping

import pydantic

from ivystep.console import part_types

YES = 'yes'
NO = 'no'
WHOLE_FORM = ''

Raw = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class FormResult:
    """Result of parsing a form.

    Attributes:
        part: The part as in the setup document, None if there are errors.
        error_by_key: Error message of each invalid field; the key
            ``WHOLE_FORM`` is for errors of no single field.
    """

    part: Raw | None
    error_by_key: Mapping[str, str]


def texts_from_part(
    part_type: part_types.PartType, part: Raw
) -> dict[str, str]:
    """Return the text of each field for an existing part.

    Args:
        part_type: Type of the part.
        part: The part as in the setup document.
    """
    return {
        field.key: _format_value(field, _get(part, field.key))
        for field in part_type.fields
    }


def default_texts(part_type: part_types.PartType) -> dict[str, str]:
    """Return the text of each field for a new part."""
    return {field.key: field.default for field in part_type.fields}


def parse_form(
    part_type: part_types.PartType,
    text_by_key: Mapping[str, str],
    existing: Raw,
) -> FormResult:
    """Parse and validate a submitted form.

    Args:
        part_type: Type of the part.
        text_by_key: Submitted text of each field by key.
        existing: The part before the edit; fields without a form field keep
            their values.

    Returns:
        The part, or the errors.
    """
    part: Raw = {**existing, 'limits': dict(existing.get('limits', {}))}
    if not any(field.key.startswith('limits') for field in part_type.fields):
        part.pop('limits')
    error_by_key = {}
    for field in part_type.fields:
        try:
            content = _parse(field, text_by_key.get(field.key, ''))
        except ValueError as error:
            error_by_key[field.key] = str(error)
        else:
            _set(part, field.key, content)
    if not error_by_key:
        error_by_key = _validate(part_type, part)
    return FormResult(None if error_by_key else part, error_by_key)


def _validate(part_type: part_types.PartType, part: Raw) -> dict[str, str]:
    try:
        part_type.model.model_validate(part)
    except pydantic.ValidationError as error:
        problems = error.errors(include_url=False, include_input=False)
        return dict(_field_error(part_type, problem) for problem in problems)
    return {}


def _field_error(
    part_type: part_types.PartType, problem: typing.Any
) -> tuple[str, str]:
    location = [str(step) for step in problem['loc']]
    for key in ('.'.join(location[:2]), '.'.join(location[:1])):
        field = part_type.field(key)
        if field is not None:
            return key, _error_text(field, problem)
    return WHOLE_FORM, f'{problem["msg"].removeprefix("Value error, ")}.'


def _error_text(field: part_types.Field, problem: typing.Any) -> str:
    bounds = problem.get('ctx', {})
    sentences = {
        'greater_than': f'{field.label} must be more than {bounds.get("gt")}.',
        'greater_than_equal': (
            f'{field.label} must be {bounds.get("ge")} or more.'
        ),
        'less_than_equal': f'{field.label} must be {bounds.get("le")} or less.',
        'finite_number': f'{field.label} must be a finite number.',
        'string_pattern_mismatch': (
            f'{field.label} may have only lowercase letters, digits, dots and '
            f'hyphens, and must start with a letter or digit.'
        ),
        'too_short': f'{field.label} needs at least one line.',
        'too_long': f'{field.label} has too many lines.',
        'string_too_long': f'{field.label} is too long.',
    }
    return sentences.get(
        problem['type'], f'{field.label} is invalid: {problem["msg"]}.'
    )


def _parse(field: part_types.Field, text: str) -> typing.Any:
    text = text.strip()
    if field.kind is part_types.FieldKind.NAME:
        return _require_text(field, text).lower()
    if field.kind is part_types.FieldKind.LINES:
        lines = [line.strip() for line in text.splitlines()]
        return list(dict.fromkeys(line for line in lines if line))
    if field.kind is part_types.FieldKind.VERSIONS:
        return _parse_versions(field, text)
    if field.kind is part_types.FieldKind.FLAG:
        return text == YES
    _require_text(field, text)
    if field.kind is part_types.FieldKind.NUMBER:
        return _parse_number(field, text)
    if field.kind is part_types.FieldKind.WHOLE:
        return _parse_whole(field, text)
    return text


def _require_text(field: part_types.Field, text: str) -> str:
    if not text:
        raise ValueError(f'{field.label} is empty. Please fill it in.')
    return text


def _parse_number(field: part_types.Field, text: str) -> float:
    # Operators in Belgium use the comma as the decimal separator.
    try:
        return float(text.replace(',', '.'))
    except ValueError as error:
        raise ValueError(
            f'{field.label} must be a number, for example 2 or 0.5.'
        ) from error


def _parse_whole(field: part_types.Field, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise ValueError(
            f'{field.label} must be a whole number, for example 8.'
        )
    return int(text)


def _parse_versions(field: part_types.Field, text: str) -> list[Raw]:
    versions = []
    for number, line in enumerate(text.splitlines(), 1):
        version, _, source = line.strip().partition(' ')
        if not version:
            continue
        if not (version.isascii() and version.isdigit() and source.strip()):
            raise ValueError(
                f'Line {number} must be a number, a space and the location of '
                f'the weights, for example: 1 letters/first'
            )
        versions.append({'version': int(version), 'source': source.strip()})
    if not versions:
        raise ValueError(f'{field.label} needs at least one line.')
    return versions


def _format_value(field: part_types.Field, content: typing.Any) -> str:
    if content is None:
        return field.default
    if field.kind is part_types.FieldKind.FLAG:
        return YES if content else NO
    if field.kind is part_types.FieldKind.LINES:
        return '\n'.join(content)
    if field.kind is part_types.FieldKind.VERSIONS:
        return '\n'.join(f'{one["version"]} {one["source"]}' for one in content)
    if isinstance(content, float):
        return f'{content:g}'
    return str(content)


def _get(part: Raw, key: str) -> typing.Any:
    owner, _, name = key.rpartition('.')
    return (part.get(owner, {}) if owner else part).get(name)


def _set(part: Raw, key: str, content: typing.Any) -> None:
    owner, _, name = key.rpartition('.')
    (part.setdefault(owner, {}) if owner else part)[name] = content
