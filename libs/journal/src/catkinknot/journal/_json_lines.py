"""Write logs as JSON lines on standard output, and never wait for the reader."""

import json
import queue
import sys
import threading
from collections.abc import Callable
from contextlib import contextmanager
from datetime import datetime

from loguru import logger

__all__ = ["LineWriter", "open_json_logs"]

MAX_LINES = 4000
"""Lines that may wait to be written; further ones are counted and dropped."""

_DONE = None


class LineWriter:
    """Queue lines for a thread that writes them.

    Attributes:
        dropped: Lines that found the queue full.
    """

    def __init__(
        self,
        instance: str,
        stream=None,
        *,
        max_lines: int = MAX_LINES,
        observe: Callable[[str, dict], None] | None = None,
    ) -> None:
        """Begin with an empty queue.

        Args:
            instance: This instance.
            stream: Where lines go; standard output by default.
            max_lines: How many lines may wait.
            observe: Takes the text and the fields of each line, to count it.
        """
        self._observe = observe
        self._instance = instance
        self._stream = stream or sys.stdout
        self._lines: queue.Queue[str | None] = queue.Queue(max_lines)
        self._told = 0
        self.dropped = 0

    def take(self, message) -> None:
        """Take a loguru message."""
        record = message.record
        if self._observe is not None:
            self._observe(record["message"], record["extra"])
        line = {
            "time": _stamp(record["time"]),
            "level": record["level"].name.lower(),
            "instance": self._instance,
            "text": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = str(message)[-2000:]
        self._put(json.dumps(line, default=str, separators=(",", ":")))

    def write_all(self) -> None:
        """Write lines until closed."""
        while True:
            line = self._lines.get()
            if line is _DONE:
                return
            self._stream.write(line + "\n")
            if self.dropped > self._told:
                missing = self.dropped - self._told
                self._told += missing
                self._stream.write(json.dumps({"text": "Lines were left out.", "lines": missing}))
                self._stream.write("\n")
            if self._lines.empty():
                self._stream.flush()

    def close(self) -> None:
        """Have the writer end after what is queued."""
        try:
            self._lines.put(_DONE, timeout=0.2)
        except queue.Full:
            self.dropped += 1

    def _put(self, line: str) -> None:
        """Queue a line, or count it as dropped."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1


def _stamp(when: datetime) -> str:
    """Return a time with milliseconds, in UTC."""
    return when.astimezone().isoformat(timespec="milliseconds")


@contextmanager
def open_json_logs(
    instance: str,
    *,
    level: str = "INFO",
    observe: Callable[[str, dict], None] | None = None,
):
    """Send all logs of this process to standard output while the context is open.

    Args:
        instance: This instance.
        level: The lowest level that is written.
        observe: Takes the text and the fields of each line, to count it.
    """
    writer = LineWriter(instance, observe=observe)
    logger.remove()
    logger.add(writer.take, level=level, format="{message}{exception}")
    thread = threading.Thread(target=writer.write_all, name="log-writer", daemon=True)
    thread.start()
    try:
        yield writer
    finally:
        writer.close()
        thread.join(timeout=0.5)
