"""Converts data classes to JSON and back, and validates every field.

Everything that a process receives or stores passes through this module, so
that the rest of the code can rely on the types of the data classes.
"""

import functools
from typing import Any
from typing import Hashable
from typing import TypeVar

import pydantic

from .. import exceptions

T = TypeVar('T')


@functools.cache
def _adapter(message_type: Hashable) -> pydantic.TypeAdapter[Any]:
    hashable_type: Any = message_type
    return pydantic.TypeAdapter(hashable_type)


def decode(message_type: type[T], data: bytes) -> T:
    """Parse JSON bytes as a message of the given type.

    Raises :class:`~cairnloom.exceptions.ProtocolError` with the path of each
    invalid field.
    """
    try:
        hashable_type: Any = message_type
        return _adapter(hashable_type).validate_json(data)
    except pydantic.ValidationError as fault:
        raise exceptions.ProtocolError(describe_faults(fault)) from fault


def decode_value(message_type: type[T], value: Any) -> T:
    """Convert parsed JSON values to a message of the given type."""
    try:
        hashable_type: Any = message_type
        return _adapter(hashable_type).validate_python(value)
    except pydantic.ValidationError as fault:
        raise exceptions.ProtocolError(describe_faults(fault)) from fault


def encode(message: Any) -> bytes:
    """Return a message as JSON bytes."""
    message_type: Any = type(message)
    return _adapter(message_type).dump_json(message)


def encode_value(message: Any) -> Any:
    """Return a message as plain JSON values."""
    message_type: Any = type(message)
    return _adapter(message_type).dump_python(message, mode='json')


def describe_faults(fault: pydantic.ValidationError) -> str:
    """Return the validation errors as one line, separated by semicolons."""
    return '; '.join(list_faults(fault))


def list_faults(fault: pydantic.ValidationError) -> list[str]:
    """Return a line for each validation error, with the path of its field."""
    return [
        '%s: %s' % ('.'.join(str(part) for part in error['loc']), error['msg'])
        for error in fault.errors(include_url=False, include_input=False)
    ]
