"""Check an instance over real sockets against emulators in the same process."""

import json
import socket
import tempfile
import threading
import unittest
from contextlib import ExitStack
from pathlib import Path

import urllib3

from catkinknot.app import ExternalServices, build_server, open_instance
from catkinknot.app._compose import _launch
from catkinknot.membership import ListedInstance
from catkinknot.model import Address, KeyFiles, ResultCode, Settings
from catkinknot.platformlog import NewEntry
from catkinknot_standins import BackendServer, Faults, LogStore

ZONE = "z"
CONFIG = {
    "deployment": "d",
    "zones": [{"name": ZONE, "servers": 2, "servers_per_rack": 2}],
    "kinds": [
        {"name": "proof", "urgency": 9, "deadline_s": 30, "max_accelerators": 64},
        {"name": "plate", "urgency": 3, "deadline_s": 600, "idempotent": False,
         "durable": True, "max_accelerators": 16},
    ],
    "workspaces": [{"name": "sales", "guarantee": [
        {"accelerators": 8, "count": 1, "zone": ZONE}]}],
}  # fmt: skip


def free_port() -> int:
    """Return a free port on the loopback interface."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class StaticListing:
    """Instance list with two backend servers."""

    def read(self) -> list[ListedInstance]:
        """Return the list."""
        return [
            ListedInstance(f"s{n}", "backend", ZONE, "127.0.0.1", n + 1, accelerators=8)
            for n in range(2)
        ]


class TestInstance(unittest.TestCase):
    """Check the answers that callers and operators get."""

    @classmethod
    def setUpClass(cls):
        """Start an instance and publish a configuration."""
        cls.stack = ExitStack()
        cls.addClassCleanup(cls.stack.close)
        folder = Path(cls.stack.enter_context(tempfile.TemporaryDirectory()))
        token = folder / "token"
        token.write_text("secret")
        token.chmod(0o600)
        port = free_port()
        settings = Settings(
            instance="one",
            zone=ZONE,
            http=Address("127.0.0.1", port),
            peer=Address("127.0.0.1", free_port()),
            log=(Address("127.0.0.1", 1),),
            instance_list=Address("127.0.0.1", 1),
            keys=KeyFiles(operator_token=str(token)),
            body_limit_bytes=4096,
        )
        cls.log = LogStore()
        cls.servers = {f"s{n}": BackendServer(f"s{n}") for n in range(2)}
        external = ExternalServices(
            cls.log, StaticListing(), lambda listed: cls.servers[listed.name]
        )
        cls.instance = cls.stack.enter_context(open_instance(settings, external))
        server = build_server(cls.instance)
        server.prepare()
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        cls.stack.callback(thread.join)
        cls.stack.callback(server.stop)
        cls.base = f"http://127.0.0.1:{port}"
        cls.port = port
        cls.http = urllib3.PoolManager(retries=False)
        reply = cls.send("POST", "/v1/config?base_version=0", CONFIG, token="secret")
        assert reply["version"] > 0, reply

    @classmethod
    def send(cls, method, path, value=None, *, raw=None, token="") -> dict:
        """Send a request and return the JSON answer."""
        body = raw if raw is not None else json.dumps(value).encode()
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        reply = cls.http.request(method, cls.base + path, body=body, headers=headers, timeout=30)
        return {"status": reply.status, **json.loads(reply.data)}

    def submit(self, key: str, **more) -> dict:
        """Submit a proof and wait."""
        value = {"workspace": "sales", "kind": "proof", "key": key, **more}
        return self.send("POST", "/v1/jobs?wait_s=20", value)

    def submit_plate(self, key: str) -> dict:
        """Submit a plate and wait."""
        value = {"workspace": "sales", "kind": "plate", "key": key}
        return self.send("POST", "/v1/jobs?wait_s=20", value)

    def test_repeated_submit_returns_the_same_result(self):
        """Repeating a key returns its result; reusing the key with another body is refused."""
        first = self.submit("same", body={"result": "the disc", "duration_s": 0.01})
        again = self.submit("same", body={"result": "the disc", "duration_s": 0.01})
        other = self.submit("same", body={"result": "another"})
        self.assertEqual(first["result"]["text"], "the disc")
        self.assertEqual(first["result"], again["result"])
        self.assertEqual(other["code"], ResultCode.KEY_REUSED)

    def test_concurrent_submits_start_a_durable_job_once(self):
        """A durable job that is submitted 8 times at once starts once and is done for all."""
        value = {"workspace": "sales", "kind": "plate", "key": "once", "accelerators": 8,
                 "body": {"duration_s": 0.2}}  # fmt: skip
        answers = []

        def ask():
            """Submit the job and keep the answer."""
            answers.append(self.send("POST", "/v1/jobs?wait_s=20", value))

        threads = [threading.Thread(target=ask) for _ in range(8)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual({answer["code"] for answer in answers}, {ResultCode.DONE})
        starts = [
            s for server in self.servers.values() for s in server.starts if s[0] == "sales/once"
        ]
        self.assertEqual(len(starts), 1)

    def test_invalid_requests_are_refused(self):
        """Each invalid request gets its code, and later requests are served as before."""
        good = {"workspace": "sales", "kind": "proof", "key": "bad"}
        deep = b'{"workspace":"sales","kind":"proof","key":"k","body":' + b'{"a":' * 30 + b"1"
        for name, raw, code in (
            ("malformed", b'{"workspace"', ResultCode.BAD_JSON),
            ("not an object", b"[1]", ResultCode.BAD_FIELD),
            ("wrong type", {**good, "accelerators": "x"}, ResultCode.BAD_FIELD),
            ("negative", {**good, "accelerators": -4}, ResultCode.BAD_FIELD),
            ("huge", {**good, "accelerators": 10**20}, ResultCode.BAD_FIELD),
            ("not a number", b'{"accelerators": NaN}', ResultCode.BAD_FIELD),
            ("unknown workspace", {**good, "workspace": "x"}, ResultCode.UNKNOWN_WORKSPACE),
            ("unknown kind", {**good, "kind": "x"}, ResultCode.UNKNOWN_KIND),
            ("larger than any rack", {**good, "accelerators": 17}, ResultCode.GANG_TOO_LARGE),
            ("long key", {**good, "key": "k" * 65}, ResultCode.BAD_KEY),
            ("bad key", {**good, "key": "a/b"}, ResultCode.BAD_KEY),
            ("large body", {**good, "body": {"a": "x" * 5000}}, ResultCode.BODY_TOO_LARGE),
            ("deep body", deep + b"}" * 31, ResultCode.BODY_TOO_DEEP),
        ):
            raw = raw if isinstance(raw, bytes) else json.dumps(raw).encode()
            with self.subTest(name):
                answer = self.send("POST", "/v1/jobs", raw=raw)
                self.assertEqual(answer["code"], code)
                self.assertEqual(answer["ran"], "no")
                self.assertTrue(answer["message"] and answer["advice"])
        self.assertEqual(self.submit("after-bad")["code"], ResultCode.DONE)

    def test_truncated_body_is_refused(self):
        """A body shorter than its Content-Length is refused."""
        with socket.create_connection(("127.0.0.1", self.port)) as sock:
            sock.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{")
            sock.shutdown(socket.SHUT_WR)
            self.assertIn(str(int(ResultCode.BODY_CUT)).encode(), sock.makefile("rb").read())

    def test_operator_requests_need_the_token(self):
        """Requests for operators only are refused without the right token."""
        for path in ("/v1/config", "/v1/drain"):
            with self.subTest(path):
                answer = self.send("POST", path, CONFIG, token="wrong")
                self.assertEqual(answer["code"], ResultCode.BAD_TOKEN)

    def test_stale_or_oversized_configuration_is_refused(self):
        """A publish over an old version, or of guarantees that do not fit, changes nothing."""
        version = self.send("GET", "/v1/config")["version"]
        stale = self.send("POST", "/v1/config?base_version=0", CONFIG, token="secret")
        self.assertEqual(stale["code"], ResultCode.CONFIG_CONFLICT)
        greedy = json.loads(json.dumps(CONFIG))
        greedy["workspaces"][0]["guarantee"][0]["count"] = 3
        path = f"/v1/config?base_version={version}"
        answer = self.send("POST", path, greedy, token="secret")
        self.assertEqual(answer["code"], ResultCode.GUARANTEE_EXCEEDS_FLEET)
        self.assertEqual(self.send("GET", "/v1/config")["version"], version)

    def test_corrupt_record_does_not_stop_the_instance(self):
        """A record that cannot be parsed is counted and skipped."""
        self.log.append([NewEntry("somebody", 1, "nonsense")])
        answer = self.submit_plate("after-corrupt")
        self.assertEqual(answer["code"], ResultCode.DONE)
        status = self.send("GET", "/v1/status")
        self.assertGreaterEqual(status["instances"][0]["corrupt_records"], 1)

    def test_unavailable_log_refuses_durable_jobs(self):
        """With the log unavailable, durable jobs are refused and never run; others are served."""
        self.log.set_faults(Faults(out=True))
        try:
            plate = self.submit_plate("refused")
            proof = self.submit("while-out")
        finally:
            self.log.set_faults(Faults())
        self.assertEqual((plate["code"], plate["ran"]), (ResultCode.LOG_UNAVAILABLE, "no"))
        self.assertEqual(proof["code"], ResultCode.DONE)
        self.assertEqual(self.send("GET", "/v1/jobs/sales/refused")["code"], ResultCode.UNKNOWN_JOB)

    def test_cancelled_job_ends_as_stopped(self):
        """A cancelled running job ends as stopped and without a result."""
        value = {"workspace": "sales", "kind": "proof", "key": "gone", "body": {"duration_s": 30}}
        self.send("POST", "/v1/jobs?wait_s=0.3", value)
        answer = self.send("DELETE", "/v1/jobs/sales/gone")
        self.assertIn(answer["code"], (ResultCode.STOPPED, ResultCode.RUNNING))
        final = self.send("GET", "/v1/jobs/sales/gone?wait_s=10")
        self.assertEqual((final["code"], final["result"]), (ResultCode.STOPPED, None))

    def test_job_that_always_fails(self):
        """A job that fails on every server ends with the message of its failure."""
        answer = self.submit("broken", body={"fail": "no such template"})
        self.assertEqual(answer["code"], ResultCode.JOB_CANNOT_RUN)
        self.assertIn("no such template", answer["message"])

    def test_operator_views_show_job_and_zone(self):
        """Status, page, timeline and metrics show the job and the zone's holder."""
        self.submit("seen")
        status = self.send("GET", "/v1/status")
        lane = next(lane for lane in status["lanes"] if lane["kind"] == "proof")
        self.assertEqual(lane["state"], "up")
        self.assertEqual(status["zones"][0]["holder"], "one")
        names = [e["name"] for e in self.send("GET", "/v1/timeline?job=sales/seen")["events"]]
        self.assertEqual(names[0], "request.taken")
        self.assertEqual(names[-1], "request.answered")
        pages = {
            "/": b"Seen by instance one",
            "/metrics": b"catkinknot_requests_total",
            "/v1/timeline?form=html": b"<svg",
        }
        for path, word in pages.items():
            self.assertIn(word, self.http.request("GET", self.base + path).data)


class TestRepeatedSteps(unittest.TestCase):
    """Check that an exception in a step does not end its thread."""

    def test_step_is_repeated_after_an_exception(self):
        """A step that raised is called again."""
        done = threading.Event()
        outcomes = iter((KeyError("boom"), True, False))

        def step() -> bool:
            """Raise at first, then ask to be repeated, then end."""
            outcome = next(outcomes)
            if isinstance(outcome, Exception):
                raise outcome
            if not outcome:
                done.set()
            return outcome

        _launch("test", step)
        self.assertTrue(done.wait(10.0))
