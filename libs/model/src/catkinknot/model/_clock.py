"""Clocks that the other parts read, so that tests can control time."""

import threading
import time
from typing import Protocol

__all__ = ["Clock", "SteppedClock", "SystemClock"]


class Clock(Protocol):
    """Source of time and of waits."""

    def now(self) -> float:
        """Return the seconds of a monotonic clock that counts the time of a suspension."""

    def wall(self) -> float:
        """Return the seconds since 1970 by this machine's clock."""

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """Clock of this machine."""

    def now(self) -> float:
        """Return the seconds of the clock that goes on while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the seconds since 1970."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        time.sleep(seconds)


class SteppedClock:
    """Clock that advances only when a test advances it."""

    def __init__(self, start: float = 0.0) -> None:
        """Create a clock.

        Args:
            start: Initial time in seconds.
        """
        self._lock = threading.Lock()
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        with self._lock:
            return self._now

    def wall(self) -> float:
        """Return the current time in seconds."""
        return self.now()

    def sleep(self, seconds: float) -> None:
        """Advance the time instead of waiting."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Advance the time.

        Args:
            seconds: Seconds to add, zero or more.
        """
        with self._lock:
            self._now += seconds
