"""Notice changes of the settings file."""

import tempfile
import unittest
from pathlib import Path

from loguru import logger

from catkinknot.node._settings_watch import SettingsWatcher
from catkinknot.platform import load_settings

LINES = {
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
    """Look at a settings file over and over."""

    def setUp(self) -> None:
        """Begin with settings that can be read, and gather the log."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "settings.conf"
        self._write()
        self.watch = SettingsWatcher(self.path, load_settings(self.path))
        self.lines: list[dict] = []
        sink = logger.add(self._take, level="DEBUG")
        self.addCleanup(logger.remove, sink)

    def _take(self, message) -> None:
        self.lines.append({"text": message.record["message"], **message.record["extra"]})

    def _write(self, **changes: str) -> None:
        text = "".join(f"{name}={value}\n" for name, value in (LINES | changes).items())
        self.path.write_text(text)

    def test_nothing_changed(self) -> None:
        """A look that finds nothing new says nothing, unless it was asked for."""
        self.watch.poll()
        self.assertEqual(self.lines, [])
        self.watch.poll(asked=True)
        self.assertEqual(self.lines[0]["changed"], [])

    def test_change_without_a_signal(self) -> None:
        """A change is noticed by itself, once, with what has changed."""
        self._write(zone="b", **{"heartbeat-ms": "900"})
        self.watch.poll()
        self.watch.poll()
        self.assertEqual([line["changed"] for line in self.lines], [["zone", "heartbeat_ms"]])
        self.assertEqual(self.watch.current.zone, "b")

    def test_file_that_cannot_be_read(self) -> None:
        """The old settings stay; the fault is told once, and again when asked."""
        self.path.write_text("node=one\n")
        self.watch.poll()
        self.watch.poll()
        self.assertEqual(len(self.lines), 1)
        self.assertGreater(self.lines[0]["code"], 0)
        self.watch.poll(asked=True)
        self.assertEqual(len(self.lines), 2)
        self.assertEqual(self.watch.current.zone, "a")
        self.path.unlink()
        self.watch.poll()
        self.assertEqual(len(self.lines), 3)
        self._write(zone="c")
        self.watch.poll()
        self.assertEqual(self.watch.current.zone, "c")


if __name__ == "__main__":
    unittest.main()
