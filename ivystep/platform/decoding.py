"""Decodes JSON that other programs write to the platform's store.

A malformed document raises one of ``DECODE_ERRORS``, whatever it contains. All
numbers are bounded, so that what uses them later can calculate with them, send
them to other processes and log them.
"""

import ipaddress
import json
import math
import typing

import pydantic

from ivystep.core import units

# Raised when a malformed document is decoded. ``ValueError`` includes errors of
# JSON, base64, Unicode and validated models; ``RecursionError`` is raised by
# deep nesting, ``OverflowError`` by numbers too large for a float.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)
# Largest number that a float represents exactly, as all smaller ones.
MAX_NUMBER = 2**53
# Largest number in a field of 32 bits.
MAX_COUNT = 2**31 - 1
# The store's limit on texts, in bytes.
MAX_TEXT_BYTES = 200
MAX_PORT = 65535


def load(content: bytes) -> typing.Any:
    """Parse a JSON document.

    Raises:
        ValueError: It is malformed, or contains a number that is not finite.
        RecursionError: It is nested too deeply.
    """
    return json.loads(content, parse_constant=_refuse_constant)


def whole(number: typing.Any, largest: int = MAX_NUMBER) -> int:
    """Return a whole number that is not negative.

    Raises:
        TypeError: It is not one.
        ValueError: It is negative or too large.
    """
    if isinstance(number, bool) or not isinstance(number, int):
        raise TypeError(f'{type(number).__name__} is no whole number')
    if not 0 <= number <= largest:
        raise ValueError('a number is out of range')
    return number


def seconds(milliseconds: typing.Any) -> float:
    """Return milliseconds in seconds.

    Raises:
        ValueError: It is not a number, or too large.
        OverflowError: It is too large for a float.
    """
    found = float(milliseconds)
    if not math.isfinite(found) or abs(found) > MAX_NUMBER:
        raise ValueError('a time is out of range')
    return found / units.MS_PER_S


def text(content: str) -> str:
    """Return a text that fits into a key of the store and into a header.

    Raises:
        ValueError: It is too long or contains what cannot be printed.
    """
    if not content.isprintable():
        raise ValueError('a text contains characters that cannot be printed')
    if len(content.encode()) > MAX_TEXT_BYTES:
        raise ValueError(f'a text is longer than {MAX_TEXT_BYTES} bytes')
    return content


def header_id(content: str) -> str:
    """Return an id that is sent in a header as it is.

    Raises:
        ValueError: It is empty, too long, or not of visible ASCII characters.
    """
    if not content or not content.isascii() or ' ' in content:
        raise ValueError('an id is empty or cannot be sent in a header')
    return text(content)


def port(digits: str) -> int:
    """Return a TCP port.

    Raises:
        ValueError: It is not one.
    """
    is_number = digits.isascii() and digits.isdecimal()
    if not is_number or len(digits) > len(str(MAX_PORT)):
        raise ValueError('a port is no number or out of range')
    number = int(digits)
    if not 0 < number <= MAX_PORT:
        raise ValueError('a port is out of range')
    return number


def address(written: str) -> tuple[str, int]:
    """Return the IPv4 address and port of ``IP:PORT``.

    Raises:
        ValueError: It is not one.
    """
    host, _, digits = written.rpartition(':')
    return str(ipaddress.IPv4Address(host)), port(digits)


# Types of the fields of validated models.
Text = typing.Annotated[str, pydantic.AfterValidator(text)]
Count = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_COUNT)]
Number = typing.Annotated[int, pydantic.Field(ge=0, le=MAX_NUMBER)]
Milliseconds = typing.Annotated[
    float, pydantic.Field(ge=-MAX_NUMBER, le=MAX_NUMBER, allow_inf_nan=False)
]


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no number')
