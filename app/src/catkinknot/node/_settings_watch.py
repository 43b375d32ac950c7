"""Detect changes of the settings file, with or without a signal."""

import dataclasses
from pathlib import Path

from loguru import logger

from catkinknot.model.exceptions import BadInputError
from catkinknot.platform import PlatformSettings, load_settings

__all__ = ["SettingsWatcher"]


class SettingsWatcher:
    """Watcher that reads the settings file again and logs changes.

    Attributes:
        current: The newest settings that could be read.
    """

    def __init__(self, path: Path, current: PlatformSettings) -> None:
        """Create a watcher with the settings that the process started with.

        Args:
            path: Path of the settings file.
            current: Settings that were read from the file.
        """
        self._path = path
        self._fault = ""
        self._log = logger.bind(part="settings")
        self.current = current

    def poll(self, *, requested: bool = False) -> None:
        """Read the file; log the result if requested, or if something has changed.

        Args:
            requested: Whether a signal requested the read.
        """
        try:
            loaded = load_settings(self._path)
        except BadInputError as exc:
            if requested or exc.message != self._fault:
                self._log.bind(code=int(exc.code), reason=exc.message[:300]).error(
                    "The settings can't be read; the previous ones stay in use."
                )
            self._fault = exc.message
            return
        self._fault = ""
        changed = _changed(self.current, loaded)
        self.current = loaded
        if requested or changed:
            # Changed addresses take effect only when the process starts again.
            self._log.bind(changed=changed, asked=requested).info("The settings were read again.")


def _changed(old: PlatformSettings, new: PlatformSettings) -> list[str]:
    """Return the names of the fields that differ."""
    names = (field.name for field in dataclasses.fields(PlatformSettings))
    return [name for name in names if getattr(old, name) != getattr(new, name)]
