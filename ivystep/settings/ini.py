"""Reads an INI file into a settings model."""

import configparser
import pathlib
import typing

import pydantic

from ivystep.core import errors

MAX_FILE_BYTES = 1048576

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def load(path: str, model: type[_Model]) -> _Model:
    """Read and validate a settings file.

    Args:
        path: Path of the INI file.
        model: Model whose fields are the sections.

    Returns:
        The validated settings.

    Raises:
        errors.SettingsError: The message names file, section and key of each
            problem, one line each.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        text = _read(path)
        parser.read_string(text, source=path)
    except (OSError, UnicodeError, configparser.Error) as error:
        raise errors.SettingsError(
            f'{path}: cannot be read: {error}', step='settings'
        ) from error
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return model.model_validate(sections)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            _explain(path, error), step='settings'
        ) from error


def _read(path: str) -> str:
    with pathlib.Path(path).open('rb') as stream:
        raw = stream.read(MAX_FILE_BYTES + 1)
    if len(raw) > MAX_FILE_BYTES:
        raise OSError(f'longer than {MAX_FILE_BYTES} bytes')
    return raw.decode('utf-8')


def _explain(path: str, error: pydantic.ValidationError) -> str:
    lines = []
    for problem in error.errors(include_input=False, include_url=False):
        section, *keys = (str(part) for part in problem['loc'])
        place = f'section [{section}]'
        if keys:
            place = f'{place}, key {".".join(keys)}'
        lines.append(f'{path}: {place}: {problem["msg"]}')
    return '\n'.join(lines)
