"""Turn data classes into JSON and back, checking every field on the way in.

The codec stands at the border of the process: behind it there are only data
classes that hold what their types say.
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
    """Read one message of the given shape from JSON bytes.

    Raises :class:`~cairnloom.exceptions.ProtocolError` with the path of each
    fault.
    """
    try:
        hashable_type: Any = message_type
        return _adapter(hashable_type).validate_json(data)
    except pydantic.ValidationError as fault:
        raise exceptions.ProtocolError(describe_faults(fault)) from fault


def decode_value(message_type: type[T], value: Any) -> T:
    """Check one message that has been parsed from JSON already."""
    try:
        hashable_type: Any = message_type
        return _adapter(hashable_type).validate_python(value)
    except pydantic.ValidationError as fault:
        raise exceptions.ProtocolError(describe_faults(fault)) from fault


def encode(message: Any) -> bytes:
    """Write one message as JSON bytes."""
    message_type: Any = type(message)
    return _adapter(message_type).dump_json(message)


def encode_value(message: Any) -> Any:
    """Turn one message into plain JSON values."""
    message_type: Any = type(message)
    return _adapter(message_type).dump_python(message, mode='json')


def describe_faults(fault: pydantic.ValidationError) -> str:
    """Name each fault of a validation with its path, joined by semicolons."""
    return '; '.join(list_faults(fault))


def list_faults(fault: pydantic.ValidationError) -> list[str]:
    """Name each fault of a validation with its path, one a line."""
    return [
        '%s: %s' % ('.'.join(str(part) for part in item['loc']), item['msg'])
        for item in fault.errors(include_url=False, include_input=False)
    ]
