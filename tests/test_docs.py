"""Test that the reference pages match the code."""

import unittest
from pathlib import Path

import write_codes

from catkinknot.app._cli import Verbs
from catkinknot.app._entry import _Root
from catkinknot.journal import Metrics
from catkinknot.node._metrics import NodeMetrics

DOCS = Path(__file__).resolve().parent.parent / "docs" / "reference"


class TestReference(unittest.TestCase):
    """Reference pages compared with the code."""

    def test_codes(self):
        """The page of result codes equals the one that is generated from the code."""
        self.assertEqual(write_codes.PAGE.read_text(), write_codes.page())

    def test_metrics(self):
        """Every metric is named on the page of metrics."""
        page = (DOCS / "metrics.md").read_text()
        for collector in Metrics()._registry.get_all():
            self.assertIn(collector.name, page)
        for collector in NodeMetrics()._registry.get_all():
            self.assertIn(collector.name, page)

    def test_verbs(self):
        """Every command is named on the page of the command line."""
        page = (DOCS / "cli.md").read_text()
        verbs = [name for name in vars(Verbs) if not name.startswith("_")]
        for verb in verbs:
            self.assertIn(f"`{verb}", page)

    def test_paths(self):
        """Every HTTP resource is named on the page of the HTTP interface."""
        page = (DOCS / "http.md").read_text()
        root = _Root(None)
        paths = [f"/v1/{name}" for name in ("jobs", "status", "timeline", "config", "drain")]
        for path in (*paths, "/metrics", "/livez", "/readyz"):
            self.assertIn(f"`{path}", page)
        self.assertTrue(root.exposed)
