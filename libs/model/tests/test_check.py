"""Test the validation of external input and the faults that it reports."""

import json
import os
import tempfile
import unittest
from pathlib import Path

from catkinknot.model import (
    JobRequest,
    ResultCode,
    check_config,
    check_json,
    generate_config,
    load_questionnaire,
    load_settings,
    seal_result,
    to_python,
)
from catkinknot.model.exceptions import BadInputError

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


def config(**changes) -> str:
    """Return the example configuration as JSON with some fields replaced."""
    value = json.loads((EXAMPLES / "holmgaard-config.json").read_text())
    value.update(changes)
    return json.dumps(value)


def kind(**changes) -> list[dict]:
    """Return a list of one job kind with some fields replaced."""
    return [{"name": "k", "urgency": 1, "deadline_s": 5, **changes}]


class TestJobRequests(unittest.TestCase):
    """Validation of job requests."""

    def test_faults(self):
        """Each invalid field is reported by its path."""
        good = {"workspace": "sales", "kind": "proof", "key": "k1"}
        for change, path in (
            ({"workspace": 5}, "workspace"),
            ({"accelerators": -1}, "accelerators"),
            ({"accelerators": 10**30}, "accelerators"),
            ({"accelerators": "many"}, "accelerators"),
            ({"key": ""}, "key"),
            ({"key": "k" * 65}, "key"),
            ({"key": "a b"}, "key"),
            ({"body": []}, "body"),
            ({"colour": "red"}, "colour"),
        ):
            with self.subTest(change=change), self.assertRaises(BadInputError) as caught:
                check_json(JobRequest, json.dumps({**good, **change}), code=ResultCode.BAD_FIELD)
            self.assertTrue(caught.exception.faults[0].startswith(path))

    def test_malformed_json(self):
        """Text that is not JSON is reported with its own result code."""
        with self.assertRaises(BadInputError) as caught:
            check_json(JobRequest, b'{"workspace":', code=ResultCode.BAD_FIELD)
        self.assertIs(caught.exception.code, ResultCode.BAD_JSON)

    def test_digest_ignores_the_caller(self):
        """The digest depends on the body of the request and not on its caller."""
        first = JobRequest("w", "k", "key", "me", 1, {"a": 1})
        self.assertEqual(first.digest, JobRequest("w", "k", "key", "you", 1, {"a": 1}).digest)
        self.assertNotEqual(first.digest, JobRequest("w", "k", "key", "me", 1, {"a": 2}).digest)

    def test_truncated_result_is_not_intact(self):
        """A result whose text was truncated is detected by its length and digest."""
        result = seal_result("the whole answer")
        self.assertTrue(result.intact)
        self.assertFalse(type(result)("the whole", result.length, result.digest).intact)


class TestConfigurations(unittest.TestCase):
    """Validation of configurations."""

    def test_faults(self):
        """Each fault is reported with its path."""
        shape = {"accelerators": 4, "count": 1, "zone": "nowhere"}
        for text, fault in (
            (config(kinds=kind(urgency=10)), "kinds[0].urgency"),
            (config(kinds=kind(idempotent=False)), "kinds[0].durable"),
            (config(kinds=kind(floor_share=0.6) + kind(name="l", floor_share=0.6)), "kinds: "),
            (config(kinds=kind() + kind()), "kinds[1].name"),
            (config(workspaces=[{"name": "w", "guarantee": [shape]}]),
             "workspaces[0].guarantee[0].zone"),
            (config(workspaces=[{"name": "w", "guarantee": [{**shape, "accelerators": 0}]}]),
             "workspaces[0].guarantee[0].accelerators"),
            (config(zones=[]), "zones"),
            (config(extra=1), "extra"),
        ):  # fmt: skip
            with self.subTest(fault=fault), self.assertRaises(BadInputError) as caught:
                check_config(text)
            self.assertTrue(any(f.startswith(fault) for f in caught.exception.faults))

    def test_all_faults_at_once(self):
        """All faults of a document are reported together, not only the first."""
        with self.assertRaises(BadInputError) as caught:
            check_config(config(kinds=kind(urgency=10, deadline_s=-1)))
        paths = [fault.split(":")[0] for fault in caught.exception.faults]
        self.assertEqual(paths[:2], ["kinds[0].urgency", "kinds[0].deadline_s"])

    def test_examples_follow_from_their_questionnaires(self):
        """The example configurations equal those generated from their questionnaires."""
        for name in ("holmgaard", "vltava"):
            answers = load_questionnaire((EXAMPLES / f"{name}-questionnaire.json").read_text())
            stored = json.loads((EXAMPLES / f"{name}-config.json").read_text())
            self.assertEqual(to_python(generate_config(answers)), stored)


class TestSettings(unittest.TestCase):
    """Validation of settings files."""

    VALID = {
        "instance": "i",
        "zone": "z",
        "http": {"ip": "127.0.0.1", "port": 1},
        "peer": {"ip": "127.0.0.1", "port": 2},
        "log": [{"ip": "127.0.0.1", "port": 3}],
        "instance_list": {"ip": "127.0.0.1", "port": 4},
    }

    def load(self, value: dict):
        """Write a settings file and load it."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(json.dumps(value))
            return load_settings(path)

    def test_valid_file(self):
        """A valid file is loaded."""
        self.assertEqual(self.load(self.VALID).instance, "i")

    def test_faults(self):
        """Unknown keys, host names in place of IP addresses and invalid ports are rejected."""
        for change, path in (
            ({"colour": 1}, "colour"),
            ({"http": {"ip": "localhost", "port": 1}}, "http.ip"),
            ({"http": {"ip": "127.0.0.1", "port": 0}}, "http.port"),
            ({"log": []}, "log"),
        ):
            with self.subTest(path=path), self.assertRaises(BadInputError) as caught:
                self.load({**self.VALID, **change})
            self.assertTrue(caught.exception.faults[0].startswith(path))
            self.assertIs(caught.exception.code, ResultCode.BAD_SETTINGS)

    def test_missing_file(self):
        """A missing file is reported as invalid input, not as an operating system error."""
        with self.assertRaises(BadInputError):
            load_settings("/nowhere/settings.json")

    def test_exposed_key(self):
        """A key file that other users can read is rejected."""
        with tempfile.NamedTemporaryFile() as key:
            os.chmod(key.name, 0o644)
            with self.assertRaises(BadInputError) as caught:
                self.load({**self.VALID, "keys": {"operator_token": key.name}})
            self.assertIs(caught.exception.code, ResultCode.KEY_FILE_EXPOSED)
            os.chmod(key.name, 0o600)
            self.load({**self.VALID, "keys": {"operator_token": key.name}})
