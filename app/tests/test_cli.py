"""Tests of the command line: messages and exit status."""

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
UNREACHABLE = "--at=127.0.0.1:1"


def run(*arguments: str) -> tuple[int, str, str]:
    """Run a verb.

    Returns:
        The exit status, the standard output and the standard error.
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
    """Tests of the exit status and the messages of verbs."""

    def test_status_and_message_of_each_use(self):
        """Exit with 0 on success, 1 if refused or failed, 2 on wrong usage; print no traceback."""
        for arguments, status, message in (
            (("config", "check", HOLMGAARD), 0, "is valid"),
            (("config", "check", "/nowhere"), 2, "2019 BAD_USAGE"),
            (("config", "check"), 2, "file"),
            (("config", "generate", HOLMGAARD), 2, "2012 BAD_CONFIG"),
            (("bogus",), 2, "bogus"),
            (("submit", "sales"), 2, "kind"),
            (("submit", "sales", "proof", "--body", "[1]", UNREACHABLE), 2, "2001 BAD_FIELD"),
            (("submit", "sales", "proof", "--body", "{", UNREACHABLE), 2, "2000 BAD_JSON"),
            (("submit", "sales", "proof", UNREACHABLE), 1, "5002 NOT_REACHABLE"),
            (("status", UNREACHABLE), 1, "5002 NOT_REACHABLE"),
            (("serve", "--settings", "/nowhere"), 2, "2011 BAD_SETTINGS"),
        ):
            with self.subTest(arguments):
                actual, out, err = run(*arguments)
                self.assertEqual(actual, status)
                self.assertIn(message, out + err)
                self.assertNotIn("Traceback", out + err)

    def test_all_faults_of_a_configuration(self):
        """Each fault is printed on its own line, with its code and path."""
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
        """A configuration generated from a questionnaire is valid."""
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/config.json"
            run("config", "generate", str(EXAMPLES / "vltava-questionnaire.json"), "--out", path)
            self.assertEqual(run("config", "check", path)[0], 0)

    def test_help_has_an_example(self):
        """The help of every verb has an example."""
        for verb in ("serve", "submit", "result", "cancel", "status", "timeline", "drain"):
            with self.subTest(verb):
                _, out, err = run(verb, "--help")
                self.assertIn(f"Example: catkinknot {verb}", out + err)
