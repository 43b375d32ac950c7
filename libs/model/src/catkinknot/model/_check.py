"""Validation of external JSON against data classes, with a report of every fault."""

from functools import cache
from typing import Any, TypeVar

from pydantic import ConfigDict, TypeAdapter, ValidationError

from ._codes import ResultCode
from .exceptions import BadInputError

__all__ = ["STRICT", "adapter", "check_json", "check_python", "to_json", "to_python"]

STRICT = ConfigDict(extra="forbid", strict=False, allow_inf_nan=False)
"""Pydantic configuration that rejects unknown keys and numbers that JSON cannot represent."""

_MAX_FAULTS = 50
"""Most faults that are listed, so that a reply stays short."""

T = TypeVar("T")


@cache
def adapter(model: Any) -> TypeAdapter:
    """Return the cached validator of a data class.

    Args:
        model: A data class or a union of data classes.

    Returns:
        The validator.
    """
    return TypeAdapter(model)


def check_json(model: type[T], raw: bytes | str, *, code: ResultCode) -> T:
    """Parse JSON text into a validated data class instance.

    Args:
        model: The data class to build.
        raw: The JSON text.
        code: Result code to report when a field is invalid.

    Returns:
        The instance.

    Raises:
        BadInputError: With the path and reason of each fault.
    """
    try:
        return adapter(model).validate_json(raw)
    except ValidationError as exc:
        raise _report(exc, code) from None


def check_python(model: type[T], value: Any, *, code: ResultCode) -> T:
    """Convert parsed JSON into a validated data class instance.

    Args:
        model: The data class to build.
        value: Parsed JSON.
        code: Result code to report when a field is invalid.

    Returns:
        The instance.

    Raises:
        BadInputError: With the path and reason of each fault.
    """
    try:
        return adapter(model).validate_python(value)
    except ValidationError as exc:
        raise _report(exc, code) from None


def to_json(value: Any, *, model: Any = None) -> bytes:
    """Serialize a data class instance as JSON.

    Args:
        value: The instance.
        model: The declared type, where that is a union.

    Returns:
        UTF-8 encoded JSON text.
    """
    return adapter(model or type(value)).dump_json(value)


def to_python(value: Any, *, model: Any = None) -> Any:
    """Convert a data class instance into plain JSON values.

    Args:
        value: The instance.
        model: The declared type, where that is a union.

    Returns:
        A value that a JSON library can serialize.
    """
    return adapter(model or type(value)).dump_python(value, mode="json")


def _report(exc: ValidationError, code: ResultCode) -> BadInputError:
    """Convert a validation error into the project's input error.

    Args:
        exc: The validator's error.
        code: Result code to report unless the text is not JSON.

    Returns:
        The error to raise.
    """
    faults = exc.errors(include_url=False, include_context=False, include_input=False)
    if faults and faults[0]["type"] == "json_invalid":
        return BadInputError(ResultCode.BAD_JSON, [faults[0]["msg"]])
    lines = [f"{_path(fault['loc'])}: {fault['msg']}" for fault in faults[:_MAX_FAULTS]]
    return BadInputError(code, lines)


def _path(loc: tuple[int | str, ...]) -> str:
    """Format the location of a fault.

    Args:
        loc: Keys and indexes from the top of the document.

    Returns:
        A path such as ``workspaces[2].guarantee[0].accelerators``.
    """
    text = ""
    for step in loc:
        text += f"[{step}]" if isinstance(step, int) else f".{step}"
    return text.lstrip(".") or "document"
