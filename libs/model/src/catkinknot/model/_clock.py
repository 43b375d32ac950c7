"""Give time to the other parts, so that tests can step it."""

import threading
import time
from typing import Protocol

__all__ = ["Clock", "SteppedClock", "SystemClock"]


class Clock(Protocol):
    """Tell time and wait."""

    def now(self) -> float:
        """Return seconds on a clock that never goes back."""

    def wall(self) -> float:
        """Return seconds since 1970 as this machine believes them."""

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """Tell the machine's own time."""

    def now(self) -> float:
        """Return seconds on the monotonic clock."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since 1970."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        time.sleep(seconds)


class SteppedClock:
    """Tell a time that moves only when a test says so."""

    def __init__(self, start: float = 0.0) -> None:
        """Start at a given time.

        Args:
            start: Seconds.
        """
        self._lock = threading.Lock()
        self._now = start

    def now(self) -> float:
        """Return the present time in seconds."""
        with self._lock:
            return self._now

    def wall(self) -> float:
        """Return the present time in seconds."""
        return self.now()

    def sleep(self, seconds: float) -> None:
        """Move the time forward instead of waiting."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Move the time forward.

        Args:
            seconds: How far, zero or more.
        """
        with self._lock:
            self._now += seconds
