"""Reads forms: typed text to a validated part, errors in plain sentences."""

import dataclasses
import typing
from collections.abc import Mapping

import pydantic

from ivystep.console import subjects

YES = 'yes'
NO = 'no'
WHOLE_FORM = ''

Raw = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a form gave.

    Attributes:
        part: The part as the document holds it, None if there are errors.
        error_by_key: A sentence for each wrong field; the empty key is the
            form as a whole.
    """

    part: Raw | None
    error_by_key: Mapping[str, str]


def typed_from_part(subject: subjects.Subject, part: Raw) -> dict[str, str]:
    """Return what the fields show for an existing part.

    Args:
        subject: Kind of the part.
        part: The part as the document holds it.
    """
    return {
        field.key: _shown(field, _get(part, field.key))
        for field in subject.fields
    }


def typed_defaults(subject: subjects.Subject) -> dict[str, str]:
    """Return what the fields show for a new part."""
    return {field.key: field.default for field in subject.fields}


def read(
    subject: subjects.Subject, typed: Mapping[str, str], earlier: Raw
) -> Result:
    """Read what an operator typed.

    Args:
        subject: Kind of the part.
        typed: Text of each field by key.
        earlier: The part before, for what the form does not show.

    Returns:
        The part, or the errors.
    """
    part: Raw = {**earlier, 'limits': dict(earlier.get('limits', {}))}
    if not any(field.key.startswith('limits') for field in subject.fields):
        part.pop('limits')
    error_by_key = {}
    for field in subject.fields:
        try:
            content = _parse(field, typed.get(field.key, ''))
        except ValueError as error:
            error_by_key[field.key] = str(error)
        else:
            _set(part, field.key, content)
    if not error_by_key:
        error_by_key = _validate(subject, part)
    return Result(None if error_by_key else part, error_by_key)


def _validate(subject: subjects.Subject, part: Raw) -> dict[str, str]:
    try:
        subject.model.model_validate(part)
    except pydantic.ValidationError as error:
        problems = error.errors(include_url=False, include_input=False)
        return dict(_sentence(subject, problem) for problem in problems)
    return {}


def _sentence(
    subject: subjects.Subject, problem: typing.Any
) -> tuple[str, str]:
    location = [str(step) for step in problem['loc']]
    for key in ('.'.join(location[:2]), '.'.join(location[:1])):
        field = subject.field(key)
        if field is not None:
            return key, _plain(field, problem)
    return WHOLE_FORM, f'{problem["msg"].removeprefix("Value error, ")}.'


def _plain(field: subjects.Field, problem: typing.Any) -> str:
    bounds = problem.get('ctx', {})
    sentences = {
        'greater_than': f'{field.label} must be more than {bounds.get("gt")}.',
        'greater_than_equal': (
            f'{field.label} must be {bounds.get("ge")} or more.'
        ),
        'less_than_equal': f'{field.label} must be {bounds.get("le")} or less.',
        'finite_number': f'{field.label} must be an ordinary number.',
        'string_pattern_mismatch': (
            f'{field.label} may have small letters, digits, dots and hyphens '
            f'only, and starts with a letter or digit.'
        ),
        'too_short': f'{field.label} needs at least one line.',
        'too_long': f'{field.label} has too many lines.',
        'string_too_long': f'{field.label} is too long.',
    }
    return sentences.get(
        problem['type'], f'{field.label} is not right: {problem["msg"]}.'
    )


def _parse(field: subjects.Field, text: str) -> typing.Any:
    text = text.strip()
    if field.kind is subjects.Kind.NAME:
        return _required(field, text).lower()
    if field.kind is subjects.Kind.LINES:
        lines = [line.strip() for line in text.splitlines()]
        return list(dict.fromkeys(line for line in lines if line))
    if field.kind is subjects.Kind.VERSIONS:
        return _versions(field, text)
    if field.kind is subjects.Kind.FLAG:
        return text == YES
    _required(field, text)
    if field.kind is subjects.Kind.NUMBER:
        return _number(field, text)
    if field.kind is subjects.Kind.WHOLE:
        return _whole(field, text)
    return text


def _required(field: subjects.Field, text: str) -> str:
    if not text:
        raise ValueError(f'{field.label} is empty. Please fill it in.')
    return text


def _number(field: subjects.Field, text: str) -> float:
    # A comma is the decimal sign in Belgium.
    try:
        return float(text.replace(',', '.'))
    except ValueError as error:
        raise ValueError(
            f'{field.label} must be a number, for example 2 or 0.5.'
        ) from error


def _whole(field: subjects.Field, text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise ValueError(
            f'{field.label} must be a whole number, for example 8.'
        )
    return int(text)


def _versions(field: subjects.Field, text: str) -> list[Raw]:
    versions = []
    for number, line in enumerate(text.splitlines(), 1):
        version, _, source = line.strip().partition(' ')
        if not version:
            continue
        if not (version.isascii() and version.isdigit() and source.strip()):
            raise ValueError(
                f'Line {number} must be a number, a space and the place of '
                f'the weights, for example: 1 letters/first'
            )
        versions.append({'version': int(version), 'source': source.strip()})
    if not versions:
        raise ValueError(f'{field.label} needs at least one line.')
    return versions


def _shown(field: subjects.Field, content: typing.Any) -> str:
    if content is None:
        return field.default
    if field.kind is subjects.Kind.FLAG:
        return YES if content else NO
    if field.kind is subjects.Kind.LINES:
        return '\n'.join(content)
    if field.kind is subjects.Kind.VERSIONS:
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
