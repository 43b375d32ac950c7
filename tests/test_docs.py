"""Check that the reference pages follow the code."""

import unittest
from pathlib import Path

import write_codes

from catkinknot.app._cli import Verbs
from catkinknot.app._entry import _Root
from catkinknot.journal import Metrics
from catkinknot.node._metrics import NodeMetrics

DOCS = Path(__file__).resolve().parent.parent / "docs" / "reference"


class TestReference(unittest.TestCase):
    """Check pages against the code."""

    def test_codes(self):
        """The table of codes is the one in the code."""
        self.assertEqual(write_codes.PAGE.read_text(), write_codes.page())

    def test_metrics(self):
        """Every metric is described."""
        page = (DOCS / "metrics.md").read_text()
        for collector in Metrics()._registry.get_all():
            self.assertIn(collector.name, page)
        for collector in NodeMetrics()._registry.get_all():
            self.assertIn(collector.name, page)

    def test_verbs(self):
        """Every verb is described."""
        page = (DOCS / "cli.md").read_text()
        verbs = [name for name in vars(Verbs) if not name.startswith("_")]
        for verb in verbs:
            self.assertIn(f"`{verb}", page)

    def test_paths(self):
        """Every resource is described."""
        page = (DOCS / "http.md").read_text()
        root = _Root(None)
        paths = [f"/v1/{name}" for name in ("jobs", "status", "timeline", "config", "drain")]
        for path in (*paths, "/metrics", "/livez", "/readyz"):
            self.assertIn(f"`{path}", page)
        self.assertTrue(root.exposed)
