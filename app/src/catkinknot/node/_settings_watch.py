"""Notice when the settings file changes, with a signal or without one."""

import dataclasses
from pathlib import Path

from loguru import logger

from catkinknot.model.exceptions import BadInputError
from catkinknot.platform import PlatformSettings, load_settings

__all__ = ["SettingsWatcher"]


class SettingsWatcher:
    """Read the settings again and say what has changed.

    Attributes:
        current: The newest settings that could be read.
    """

    def __init__(self, path: Path, current: PlatformSettings) -> None:
        """Begin with the settings that the process started with.

        Args:
            path: The settings file.
            current: What was read from it.
        """
        self._path = path
        self._fault = ""
        self._log = logger.bind(part="settings")
        self.current = current

    def poll(self, *, asked: bool = False) -> None:
        """Read the file; say so if it was asked for, or if something has changed.

        Args:
            asked: Whether a signal asked for it.
        """
        try:
            fresh = load_settings(self._path)
        except BadInputError as exc:
            if asked or exc.message != self._fault:
                self._log.bind(code=int(exc.code), reason=exc.message[:300]).error(
                    "The settings can't be read; the old ones stay."
                )
            self._fault = exc.message
            return
        self._fault = ""
        changed = _changed(self.current, fresh)
        self.current = fresh
        if asked or changed:
            # Addresses that are in use change with the next process only.
            self._log.bind(changed=changed, asked=asked).info("The settings were read again.")


def _changed(old: PlatformSettings, new: PlatformSettings) -> list[str]:
    """Return the names of the fields that differ."""
    names = (field.name for field in dataclasses.fields(PlatformSettings))
    return [name for name in names if getattr(old, name) != getattr(new, name)]
