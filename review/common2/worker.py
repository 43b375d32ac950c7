"""Stand-in for a worker that runs work units under a lease, as `PROTOCOL.md` describes it."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from store import Handler, Server, Store

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.1
LASTING_S = float("inf")
POLL_S = 0.01
LISTED_ENDS = 500


@dataclass
class Run:
    """Run of a work unit."""

    task: str
    run: int
    began_s: float
    work_s: float
    fails: bool
    stop_at_s: float | None = None

    def percent(self, now_s: float) -> int:
        """Return the progress, which for a unit that lasts is whether it is at work."""
        if self.work_s == LASTING_S:
            return 100
        return min(100, int(100 * (now_s - self.began_s) / self.work_s))


class Worker:
    """One worker.

    The `spec` of a job is JSON here: ``work_s`` is how long a work unit runs, and
    ``fails`` lists the indexes of the units that end `failed`, and ``lasts`` says that they run
    until they are stopped.

    Attributes:
        starts: Time, task and run of each start.
        ends: Time, number, task, run and how of each end.
        acked: When ends were taken note of, and the number of the last one, in order.
        lost: Time, task and run of each run that a crash ended.
        held_s: When the last renewal came.
        wait_s: How long that renewal may wait for an end.
    """

    def __init__(
        self,
        store: Store,
        ident: str,
        say: Callable[..., None],
        *,
        zone: str,
        labels: list[str],
        service: str,
        cpu: int = 64_000,
        mem_mb: int = 131_072,
        gpu: int = 8,
    ) -> None:
        """Start the worker and its reports to the store."""
        self.ident, self.zone, self.labels, self.service = ident, zone, labels, service
        self.capacity = {"cpu": cpu, "mem-mb": mem_mb, "gpu": gpu}
        self.starts: list[tuple[float, str, int]] = []
        self.ends: list[tuple[float, int, str, int, str]] = []
        self.acked: list[tuple[float, int]] = []
        self.lost: list[tuple[float, str, int]] = []
        self.held_s = 0.0
        self.wait_s = 0.0
        self.address = ""
        self._store, self._say = store, say
        self._lock = threading.RLock()
        self._born_ms = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._runs: dict[str, Run] = {}
        self._listed: list[list] = []
        self._closed: dict[str, int] = {}
        self._seq = 0
        self._last_end = 0
        worker = self

        class WorkerHandler(Handler):
            def do_POST(self) -> None:  # noqa: N802
                body = json.loads(self.body() or b"{}")
                if self.headers.get("X-Expect-Instance", worker.ident) != worker.ident:
                    self.reply(421, worker._stamp({}))
                elif self.path == "/v1/hold":
                    self.reply(*worker.hold(body))
                elif self.path == "/v1/run-start":
                    self.reply(*worker.start(body))
                elif self.path == "/v1/run-stop":
                    self.reply(*worker.stop(body))
                else:
                    self.reply(404, {})

        self.server = Server(WorkerHandler)
        self.address = self.server.address

    def join(self) -> None:
        """Begin to report to the store; set `address` before, if a proxy stands in front."""
        threading.Thread(target=self._report, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def restart(self) -> None:
        """Crash and start again at once under the same id and address, as a new lifetime."""
        with self._lock:
            self._say(f"{self.ident} crashes, with {len(self._runs)} runs, and starts again")
            for run in list(self._runs.values()):
                self.lost.append((time.monotonic(), run.task, run.run))
            self._born_ms = int(time.time() * 1000)
            self._began_s = time.monotonic()
            self._token = self._lease_ms = self._seq = self._last_end = 0
            self._runs, self._listed, self._closed = {}, [], {}
            self._publish()

    def running(self) -> dict[str, int]:
        """Return the run of each work unit that is at work."""
        with self._lock:
            return {run.task: run.run for run in self._runs.values()}

    def clock_ms(self) -> int:
        """Return the worker's own steady clock."""
        return 100_000 + int((time.monotonic() - self._began_s) * 1000)

    def _stamp(self, body: dict) -> dict:
        return {"clock-ms": self.clock_ms(), "born": self._born_ms} | body

    def _answer(self, **fields: str) -> dict:
        """Return the body of an answer to an order, which names no lifetime."""
        return {"clock-ms": self.clock_ms()} | fields

    def _report(self) -> None:
        """Write the entry in the store again and again."""
        while True:
            with self._lock:
                self._publish()
            time.sleep(HEARTBEAT_S)

    def _publish(self) -> None:
        """Write the entry in the store."""
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-remaining-ms": 0,
            "capacity": self.capacity,
            "labels": self.labels,
            "seq-no": self._seq,
        }
        self._store.put("keyed.servers", self.ident, json.dumps(self._stamp(entry)).encode())

    def _tick(self) -> None:
        """End what is due."""
        while True:
            time.sleep(POLL_S)
            with self._lock:
                now_s = time.monotonic()
                lapsed = self.clock_ms() >= self._lease_ms
                for run in list(self._runs.values()):
                    if run.stop_at_s is not None and now_s >= run.stop_at_s:
                        self._end(run, "stopped")
                    elif now_s >= run.began_s + run.work_s:
                        self._end(run, "failed" if run.fails else "done")
                    elif lapsed:
                        self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        self._closed[run.task] = max(run.run, self._closed.get(run.task, 0))
        self._last_end += 1
        number = self._last_end
        self.ends.append((time.monotonic(), number, run.task, run.run, how))
        self._listed.append([number, run.task, run.run, how, ""])
        self._say(f"{self.ident} ended {run.task} run {run.run}: {how} (end {number})")

    def _fenced(self, body: dict) -> bool:
        """Return whether a call carries an epoch lower than the highest seen."""
        token = int(body.get("fencing-token", 0))
        if token < self._token:
            return True
        self._token = token
        return False

    def _extend(self, until_ms: int) -> None:
        self._lease_ms = max(self._lease_ms, min(until_ms, self.clock_ms() + MAX_HOLD_MS))

    def start(self, body: dict) -> tuple[int, dict]:
        """Start a run."""
        with self._lock:
            task, run = body["task"], int(body["run"])
            known = self._runs.get(task)
            if self._fenced(body):
                return 409, self._answer(reason="fence")
            if known is not None and known.run == run:
                return 200, self._answer()
            if known is not None or run <= self._closed.get(task, 0):
                self._extend(int(body["until-ms"]))
                return 409, self._answer(reason="old")
            if int(body["until-ms"]) <= self.clock_ms():
                return 409, self._answer(reason="late")
            self._extend(int(body["until-ms"]))
            spec = json.loads(body["spec"])
            index = int(task.rpartition(".")[2])
            now_s = time.monotonic()
            fails = index in spec.get("fails", [])
            work_s = LASTING_S if spec.get("lasts") else spec["work_s"]
            self._runs[task] = Run(task, run, now_s, work_s, fails)
            self.starts.append((now_s, task, run))
            if len(self.starts) <= 300:
                self._say(f"{self.ident} started {task} run {run}")
            return 200, self._answer()

    def stop(self, body: dict) -> tuple[int, dict]:
        """Stop a run, and refuse it from now on."""
        with self._lock:
            if self._fenced(body):
                return 409, self._answer(reason="fence")
            task, run = body["task"], int(body["run"])
            self._closed[task] = max(run, self._closed.get(task, 0))
            found = self._runs.get(task)
            if found is not None and found.run <= run and found.stop_at_s is None:
                found.stop_at_s = time.monotonic() + STOP_S
            return 200, self._answer()

    def hold(self, body: dict) -> tuple[int, dict]:
        """Renew the lease, forget ends, and return what runs and what has ended."""
        with self._lock:
            if self._fenced(body):
                return 409, self._answer(reason="fence")
            self.held_s = time.monotonic()
            self.wait_s = int(body.get("wait-ms", 0)) / 1000
            end_s = self.held_s + self.wait_s
            if "until-ms" in body:
                self._extend(int(body["until-ms"]))
            cursor = min(int(body.get("ack-cursor", 0)), self._last_end)
            if cursor > (self.acked[-1][1] if self.acked else 0):
                self.acked.append((time.monotonic(), cursor))
                self._say(f"{self.ident}: ends up to {cursor} are taken note of")
            self._listed = [row for row in self._listed if row[0] > cursor]
        while not self._listed and time.monotonic() < end_s:
            time.sleep(POLL_S)
        with self._lock:
            now_s = time.monotonic()
            rows = [[r.task, r.run, "", r.percent(now_s), 0] for r in self._runs.values()]
            ended = self._listed[:LISTED_ENDS]
            return 200, self._stamp({"running-tasks": rows, "ended": ended})
