"""Reads the setup documents that operators name on the command line."""

import pathlib

from ivystep.core import errors
from ivystep.setup import document, strict_json


def read_document(path: str) -> document.Document:
    """Read and validate a setup document.

    Args:
        path: Path of the JSON file.

    Raises:
        errors.SetupError: The file cannot be read or is invalid; the message
            names the file, the part of the document and the problem.
    """
    try:
        with pathlib.Path(path).open('rb') as stream:
            raw = stream.read(strict_json.MAX_DOCUMENT_BYTES + 1)
        text = raw.decode('utf-8')
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        raise errors.SetupError(f'{path}: cannot be read: {reason}') from error
    return strict_json.parse_document(text, path)
