"""Check JSON from outside against a data class and report every fault."""

from functools import cache
from typing import Any, TypeVar

from pydantic import ConfigDict, TypeAdapter, ValidationError

from ._codes import ResultCode
from .exceptions import BadInputError

__all__ = ["STRICT", "adapter", "check_json", "check_python", "to_json", "to_python"]

STRICT = ConfigDict(extra="forbid", strict=False, allow_inf_nan=False)
"""Refuse unknown keys and numbers that JSON cannot carry."""

_MAX_FAULTS = 50
"""Stop listing faults after this many, so that a reply stays short."""

T = TypeVar("T")


@cache
def adapter(model: Any) -> TypeAdapter:
    """Build the validator of a data class once.

    Args:
        model: A data class, or a union of them.

    Returns:
        Its validator.
    """
    return TypeAdapter(model)


def check_json(model: type[T], raw: bytes | str, *, code: ResultCode) -> T:
    """Turn JSON text into a checked data class.

    Args:
        model: The data class to build.
        raw: The JSON text.
        code: The code to report when a field fails its check.

    Returns:
        The data class.

    Raises:
        BadInputError: With every fault found and its path.
    """
    try:
        return adapter(model).validate_json(raw)
    except ValidationError as exc:
        raise _report(exc, code) from None


def check_python(model: type[T], value: Any, *, code: ResultCode) -> T:
    """Turn parsed JSON into a checked data class.

    Args:
        model: The data class to build.
        value: Parsed JSON.
        code: The code to report when a field fails its check.

    Returns:
        The data class.

    Raises:
        BadInputError: With every fault found and its path.
    """
    try:
        return adapter(model).validate_python(value)
    except ValidationError as exc:
        raise _report(exc, code) from None


def to_json(value: Any, *, model: Any = None) -> bytes:
    """Write a data class as JSON.

    Args:
        value: The data class.
        model: The declared type, where it is a union.

    Returns:
        UTF-8 JSON.
    """
    return adapter(model or type(value)).dump_json(value)


def to_python(value: Any, *, model: Any = None) -> Any:
    """Turn a data class into plain JSON values.

    Args:
        value: The data class.
        model: The declared type, where it is a union.

    Returns:
        A value that a JSON library can write.
    """
    return adapter(model or type(value)).dump_python(value, mode="json")


def _report(exc: ValidationError, code: ResultCode) -> BadInputError:
    """Collect the faults of a failed check.

    Args:
        exc: What the validator raised.
        code: The code to report, unless the text is no JSON at all.

    Returns:
        The error to raise.
    """
    faults = exc.errors(include_url=False, include_context=False, include_input=False)
    if faults and faults[0]["type"] == "json_invalid":
        return BadInputError(ResultCode.BAD_JSON, [faults[0]["msg"]])
    lines = [f"{_path(fault['loc'])}: {fault['msg']}" for fault in faults[:_MAX_FAULTS]]
    return BadInputError(code, lines)


def _path(loc: tuple[int | str, ...]) -> str:
    """Write the place of a fault as a caller would.

    Args:
        loc: The steps from the top of the document.

    Returns:
        A path such as ``workspaces[2].guarantee[0].accelerators``.
    """
    text = ""
    for step in loc:
        text += f"[{step}]" if isinstance(step, int) else f".{step}"
    return text.lstrip(".") or "document"
