"""Test that an instance ends within its grace time, whatever the store does."""

import http.client
import json
import signal
import tempfile
import threading
import time
import unittest
from contextlib import ExitStack
from pathlib import Path

from catkinknot_standins.soak import Callers, ProxyFault, TestEnvironment, open_instance

START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
GRACE_S = 6.0
CALL_TIMEOUT_S = 15.0
CALLER_COUNT = 30
"""Callers at once, more than the instance has threads."""

STORE_FAULTS = {
    "no fault": (ProxyFault.NONE, 0.0),
    "slow": (ProxyFault.DELAY, 0.24),
    "answers after 30 s": (ProxyFault.DELAY, 30.0),
    "silent": (ProxyFault.SILENCE, 0.0),
    "answers are lost": (ProxyFault.NO_ANSWERS, 0.0),
}


class TestStop(unittest.TestCase):
    """An instance that is told to stop while callers wait for the store."""

    def test_stops_within_the_grace_time(self) -> None:
        """The process ends by itself, and each call that it took has an answer.

        Guards against handlers that wait for a slow store for as long as their
        callers do: the HTTP server waits for its handlers, and the process was
        killed at the end of the grace time.
        """
        with ExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            environment = TestEnvironment(stack, 2)
            instances = {}
            for n, name in enumerate(STORE_FAULTS):
                route = environment.open_store_route()
                opened = open_instance(f"i{n}", folder, route, "", grace_s=GRACE_S)
                instances[name] = stack.enter_context(opened)
                instances[name].start()
            callers = Callers(list(instances.values()), 1)
            for instance in instances.values():
                self._wait_until_up(callers, instance)
            outcomes = {}
            threads = [
                threading.Thread(target=self._stop_under_load, args=(name, instance, outcomes))
                for name, instance in instances.items()
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        for name, (exit_status, statuses) in outcomes.items():
            with self.subTest(store=name):
                self.assertEqual(exit_status, 0, "the process did not end by itself")
                self.assertEqual(len(statuses), CALLER_COUNT)
                self.assertNotIn(0, statuses)
        self.assertEqual(len(outcomes), len(STORE_FAULTS))

    def _wait_until_up(self, callers: Callers, instance) -> None:
        """Wait until an instance answers callers."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while callers.call("GET", "/q0/", instance=instance)[0] != 200:
            self.assertLess(time.monotonic(), end_s, "an instance did not start")
            time.sleep(POLL_INTERVAL_S)

    def _stop_under_load(self, name: str, instance, outcomes: dict) -> None:
        """Stop an instance while its callers wait, and record how it and the calls ended."""
        fault, delay_s = STORE_FAULTS[name]
        instance.store.delay_s = delay_s
        instance.store.fault = fault
        statuses: list[int] = []
        callers = [
            threading.Thread(target=self._call, args=(instance, n, statuses))
            for n in range(CALLER_COUNT)
        ]
        for caller in callers:
            caller.start()
        time.sleep(POLL_INTERVAL_S)
        instance.send(signal.SIGTERM)
        exit_status = instance.wait(GRACE_S)
        for caller in callers:
            caller.join()
        outcomes[name] = exit_status, statuses

    def _call(self, instance, number: int, statuses: list[int]) -> None:
        """Submit, query or cancel a job; a call without an answer has the status 0."""
        job = f"{number:016x}"
        method = ("POST", "GET", "DELETE")[number % 3]
        body = json.dumps({"spec": "work", "steps": [{"count": 1, "gpu": 1}]})
        headers = {"Host": "soak.example", "X-Api-Key": "key-1"}
        conn = http.client.HTTPConnection(
            "127.0.0.1", instance.callers.port, timeout=CALL_TIMEOUT_S
        )
        try:
            conn.request(method, f"/q0/{job}", body if method == "POST" else None, headers)
            statuses.append(conn.getresponse().status)
        except OSError:
            statuses.append(0)
        finally:
            conn.close()


if __name__ == "__main__":
    unittest.main()
