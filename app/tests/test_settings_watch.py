"""Test the detection of changes of the settings file."""

import tempfile
import unittest
from pathlib import Path

from loguru import logger

from catkinknot.node._settings_watch import SettingsWatcher
from catkinknot.platform import load_settings

SETTINGS_FIELDS = {
    "node": "one",
    "ip": "127.0.0.1",
    "zone": "a",
    "listen.front": "127.0.0.1:1",
    "listen.ready": "127.0.0.1:2",
    "listen.control": "127.0.0.1:3",
    "internal-ports": "4,5",
    "platform.address": "127.0.0.1:6",
}


class TestSettingsWatch(unittest.TestCase):
    """Test repeated reads of a settings file."""

    def setUp(self) -> None:
        """Write valid settings, and collect the log lines."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.conf"
        self._write()
        self.watcher = SettingsWatcher(self.path, load_settings(self.path))
        self.lines: list[dict] = []
        sink = logger.add(self._collect, level="DEBUG")
        self.addCleanup(logger.remove, sink)

    def _collect(self, message) -> None:
        self.lines.append({"text": message.record["message"], **message.record["extra"]})

    def _write(self, **changes: str) -> None:
        text = "".join(f"{name}={value}\n" for name, value in (SETTINGS_FIELDS | changes).items())
        self.path.write_text(text)

    def test_nothing_changed(self) -> None:
        """A read without changes is logged only if it was requested."""
        self.watcher.poll()
        self.assertEqual(self.lines, [])
        self.watcher.poll(requested=True)
        self.assertEqual(self.lines[0]["changed"], [])

    def test_change_without_a_signal(self) -> None:
        """A change is logged once without a request, with the names of the changed fields."""
        self._write(zone="b", **{"heartbeat-ms": "900"})
        self.watcher.poll()
        self.watcher.poll()
        self.assertEqual([line["changed"] for line in self.lines], [["zone", "heartbeat_ms"]])
        self.assertEqual(self.watcher.current.zone, "b")

    def test_invalid_file(self) -> None:
        """The old settings stay in force; the error is logged once, and again on request."""
        self.path.write_text("node=one\n")
        self.watcher.poll()
        self.watcher.poll()
        self.assertEqual(len(self.lines), 1)
        self.assertGreater(self.lines[0]["code"], 0)
        self.watcher.poll(requested=True)
        self.assertEqual(len(self.lines), 2)
        self.assertEqual(self.watcher.current.zone, "a")
        self.path.unlink()
        self.watcher.poll()
        self.assertEqual(len(self.lines), 3)
        self._write(zone="c")
        self.watcher.poll()
        self.assertEqual(self.watcher.current.zone, "c")


if __name__ == "__main__":
    unittest.main()
