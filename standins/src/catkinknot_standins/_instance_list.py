"""Stand in for the platform's lagging list of instances."""

import threading
from collections import deque

from pydantic.dataclasses import dataclass

from catkinknot.model import Clock, SystemClock

from ._faults import Faults

__all__ = ["InstanceList", "ListedInstance"]


@dataclass(frozen=True)
class ListedInstance:
    """Describe one instance as the platform lists it.

    Attributes:
        name: Its name.
        role: Whether it is an entry instance or a backend server.
        zone: Its availability zone.
        ip: Its IP number.
        port: Its HTTP port.
        peer_port: The port for other instances, 0 on a backend server.
        state: Whether it is live or leaving.
        rack: A backend server's rack.
        accelerators: A backend server's accelerators.
    """

    name: str
    role: str
    zone: str
    ip: str
    port: int
    peer_port: int = 0
    state: str = "live"
    rack: int = 0
    accelerators: int = 0


class InstanceList:
    """Keep the list in memory and show it as it was some time ago."""

    def __init__(self, *, lag_s: float = 0.0, clock: Clock | None = None) -> None:
        """Start with an empty list.

        Args:
            lag_s: How old the list is that readers see.
            clock: Where time comes from.
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
        """Take an instance off the list."""
        with self._lock:
            newest = dict(self._versions[-1][1])
            newest.pop(name, None)
            self._versions.append((self._clock.now(), newest))

    def read(self) -> list[ListedInstance]:
        """Return the list as it was `lag_s` ago."""
        until = self._clock.now() - self._lag_s
        with self._lock:
            while len(self._versions) > 1 and self._versions[1][0] <= until:
                self._versions.popleft()
            return list(self._versions[0][1].values())

    def set_faults(self, faults: Faults) -> None:
        """Switch faults on or off."""
        self.faults = faults
