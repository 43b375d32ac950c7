"""Order events of many processes although their clocks differ.

This is the hybrid logical clock of Kulkarni and others (OPODIS 2014): a
stamp is never less than the machine's time nor than any stamp seen before.
"""

import threading

from catkinknot.model import Clock, SystemClock

__all__ = ["LogicalClock", "stamp_wall_s"]

_MS_DIGITS = 14
_COUNT_DIGITS = 6


class LogicalClock:
    """Hand out stamps that sort in causal order as text."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Start from the machine's time.

        Args:
            clock: Where time comes from.
        """
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._ms = 0
        self._count = 0

    def tick(self) -> str:
        """Return the stamp of a new event or message."""
        now_ms = int(self._clock.wall() * 1000)
        with self._lock:
            if now_ms > self._ms:
                self._ms, self._count = now_ms, 0
            else:
                self._count += 1
            return _write(self._ms, self._count)

    def observe(self, stamp: str) -> None:
        """Take note of a stamp that came with a message.

        Args:
            stamp: What the sender's `tick` returned; anything else is ignored.
        """
        head, _, tail = stamp.partition(".")
        if not (head.isdigit() and tail.isdigit()):
            return
        seen = (int(head), int(tail))
        with self._lock:
            if seen > (self._ms, self._count):
                self._ms, self._count = seen


def stamp_wall_s(stamp: str) -> float:
    """Return the seconds since 1970 that a stamp stands for."""
    return int(stamp.partition(".")[0]) / 1000


def _write(ms: int, count: int) -> str:
    """Write a stamp so that text order is time order."""
    return f"{ms:0{_MS_DIGITS}}.{count:0{_COUNT_DIGITS}}"
