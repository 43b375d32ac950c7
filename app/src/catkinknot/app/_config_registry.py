"""Hold the newest configuration received from the log or from a peer."""

import threading
from collections.abc import Callable

from catkinknot.model import Configuration
from catkinknot.platformlog import ConfigInForce
from catkinknot.scheduler import ZoneCapacity

__all__ = ["ConfigRegistry"]


class ConfigRegistry:
    """Registry of the configuration in force.

    A version follows from the log offset of its record, so a higher version
    is always newer, whether it came from the log or from a peer. A lower
    version is never put in force.
    """

    def __init__(self) -> None:
        """Create a registry without a configuration."""
        self._lock = threading.Lock()
        self._current: ConfigInForce | None = None
        self._capacity: ZoneCapacity | None = None
        self._listeners: list[Callable[[ConfigInForce], None]] = []

    def add_listener(self, listener: Callable[[ConfigInForce], None]) -> None:
        """Register a function to call with each configuration put in force."""
        self._listeners.append(listener)

    def current(self) -> ConfigInForce | None:
        """Return the configuration in force, or None."""
        with self._lock:
            return self._current

    def capacity(self) -> ZoneCapacity | None:
        """Return the capacity of the zones in the current configuration, or None."""
        with self._lock:
            if self._current is None:
                return None
            if self._capacity is None or self._capacity.cfg is not self._current.config:
                self._capacity = ZoneCapacity(self._current.config)
            return self._capacity

    def version(self) -> int:
        """Return the version of the current configuration, 0 for none."""
        with self._lock:
            return 0 if self._current is None else self._current.version

    def offer(self, version: int, config: Configuration) -> bool:
        """Put a configuration in force if it is newer than the current one.

        Args:
            version: The version of the configuration.
            config: The configuration.

        Returns:
            Whether this call put it in force.
        """
        with self._lock:
            if self._current is not None and version <= self._current.version:
                return False
            self._current = ConfigInForce(version, config)
            current = self._current
        for listener in self._listeners:
            listener(current)
        return True
