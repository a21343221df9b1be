"""Reads an INI file and validates it with a settings model."""

import configparser
import difflib
import pathlib
import typing

import pydantic

from ivystep.core import errors

MAX_FILE_BYTES = 1048576
MAX_SHOWN_CHARACTERS = 200
MAX_REPORTED_PROBLEMS = 20

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def load(path: str, model: type[_Model]) -> _Model:
    """Read and validate a settings file.

    Args:
        path: Path of the INI file.
        model: Model whose fields are the sections.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: Has one line per problem, which names the file,
            section and key.
    """
    sections = read_sections(path)
    try:
        return model.model_validate(sections)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            _format_errors(path, error, model)
        ) from error


def read_sections(path: str) -> dict[str, dict[str, str]]:
    """Read the sections of a settings file without validating them.

    Args:
        path: Path of the INI file.

    Returns:
        Values by key, for each section.

    Raises:
        errors.SettingsError: The file cannot be read or is not INI.
    """
    # Without a default section, [DEFAULT] is reported as an unknown section.
    # Otherwise, its keys would silently be added to every section.
    parser = configparser.ConfigParser(
        interpolation=None, default_section='', empty_lines_in_values=False
    )
    try:
        parser.read_string(_read(path), source=path)
    except (OSError, UnicodeError, configparser.Error) as error:
        reason = str(error).splitlines()[0][:MAX_SHOWN_CHARACTERS]
        raise errors.SettingsError(
            f'{path}: cannot be read: {reason}'
        ) from error
    return {name: dict(parser[name]) for name in parser.sections()}


def _read(path: str) -> str:
    with pathlib.Path(path).open('rb') as stream:
        raw = stream.read(MAX_FILE_BYTES + 1)
    if len(raw) > MAX_FILE_BYTES:
        raise OSError(f'file is longer than {MAX_FILE_BYTES} bytes')
    return raw.decode('utf-8')


def _format_errors(
    path: str, error: pydantic.ValidationError, model: type[pydantic.BaseModel]
) -> str:
    problems = error.errors(include_input=False, include_url=False)
    lines = [
        f'{path}: {_format_problem(problem, model)}'
        for problem in problems[:MAX_REPORTED_PROBLEMS]
    ]
    if len(problems) > len(lines):
        lines.append(f'{path}: {len(problems) - len(lines)} further problems')
    return '\n'.join(lines)


def _format_problem(
    problem: typing.Any, model: type[pydantic.BaseModel]
) -> str:
    section, *keys = (
        str(part)[:MAX_SHOWN_CHARACTERS] for part in problem['loc']
    )
    location = f'section [{section}]'
    if keys:
        location = f'{location}, key {keys[0]}'
    message = problem['msg']
    if problem['type'] == 'extra_forbidden':
        message = f'is unknown{_suggestion(model, section, keys)}'
    elif problem['type'] == 'missing':
        message = 'is missing'
    return f'{location}: {message}'


def _suggestion(
    model: type[pydantic.BaseModel], section: str, keys: list[str]
) -> str:
    known = model.model_fields
    name = section
    if keys:
        name = keys[0]
        known = getattr(known[section].annotation, 'model_fields', {})
    matches = difflib.get_close_matches(name, known, n=1)
    return f'; did you mean {matches[0]}?' if matches else ''
