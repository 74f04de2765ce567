"""Typed access to JSON objects; every error names the field.

A field that is null counts as absent. An absent field without a default is
an error. So is a number beyond MAX_NUMBER. Errors show values shortened, as
deeply nested ones can't be printed.
"""

import base64
import binascii
import reprlib
import typing

import orjson

from cardamom_gateway import interfaces

Json = typing.Mapping[str, typing.Any]

REQUIRED: typing.Any = object()
# JSON numbers beyond it are not exact, and integers beyond 64 bits can't be
# encoded again.
MAX_NUMBER = 1 << 53


def parse(data: bytes | str, description: str) -> Json:
    """Parse a JSON object; raises MalformedMessage.

    The error message starts with the description.
    """
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise interfaces.MalformedMessage(f"{description}: {error}") from error
    if not isinstance(value, dict):
        raise interfaces.MalformedMessage(
            f"{description}: is not a JSON object"
        )
    return value


def string(data: Json, name: str, default: typing.Any = REQUIRED) -> str:
    """Return a string field; raises MalformedMessage."""
    return str(_field(data, name, (str,), default))


def number(data: Json, name: str, default: typing.Any = REQUIRED) -> float:
    """Return a number field; raises MalformedMessage."""
    return float(_number(data, name, default))


def integer(data: Json, name: str, default: typing.Any = REQUIRED) -> int:
    """Return a number field, truncated; raises MalformedMessage."""
    return int(_number(data, name, default))


def boolean(data: Json, name: str, default: typing.Any = REQUIRED) -> bool:
    """Return a boolean field; raises MalformedMessage."""
    return bool(_field(data, name, (bool,), default))


def items(data: Json, name: str) -> list[typing.Any]:
    """Return a list of any items, empty if absent; raises MalformedMessage."""
    return list(_field(data, name, (list,), []))


def objects(data: Json, name: str) -> list[Json]:
    """Return a list of objects, empty if absent; raises MalformedMessage."""
    value = _field(data, name, (list,), [])
    if not all(isinstance(item, dict) for item in value):
        raise interfaces.MalformedMessage(
            f"{name}: has items that are not objects"
        )
    return list(value)


def strings(data: Json, name: str) -> list[str]:
    """Return a list of strings, empty if absent; raises MalformedMessage."""
    value = _field(data, name, (list,), [])
    if not all(isinstance(item, str) for item in value):
        raise interfaces.MalformedMessage(
            f"{name}: has items that are not strings"
        )
    return list(value)


def section(data: Json, name: str) -> Json:
    """Return an object field, empty if absent; raises MalformedMessage."""
    value: Json = _field(data, name, (dict,), {})
    return value


def decode_base64(value: str) -> bytes:
    """Decode base64; raises MalformedMessage."""
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error as error:
        raise interfaces.MalformedMessage(f"value: {error}") from error


def _number(data: Json, name: str, default: typing.Any) -> int | float:
    value: int | float = _field(data, name, (int, float), default)
    if abs(value) > MAX_NUMBER:
        raise interfaces.MalformedMessage(
            f"{name}: {value:g} is too large a number"
        )
    return value


def _field(
    data: Json,
    name: str,
    types: tuple[type, ...],
    default: typing.Any,
) -> typing.Any:
    value = data.get(name)
    if value is None:
        if default is REQUIRED:
            raise interfaces.MalformedMessage(f"{name}: is missing")
        return default
    is_unexpected_boolean = isinstance(value, bool) and bool not in types
    if not isinstance(value, types) or is_unexpected_boolean:
        raise interfaces.MalformedMessage(
            f"{name}: {reprlib.repr(value)} is not {types[-1].__name__}"
        )
    return value
