"""Hold the newest configuration, wherever it came from."""

import threading
from collections.abc import Callable

from catkinknot.model import Configuration
from catkinknot.platformlog import ConfigInForce
from catkinknot.scheduler import ZoneCapacity

__all__ = ["ConfigRegistry"]


class ConfigRegistry:
    """Put configurations in force in the order of their versions.

    A version follows from the log offset of its record, so a higher one is
    always newer, whether it came from the log or from a peer. A lower one is
    never put in force.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self._lock = threading.Lock()
        self._current: ConfigInForce | None = None
        self._capacity: ZoneCapacity | None = None
        self._listeners: list[Callable[[ConfigInForce], None]] = []

    def listen(self, listener: Callable[[ConfigInForce], None]) -> None:
        """Call a function whenever another configuration is in force."""
        self._listeners.append(listener)

    def current(self) -> ConfigInForce | None:
        """Return the configuration in force, or None."""
        with self._lock:
            return self._current

    def capacity(self) -> ZoneCapacity | None:
        """Return what the zones of the configuration in force can hold, or None."""
        with self._lock:
            if self._current is None:
                return None
            if self._capacity is None or self._capacity.cfg is not self._current.config:
                self._capacity = ZoneCapacity(self._current.config)
            return self._capacity

    def version(self) -> int:
        """Return the version in force, 0 for none."""
        with self._lock:
            return 0 if self._current is None else self._current.version

    def offer(self, version: int, config: Configuration) -> bool:
        """Put a configuration in force if it is newer.

        Args:
            version: Its version.
            config: The configuration.

        Returns:
            Whether it is in force now because of this call.
        """
        with self._lock:
            if self._current is not None and version <= self._current.version:
                return False
            self._current = ConfigInForce(version, config)
            current = self._current
        for listener in self._listeners:
            listener(current)
        return True
