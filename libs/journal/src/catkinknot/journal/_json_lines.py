"""Logs as JSON lines on standard output, written without blocking on a slow reader."""

import json
import queue
import sys
import threading
from collections.abc import Callable
from contextlib import contextmanager
from datetime import datetime

from loguru import logger

__all__ = ["LineWriter", "open_json_logs"]

MAX_LINE_COUNT = 4000
"""Lines that may wait to be written; further lines are dropped and counted."""

_END_OF_LINES = None
"""Queue item that makes the writer thread return."""


class LineWriter:
    """Bounded queue of log lines, drained by a thread that writes them.

    Attributes:
        dropped: Lines dropped because the queue was full.
    """

    def __init__(
        self,
        instance: str,
        stream=None,
        *,
        max_lines: int = MAX_LINE_COUNT,
        observe: Callable[[str, dict], None] | None = None,
    ) -> None:
        """Create a writer with an empty queue.

        Args:
            instance: Name of this instance.
            stream: Output stream, standard output by default.
            max_lines: Lines that may wait to be written.
            observe: Called with the text and the fields of each line, to count it.
        """
        self._observe = observe
        self._instance = instance
        self._stream = stream or sys.stdout
        self._lines: queue.Queue[str | None] = queue.Queue(max_lines)
        self._reported = 0
        self.dropped = 0

    def enqueue(self, message) -> None:
        """Format a loguru message as a JSON line and queue it."""
        record = message.record
        if self._observe is not None:
            self._observe(record["message"], record["extra"])
        line = {
            "time": _iso_time(record["time"]),
            "level": record["level"].name.lower(),
            "instance": self._instance,
            "text": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = str(message)[-2000:]
        self._put(json.dumps(line, default=str, separators=(",", ":")))

    def write_lines(self) -> None:
        """Write queued lines until the writer is closed."""
        while True:
            line = self._lines.get()
            if line is _END_OF_LINES:
                return
            self._stream.write(line + "\n")
            if self.dropped > self._reported:
                missing = self.dropped - self._reported
                self._reported += missing
                self._stream.write(json.dumps({"text": "Lines were left out.", "lines": missing}))
                self._stream.write("\n")
            if self._lines.empty():
                self._stream.flush()

    def close(self) -> None:
        """Make `write_lines` return once the queued lines are written."""
        try:
            self._lines.put(_END_OF_LINES, timeout=0.2)
        except queue.Full:
            self.dropped += 1

    def _put(self, line: str) -> None:
        """Queue a line, or count it as dropped."""
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1


def _iso_time(when: datetime) -> str:
    """Return a time in ISO 8601 with milliseconds and the local UTC offset."""
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
        instance: Name of this instance.
        level: Lowest level that is written.
        observe: Called with the text and the fields of each line, to count it.
    """
    writer = LineWriter(instance, observe=observe)
    logger.remove()
    logger.add(writer.enqueue, level=level, format="{message}{exception}")
    thread = threading.Thread(target=writer.write_lines, name="log-writer", daemon=True)
    thread.start()
    try:
        yield writer
    finally:
        writer.close()
        thread.join(timeout=0.5)
