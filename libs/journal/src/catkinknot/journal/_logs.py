"""Write logs as short sentences with a fixed prefix for each part."""

import sys

from loguru import logger

__all__ = ["part_logger", "set_up_logs"]

_TEXT = (
    "{time:YYYY-MM-DD HH:mm:ss.SSS} {level:<7} {extra[instance]} [{extra[part]}] {message}"
    "{extra[tail]}"
)
_HIDDEN = ("instance", "part", "tail")


def set_up_logs(instance: str, *, form: str = "text", level: str = "INFO") -> None:
    """Send all logs of this process to standard error.

    Args:
        instance: This instance.
        form: ``text`` for people, ``json`` for programs.
        level: The lowest level that is written.
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
        part: The part, which every line is marked with.

    Returns:
        A loguru logger; bind job and request identities to it.
    """
    return logger.bind(part=part)


def _write_tail(record) -> None:
    """Add bound identities to a text line."""
    extra = record["extra"]
    bound = [f"{name}={value}" for name, value in extra.items() if name not in _HIDDEN]
    extra["tail"] = f" ({' '.join(bound)})" if bound else ""
