"""Test real processes that are killed, paused or stopped while jobs run."""

import signal
import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from stage import Deployment, open_deployment

ZONE = "z"
OPEN_CODES = (1001, 1002, 5000)
"""Result codes of a job that has not ended."""

CONFIG = {
    "deployment": "d",
    "zones": [{"name": ZONE, "servers": 3, "servers_per_rack": 3}],
    "kinds": [
        {"name": "proof", "urgency": 9, "deadline_s": 60, "max_accelerators": 16},
        {"name": "plate", "urgency": 3, "deadline_s": 600, "idempotent": False,
         "durable": True, "max_accelerators": 16},
    ],
    "workspaces": [{"name": "w", "guarantee": [
        {"accelerators": 16, "count": 1, "zone": ZONE}]}],
}  # fmt: skip


class TestProcesses(unittest.TestCase):
    """No job is lost and no job that must not run twice runs twice."""

    def setUp(self):
        """Start a platform, three servers and three instances of one zone."""
        self.deployment = self.enterContext(open_deployment(lag_s=0.5))
        self.deployment.start_backends(ZONE, 3)
        self.nodes = [self.deployment.start_node(f"i{n}", ZONE) for n in range(3)]
        for node in self.nodes:
            self.deployment.wait_port(node.http)
        answer = self.deployment.post(self.nodes[0].http, "/v1/config?base_version=0", CONFIG)
        self.assertIn("version", answer, answer)
        self.version = answer["version"]
        self.deployment.wait_status(self.nodes[0], lambda s: s["zones"][0]["servers"] == 3)

    def holder(self, stage: Deployment) -> str:
        """Return the name of the instance that schedules the zone."""
        return stage.get(self.nodes[0].http, "/v1/status")["zones"][0]["holder"]

    def run_job(self, number: int, alive: list) -> dict:
        """Submit a job repeatedly, each time through another instance, until it has ended."""
        kind = "plate" if number % 2 else "proof"
        request = {
            "workspace": "w",
            "kind": kind,
            "key": f"{kind}-{number}",
            "accelerators": 16 if number % 5 == 1 else 1,
            "body": {"duration_s": 1.0},
        }
        for turn in range(60):
            node = alive[(number + turn) % len(alive)]
            try:
                answer = self.deployment.post(node.http, "/v1/jobs?wait_s=20", request)
            except Exception:
                # The instance may have been killed; callers would also retry.
                answer = {"code": 1002}
            if answer["code"] not in OPEN_CODES and not answer.get("retry"):
                return answer
            threading.Event().wait(0.2)
        return answer

    def run_jobs_during(self, inject_fault) -> None:
        """Run jobs, inject a fault into the holder meanwhile, and check all outcomes."""
        holder = self.holder(self.deployment)
        alive = [node for node in self.nodes if node.name != holder]
        with ThreadPoolExecutor(12) as pool:
            futures = [pool.submit(self.run_job, number, alive) for number in range(12)]
            threading.Event().wait(0.7)
            inject_fault(holder)
            answers = [future.result() for future in futures]
        self.assertEqual({answer["code"] for answer in answers}, {1000}, answers)
        starts: dict[str, int] = {}
        for port in self.deployment.backends.values():
            for job, _ in self.deployment.get(port, "/starts")["starts"]:
                starts[job] = starts.get(job, 0) + 1
        plates = {job: count for job, count in starts.items() if "plate" in job}
        self.assertEqual(plates, {f"w/plate-{n}": 1 for n in range(1, 12, 2)})

    def test_holder_is_killed(self):
        """When the holder is killed, no job is lost and no durable job runs twice."""
        self.run_jobs_during(lambda holder: self.deployment.signal(holder, signal.SIGKILL))

    def test_holder_is_paused_past_its_leases(self):
        """A holder that resumes after its leases have lapsed starts no job a second time."""

        def pause(holder: str) -> None:
            """Pause the holder for longer than its leases last."""
            self.deployment.signal(holder, signal.SIGSTOP)
            threading.Event().wait(6.0)
            self.deployment.signal(holder, signal.SIGCONT)

        self.run_jobs_during(pause)

    def test_configuration_reaches_an_instance_cut_off_from_the_log(self):
        """An instance without access to the log gets each newer configuration from its peers.

        It also serves jobs under that configuration.
        """
        cut = self.deployment.start_node("cut", "y", cut_from_log=True)
        self.deployment.wait_ready(cut)
        changed = {**CONFIG, "queue_limit": 77}
        # Versions follow offsets: instances may have claimed the zone before the first one.
        path = f"/v1/config?base_version={self.version}"
        answer = self.deployment.post(self.nodes[0].http, path, changed)
        self.assertIn("version", answer, answer)
        version = answer["version"]
        for _ in range(200):
            current = self.deployment.get(cut.http, "/v1/config")
            if current["version"] == version:
                break
            threading.Event().wait(0.1)
        self.assertEqual(current["version"], version)
        self.assertEqual(current["config"]["queue_limit"], 77)
        request = {"workspace": "w", "kind": "proof", "key": "through-cut"}
        answer = self.deployment.post(cut.http, "/v1/jobs?wait_s=20", request)
        self.assertEqual(answer["code"], 1000)

    def test_holder_is_stopped_gracefully(self):
        """A graceful stop of the holder fails no request, and the process exits with 0."""
        codes = []
        self.run_jobs_during(lambda holder: codes.append(self.deployment.stop(holder)))
        self.assertEqual(codes, [0])
