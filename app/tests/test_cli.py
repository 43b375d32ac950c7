"""Check the command line's words and exit status."""

import contextlib
import io
import json
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from catkinknot.app import main

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
HOLMGAARD = str(EXAMPLES / "holmgaard-config.json")
NOWHERE = "--at=127.0.0.1:1"


def run(*arguments: str) -> tuple[int, str, str]:
    """Run a verb.

    Returns:
        Its exit status, what it printed, and what it complained of.
    """
    out, err = io.StringIO(), io.StringIO()
    status = 0
    with (
        mock.patch.object(sys, "argv", ["catkinknot", *arguments]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            main()
        except SystemExit as exc:
            status = exc.code or 0
    return status, out.getvalue(), err.getvalue()


class TestExitStatus(unittest.TestCase):
    """Check what each kind of use ends with."""

    def test_table(self):
        """Done is 0, refused or failed is 1, bad use is 2, and never a traceback."""
        for arguments, status, word in (
            (("config", "check", HOLMGAARD), 0, "is right"),
            (("config", "check", "/nowhere"), 2, "2019 BAD_USAGE"),
            (("config", "check"), 2, "file"),
            (("config", "generate", HOLMGAARD), 2, "2012 BAD_CONFIG"),
            (("bogus",), 2, "bogus"),
            (("submit", "sales"), 2, "kind"),
            (("submit", "sales", "proof", "--body", "[1]", NOWHERE), 2, "2001 BAD_FIELD"),
            (("submit", "sales", "proof", "--body", "{", NOWHERE), 2, "2000 BAD_JSON"),
            (("submit", "sales", "proof", NOWHERE), 1, "5002 NOT_REACHABLE"),
            (("status", NOWHERE), 1, "5002 NOT_REACHABLE"),
            (("serve", "--settings", "/nowhere"), 2, "2011 BAD_SETTINGS"),
        ):
            with self.subTest(arguments):
                got, out, err = run(*arguments)
                self.assertEqual(got, status)
                self.assertIn(word, out + err)
                self.assertNotIn("Traceback", out + err)

    def test_all_faults_of_a_configuration(self):
        """Each fault stands on a line of its own, with its code and path."""
        value = json.loads(Path(HOLMGAARD).read_text())
        value["zones"][0]["servers"] = 1
        value["zones"][1]["servers"] = 1
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(value, file)
            file.flush()
            status, _, err = run("config", "check", file.name)
        self.assertEqual(status, 2)
        lines = err.splitlines()
        self.assertEqual(len(lines), 2)
        self.assertTrue(lines[0].startswith("2013 GUARANTEE_EXCEEDS_FLEET: zones[0]"))

    def test_generated_configuration_passes_its_check(self):
        """What comes out of the questionnaire can be published."""
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/config.json"
            run("config", "generate", str(EXAMPLES / "vltava-questionnaire.json"), "--out", path)
            self.assertEqual(run("config", "check", path)[0], 0)

    def test_help_has_an_example(self):
        """Every verb explains itself with an example."""
        for verb in ("serve", "submit", "result", "cancel", "status", "timeline", "drain"):
            with self.subTest(verb):
                _, out, err = run(verb, "--help")
                self.assertIn(f"Example: catkinknot {verb}", out + err)
