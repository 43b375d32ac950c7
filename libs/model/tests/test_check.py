"""Check what is refused at the border, and with which words."""

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
    """Write the example configuration with some parts changed."""
    value = json.loads((EXAMPLES / "holmgaard-config.json").read_text())
    value.update(changes)
    return json.dumps(value)


def kind(**changes) -> list[dict]:
    """Describe one kind of work with some fields changed."""
    return [{"name": "k", "urgency": 1, "deadline_s": 5, **changes}]


class TestJobRequests(unittest.TestCase):
    """Check callers' requests."""

    def test_faults(self):
        """Each wrong field is named."""
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

    def test_no_json(self):
        """Text that is no JSON has a code of its own."""
        with self.assertRaises(BadInputError) as caught:
            check_json(JobRequest, b'{"workspace":', code=ResultCode.BAD_FIELD)
        self.assertIs(caught.exception.code, ResultCode.BAD_JSON)

    def test_digest_tells_other_work(self):
        """The digest depends on the work and not on who asks."""
        first = JobRequest("w", "k", "key", "me", 1, {"a": 1})
        self.assertEqual(first.digest, JobRequest("w", "k", "key", "you", 1, {"a": 1}).digest)
        self.assertNotEqual(first.digest, JobRequest("w", "k", "key", "me", 1, {"a": 2}).digest)

    def test_damaged_result_is_not_whole(self):
        """A result whose text was cut is noticed."""
        result = seal_result("the whole answer")
        self.assertTrue(result.intact)
        self.assertFalse(type(result)("the whole", result.length, result.digest).intact)


class TestConfigurations(unittest.TestCase):
    """Check configurations."""

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
        """Two faults are reported together."""
        with self.assertRaises(BadInputError) as caught:
            check_config(config(kinds=kind(urgency=10, deadline_s=-1)))
        paths = [fault.split(":")[0] for fault in caught.exception.faults]
        self.assertEqual(paths[:2], ["kinds[0].urgency", "kinds[0].deadline_s"])

    def test_examples_follow_from_their_questionnaires(self):
        """The committed configurations are the generated ones."""
        for name in ("holmgaard", "vltava"):
            answers = load_questionnaire((EXAMPLES / f"{name}-questionnaire.json").read_text())
            stored = json.loads((EXAMPLES / f"{name}-config.json").read_text())
            self.assertEqual(to_python(generate_config(answers)), stored)


class TestSettings(unittest.TestCase):
    """Check settings files."""

    GOOD = {
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

    def test_good(self):
        """A right file is read."""
        self.assertEqual(self.load(self.GOOD).instance, "i")

    def test_faults(self):
        """Unknown keys, names in place of IP numbers and bad ports are refused."""
        for change, path in (
            ({"colour": 1}, "colour"),
            ({"http": {"ip": "localhost", "port": 1}}, "http.ip"),
            ({"http": {"ip": "127.0.0.1", "port": 0}}, "http.port"),
            ({"log": []}, "log"),
        ):
            with self.subTest(path=path), self.assertRaises(BadInputError) as caught:
                self.load({**self.GOOD, **change})
            self.assertTrue(caught.exception.faults[0].startswith(path))
            self.assertIs(caught.exception.code, ResultCode.BAD_SETTINGS)

    def test_missing_file(self):
        """A missing file is said to be missing."""
        with self.assertRaises(BadInputError):
            load_settings("/nowhere/settings.json")

    def test_exposed_key(self):
        """A key that others can read is refused."""
        with tempfile.NamedTemporaryFile() as key:
            os.chmod(key.name, 0o644)
            with self.assertRaises(BadInputError) as caught:
                self.load({**self.GOOD, "keys": {"operator_token": key.name}})
            self.assertIs(caught.exception.code, ResultCode.KEY_FILE_EXPOSED)
            os.chmod(key.name, 0o600)
            self.load({**self.GOOD, "keys": {"operator_token": key.name}})
