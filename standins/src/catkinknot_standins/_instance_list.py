"""Emulator of the platform's list of instances, which lags behind changes."""

import threading
from collections import deque

from catkinknot.membership import ListedInstance
from catkinknot.model import Clock, SystemClock

from ._faults import Faults

__all__ = ["InstanceList"]


class InstanceList:
    """In-memory instance list whose readers see changes with a delay."""

    def __init__(self, *, lag_s: float = 0.0, clock: Clock | None = None) -> None:
        """Create an empty list.

        Args:
            lag_s: Delay in seconds after which readers see a change.
            clock: Source of time.
        """
        self.faults = Faults()
        self._lag_s = lag_s
        self._clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._versions: deque[tuple[float, dict[str, ListedInstance]]] = deque([(0.0, {})])

    def put(self, instance: ListedInstance) -> None:
        """Add or change an instance."""
        with self._lock:
            newest = dict(self._versions[-1][1])
            newest[instance.name] = instance
            self._versions.append((self._clock.now(), newest))

    def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        with self._lock:
            newest = dict(self._versions[-1][1])
            newest.pop(name, None)
            self._versions.append((self._clock.now(), newest))

    def read(self) -> list[ListedInstance]:
        """Return the list as it was `lag_s` ago."""
        as_of_s = self._clock.now() - self._lag_s
        with self._lock:
            while len(self._versions) > 1 and self._versions[1][0] <= as_of_s:
                self._versions.popleft()
            return list(self._versions[0][1].values())

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults."""
        self.faults = faults
