"""Hybrid logical clock, which orders the events of processes whose clocks differ.

The algorithm is by Kulkarni et al. (OPODIS 2014): a timestamp is never less
than the machine's time, nor than any timestamp seen before.
"""

import threading

from catkinknot.model import Clock, SystemClock

__all__ = ["LogicalClock", "stamp_wall_s"]

_MS_DIGITS = 14
_COUNT_DIGITS = 6


class LogicalClock:
    """Source of timestamps whose text order is the causal order."""

    def __init__(self, *, clock: Clock | None = None) -> None:
        """Create a logical clock.

        Args:
            clock: Source of the machine's time.
        """
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._ms = 0
        self._count = 0

    def tick(self) -> str:
        """Return the timestamp of a new event or message."""
        now_ms = int(self._clock.wall() * 1000)
        with self._lock:
            if now_ms > self._ms:
                self._ms, self._count = now_ms, 0
            else:
                self._count += 1
            return _format(self._ms, self._count)

    def observe(self, stamp: str) -> None:
        """Advance the clock to the timestamp of a received message.

        Args:
            stamp: Return value of the sender's `tick`; a malformed one is ignored.
        """
        head, _, tail = stamp.partition(".")
        if not (head.isdigit() and tail.isdigit()):
            return
        seen = (int(head), int(tail))
        with self._lock:
            if seen > (self._ms, self._count):
                self._ms, self._count = seen


def stamp_wall_s(stamp: str) -> float:
    """Return a timestamp as seconds since 1970."""
    return int(stamp.partition(".")[0]) / 1000


def _format(ms: int, count: int) -> str:
    """Format a timestamp so that text order is time order."""
    return f"{ms:0{_MS_DIGITS}}.{count:0{_COUNT_DIGITS}}"
