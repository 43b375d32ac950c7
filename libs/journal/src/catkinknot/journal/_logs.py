"""Logs as text or JSON, with the name of the part on each line."""

import sys

from loguru import logger

__all__ = ["part_logger", "set_up_logs"]

_TEXT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {extra[instance]} [{extra[part]}] {message}"
    "{extra[tail]}"
)
_PREFIX_FIELDS = ("instance", "part", "tail")
"""Bound fields that a text line shows elsewhere than in its tail."""


def set_up_logs(instance: str, *, form: str = "text", level: str = "INFO") -> None:
    """Send all logs of this process to standard error.

    Args:
        instance: Name of this instance.
        form: ``text`` or ``json``.
        level: Lowest level that is written.
    """
    logger.remove()
    logger.configure(extra={"instance": instance, "part": "main", "tail": ""}, patcher=_write_tail)
    if form == "json":
        logger.add(sys.stderr, level=level, serialize=True, format="{message}")
    else:
        logger.add(sys.stderr, level=level, format=_TEXT)


def part_logger(part: str):
    """Return the logger of one part.

    Args:
        part: Name of the part, included in each line.

    Returns:
        A loguru logger, to which callers bind job and request identities.
    """
    return logger.bind(part=part)


def _write_tail(record) -> None:
    """Format the bound fields as the tail of a text line."""
    extra = record["extra"]
    bound = [f"{name}={value}" for name, value in extra.items() if name not in _PREFIX_FIELDS]
    extra["tail"] = f" ({' '.join(bound)})" if bound else ""
