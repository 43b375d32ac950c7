"""Small stand-ins for the platform: a store, workers and clients, around real instances.

The store and the workers follow the users' PROTOCOL.md. Instances are started
as separate processes with the command of deploy/system.toml. Every address is
on the loopback interface.
"""

import base64
import contextlib
import http.client
import json
import os
import secrets
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
IP = "127.0.0.1"
HOST = "plates.example"
KEY = "key-one"
SERVICE = "press"

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
MAX_HOLD_MS = 10_000
STOP_S = 0.2
"""A stop takes `stop-ms`, 200 in the settings, at most."""

HEARTBEAT_S = 1.5
APPEND_S = 0.004
PAGE_ITEMS = 500
FIRST_PORT = 12_000
BLOCK_SIZE = 24
BLOCK_COUNT = 750

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""


class Record:
    """Event log of one case, written to record.txt."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._path = path
        self._lock = threading.Lock()
        self._began_s = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_s

    def say(self, text: str) -> None:
        """Add one line with the present time."""
        with self._lock:
            self._lines.append(f"{self.now():8.3f}  {text}")
            self._path.write_text("\n".join(self._lines) + "\n")


class _Topic:
    """Keyed topic with one partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.producers: dict[str, dict] = {}


class Store:
    """Log store with keyed topics; it refuses records and calls over the stated size."""

    def __init__(self, record: Record) -> None:
        """Create an empty store."""
        self._record = record
        self._lock = threading.Lock()
        self._topics: dict[str, _Topic] = {}
        self.refused_sizes: list[int] = []
        self.delays: Callable[[bytes], float] = lambda body: 0.0
        self.closing = False
        self.server = _open_server(self._handle)
        self.address = f"{IP}:{self.server.server_address[1]}"

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append one record, as the operator or a worker does."""
        raw = key.encode()
        with self._lock:
            self._write(self._topic(topic), [bytes([len(raw)]) + raw + value])

    def newest(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key."""
        with self._lock:
            return {key: value for key, (value, _) in self._topic(topic).newest.items()}

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _handle(self, method: str, target: str, headers, body: bytes) -> tuple[int, bytes] | None:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/log-append":
            delay_s = self.delays(body)
            if delay_s:
                self._append_late(query, body, delay_s)
                return None
            time.sleep(APPEND_S)
            with self._lock:
                return self._append(query, body)
        if parts.path == "/v1/log-read":
            return self._read(query)
        if parts.path == "/v1/log-newest":
            return self._newest(query)
        return 404, b""

    def _append_late(self, query: dict[str, str], body: bytes, delay_s: float) -> None:
        """Leave an append unanswered, and execute it after a delay."""

        def execute() -> None:
            with self._lock:
                status, _ = self._append(query, body)
            self._record.say(f"store: executes the unanswered append, status {status}")

        timer = threading.Timer(delay_s, execute)
        timer.daemon = True
        timer.start()
        end_s = time.monotonic() + delay_s
        while not self.closing and time.monotonic() < end_s:
            time.sleep(0.05)

    def _append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        contents, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            contents.append(body[at + 4 : at + 4 + length])
            at += 4 + length
        largest = max((len(content) for content in contents), default=0)
        if largest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused_sizes.append(largest)
            if len(self.refused_sizes) <= 3:
                key = contents[0][1 : 1 + contents[0][0]].decode(errors="replace")
                self._record.say(f"store: 413 for a record of {largest} bytes, first key {key}")
            return 413, _json({"error": "too large"})
        topic = self._topic(query["topic"])
        if "producer" not in query:
            refusal = self._moved(topic, query)
            return refusal or self._write(topic, contents)
        known = topic.producers.setdefault(
            query["producer"], {"epoch": -1, "next": 0, "answers": {}}
        )
        epoch, number = int(query["epoch"]), int(query["seq-no"])
        if epoch < known["epoch"]:
            return 409, _json({"reason": "fenced"})
        if epoch == known["epoch"] and number != known["next"]:
            if number in known["answers"]:
                return known["answers"][number]
            return 409, _json({"reason": "seq", "seq-no": known["next"]})
        refusal = self._moved(topic, query)
        if refusal:
            return refusal
        answer = self._write(topic, contents)
        if epoch > known["epoch"]:
            known["answers"].clear()
        known["epoch"], known["next"] = epoch, number + 1
        known["answers"][number] = answer
        while len(known["answers"]) > 5:
            del known["answers"][min(known["answers"])]
        return answer

    def _moved(self, topic: _Topic, query: dict[str, str]) -> tuple[int, bytes] | None:
        if "as-of" in query and int(query["as-of"]) != len(topic.records):
            return 412, _json({"end": len(topic.records)})
        return None

    def _write(self, topic: _Topic, contents: list[bytes]) -> tuple[int, bytes]:
        first = len(topic.records)
        for content in contents:
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            if value:
                topic.newest[key] = (value, len(topic.records))
            else:
                topic.newest.pop(key, None)
            topic.records.append(content)
        return 200, _json({"offset": first, "end": len(topic.records)})

    def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        end_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        start = int(query["from"])
        limit = int(query.get("max-kb", 1024)) * 1024
        while True:
            with self._lock:
                records = self._topic(query["topic"]).records
                end = len(records)
                parts, size = [struct.pack(">QQ", end, 0)], 0
                for content in records[start:]:
                    size += 4 + len(content)
                    if size > limit and len(parts) > 1:
                        break
                    parts.append(struct.pack(">I", len(content)) + content)
            if len(parts) > 1 or time.monotonic() >= end_s:
                return 200, b"".join(parts)
            time.sleep(0.01)

    def _newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        with self._lock:
            topic = self._topic(query["topic"])
            keys = sorted(key for key in topic.newest if key > query.get("after", ""))
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(topic.newest[key][0]).decode(),
                    "offset": topic.newest[key][1],
                }
                for key in keys[:PAGE_ITEMS]
            ]
            page = {"items": items, "more": len(keys) > PAGE_ITEMS, "end": len(topic.records)}
        return 200, _json(page)


@dataclass
class Run:
    """One run of a work unit on a worker, with times since the case began."""

    task: str
    number: int
    worker: str
    began_s: float
    work_s: float
    fails: bool
    lasts: bool = False
    ended_s: float | None = None
    how: str = ""
    stop_at_s: float | None = None

    @property
    def job(self) -> str:
        """Id of the job."""
        return self.task.partition(".")[0]


@dataclass
class Worker:
    """One worker; `spec` of a job tells how long its work units take and whether they fail.

    Attributes:
        name: The worker's id.
        world: The world that it belongs to.
        cpu: Capacity in thousandths of a core.
        mem_mb: Capacity in megabytes.
        gpu: Capacity in accelerators.
        kind: First label.
        rack: Second label.
        clock_rate: Rate of its steady clock.
        zone: Its zone.
        cut: Whether nothing passes between it and the machines; it runs on and
            reaches the store.
        sheds: Whether it refuses starts with 503, as an unhealthy worker does.
        fail_next: Number of the next starts whose runs end `failed`.
    """

    name: str
    world: "World"
    cpu: int = 64_000
    mem_mb: int = 131_072
    gpu: int = 8
    kind: str = "a"
    rack: str = "r1-1"
    clock_rate: float = 1.0
    zone: str = "hall"
    cut: bool = False
    sheds: bool = False
    fail_next: int = 0
    draining: bool = False
    holds_s: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start to listen."""
        self.lock = threading.RLock()
        self.silent_until_s = 0.0
        self._begin_lifetime()
        self.server = _open_server(self._handle)
        self.address = f"{IP}:{self.server.server_address[1]}"

    def _begin_lifetime(self) -> None:
        """Begin a lifetime that knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.runs: dict[str, Run] = {}
        self.ends: list[list] = []
        self.end_count = 0
        self.token = 0
        self.until_ms = 0
        self.closed: dict[str, int] = {}
        self.seq = 0
        self.base_s = time.monotonic()

    def restart(self, first_entry_s: float) -> None:
        """Crash, and start again under the same id and address.

        Args:
            first_entry_s: Time until the new lifetime first writes its entry.
        """
        with self.lock:
            for run in self.runs.values():
                run.ended_s, run.how = self.world.record.now(), "crashed"
            self._begin_lifetime()
            self.silent_until_s = time.monotonic() + first_entry_s
        self.server.reset_channels()
        self.world.record.say(f"{self.name} crashes and starts again under its id")

    def clock_ms(self) -> int:
        """Return the worker's own steady clock."""
        return 100_000 + int((time.monotonic() - self.base_s) * 1000 * self.clock_rate)

    def entry(self) -> bytes:
        """Return the worker's entry in the store."""
        self.seq += 1
        body = {
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "cold-remaining-ms": 0,
            "seq-no": self.seq,
            "born": self.born,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpu": self.gpu},
            "labels": [self.kind, self.rack],
            "clock-ms": self.clock_ms(),
        }
        return _json(body)

    def tick(self) -> None:
        """End what is over: runs that are complete or stopped, and all once the lease is over."""
        with self.lock:
            now_s = self.world.record.now()
            lapsed = self.runs and self.clock_ms() >= self.until_ms
            for run in list(self.runs.values()):
                if run.stop_at_s is not None and now_s >= run.stop_at_s:
                    self._end(run, "stopped")
                elif now_s >= run.began_s + run.work_s:
                    self._end(run, "failed" if run.fails else "done")
                elif lapsed:
                    self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        run.ended_s, run.how = self.world.record.now(), how
        del self.runs[run.task]
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ""])
        self.world.note(f"{self.name}: {run.task} run {run.number} ends {how}")

    def _handle(self, method: str, target: str, headers, body: bytes) -> tuple[int, bytes] | None:
        if self.cut:
            self._wait_for_heal()
            return None
        if headers.get("X-Expect-Instance", self.name) != self.name:
            return 421, _json({})
        fields = json.loads(body or b"{}")
        answer = self._answer(target, fields)
        if self.cut:
            self._wait_for_heal()
            return None
        return answer

    def _wait_for_heal(self) -> None:
        """Keep the channel silent while the worker is cut off."""
        while self.cut and not self.world.closing:
            time.sleep(0.02)

    def _answer(self, target: str, fields: dict) -> tuple[int, bytes]:
        with self.lock:
            self.tick()
            token = int(fields.get("fencing-token", 0))
            if token < self.token:
                return 409, self._say(reason="fence")
            self.token = token
            if target == "/v1/run-start":
                return self._start(fields)
            if target == "/v1/run-stop":
                return self._stop(fields)
            if target != "/v1/hold":
                return 404, b""
            self._extend(int(fields.get("until-ms", 0)))
            cursor = int(fields.get("ack-cursor", 0))
            self.ends = [row for row in self.ends if row[0] > cursor]
            self.holds_s.append(self.world.record.now())
        end_s = time.monotonic() + min(int(fields.get("wait-ms", 0)), 2000) / 1000
        while not self.ends and time.monotonic() < end_s and not self.cut:
            time.sleep(0.01)
        with self.lock:
            self.tick()
            rows = [[r.task, r.number, "", self._percent(r), 0.0] for r in self.runs.values()]
            fields = {"running-tasks": rows, "ended": self.ends[:500]}
            return 200, self._say(**fields)

    def _percent(self, run: Run) -> int:
        if run.lasts:
            return 100
        return min(99, int(100 * (self.world.record.now() - run.began_s) / run.work_s))

    def _say(self, **fields: object) -> bytes:
        return _json({"clock-ms": self.clock_ms(), "born": self.born, **fields})

    def _extend(self, until_ms: int) -> None:
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + MAX_HOLD_MS))

    def _start(self, fields: dict) -> tuple[int, bytes]:
        task, number = fields["task"], int(fields["run"])
        if self.sheds:
            self.world.note(f"{self.name}: 503 for the start of {task} run {number}")
            return 503, self._say()
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, self._say()
        until_ms = int(fields["until-ms"])
        if known is not None or number <= self.closed.get(task, 0):
            self._extend(until_ms)
            return 409, self._say(reason="old")
        if until_ms <= self.clock_ms():
            return 409, self._say(reason="late")
        self._extend(until_ms)
        spec = dict(part.split("=") for part in fields["spec"].split() if "=" in part)
        fails = self.fail_next > 0
        self.fail_next = max(0, self.fail_next - 1)
        work_s = float(spec.get("fail_s", 0.5)) if fails else float(spec["work_s"])
        now_s = self.world.record.now()
        run = Run(task, number, self.name, now_s, work_s, fails, "lasts" in spec)
        self.runs[task] = run
        self.world.runs.append(run)
        self.world.note(f"{self.name}: {task} run {number} starts")
        return 200, self._say()

    def _stop(self, fields: dict) -> tuple[int, bytes]:
        task, number = fields["task"], int(fields["run"])
        self.closed[task] = max(number, self.closed.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at_s is None:
            run.stop_at_s = self.world.record.now() + STOP_S
            self.world.note(f"{self.name}: {task} run {number} is told to stop")
        return 200, self._say()


@dataclass
class Instance:
    """One instance of the product, run as the deploy file says."""

    name: str
    front: str
    ready: str
    control: str
    settings: Path
    process: subprocess.Popen | None = None


class World:
    """Store, workers and instances of a small deployment."""

    def __init__(self, folder: Path) -> None:
        """Create a world without workers and instances.

        Args:
            folder: Folder of the case, where record.txt is written.
        """
        self.record = Record(folder / "record.txt")
        self.scratch = Path(tempfile.mkdtemp(prefix="catkinknot-review-"))
        self.store = Store(self.record)
        self.workers: list[Worker] = []
        self.instances: list[Instance] = []
        self.runs: list[Run] = []
        self.closing = False
        self.quiet = False
        self.version = 0

    def note(self, text: str) -> None:
        """Record an event unless there are too many of the kind."""
        if not self.quiet:
            self.record.say(text)

    def add_worker(self, **fields: object) -> Worker:
        """Add a worker; it is listed with its next ping."""
        worker = Worker(f"w-{len(self.workers) + 1:02}-{secrets.token_hex(3)}", self, **fields)
        self.workers.append(worker)
        self.record.say(
            f"worker {worker.name} kind {worker.kind} cpu {worker.cpu} gpu {worker.gpu}"
            f" clock rate {worker.clock_rate}"
        )
        return worker

    def publish_config(self, routes: list[dict], tenants: list[dict] | None = None) -> None:
        """Write the operator's configuration."""
        self.version += 7
        body = {
            "version": self.version,
            "routes": [
                {
                    "host": HOST,
                    "service": SERVICE,
                    "timeout-ms": 3000,
                    "target-latency-ms": 1000,
                    "priority": 1,
                    "max-attempts": 4,
                    "stretch": 3.0,
                    **route,
                }
                for route in routes
            ],
            "services": [{"name": SERVICE, "admission-control": False}],
            "tenants": tenants or [{"name": "one", "api-keys": [KEY], "guaranteed": {"gpu": 0}}],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 262144,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        self.store.put("keyed.op", "config", _json(body))
        self.record.say(f"operator: configuration {self.version} is confirmed")

    def start_instances(self, count: int = 3) -> None:
        """Start instances, and wait until all are ready."""
        ports = free_ports(4 * count)
        controls = [f"{IP}:{ports[4 * n + 2]}" for n in range(count)]
        for n in range(count):
            front, ready, control, metrics = ports[4 * n : 4 * n + 4]
            name = f"front-hall-{n + 1}"
            lines = {
                "node": name,
                "role": "instance",
                "machine-class": "front",
                "serves": "front,control",
                "ip": IP,
                "zone": "hall",
                "region": "north",
                "zones.hall": "north",
                "zones.yard": "north",
                "listen.front": f"{IP}:{front}",
                "listen.ready": f"{IP}:{ready}",
                "listen.control": f"{IP}:{control}",
                "internal-ports": f"{metrics},{metrics}",
                "seeds": ",".join(controls),
                "bootstrap": "true",
                "limits.cpu-share": "0.537",
                "limits.cores": "2",
                "limits.memory-mb": "300",
                "limits.max-fds": "4100",
                "heartbeat-ms": "1500",
                "bounds.grace-s": "6",
                "bounds.contact-ms": "3000",
                "bounds.max-hold-ms": "10000",
                "bounds.fencing-required": "true",
                "orders": "call",
                "platform.address": self.store.address,
                "platform.form": "log",
                "platform.record-bytes": str(RECORD_BYTES),
                "platform.call-bytes": str(CALL_BYTES),
            }
            settings = self.scratch / f"{name}.conf"
            settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
            instance = Instance(name, f"{IP}:{front}", f"{IP}:{ready}", f"{IP}:{control}", settings)
            self.instances.append(instance)
            self.start_instance(instance)
        self.wait_ready()

    def start_instance(self, instance: Instance) -> None:
        """Start the process of an instance with the deploy file's command."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["instance"]["run"])
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        env |= {"CATKINKNOT_BOOT": str(instance.settings), "PYTHONDONTWRITEBYTECODE": "1"}
        with (self.scratch / f"{instance.name}.log").open("ab") as log:
            instance.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record.say(f"{instance.name} is started as process {instance.process.pid}")

    def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until every running instance is ready and one leads."""
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if all(self._is_ready(instance) for instance in self.instances) and self.leader():
                self.record.say(f"all instances are ready, {self.leader()} leads")
                return
            time.sleep(0.1)
        for instance in self.instances:
            status, _ = call(instance.ready, "GET", "/v1/readiness")
            self.record.say(
                f"{instance.name}: exit status {instance.process.poll()}, readiness {status}"
            )
        raise CannotRunError("the instances did not become ready")

    def _is_ready(self, instance: Instance) -> bool:
        status, _ = call(instance.ready, "GET", "/v1/readiness")
        return status == 200

    def leader(self) -> str:
        """Return the name of the instance that wrote the newest leader record."""
        value = self.store.newest("keyed.jobs").get("/lead")
        return str(json.loads(value)["instance"]) if value else ""

    def submit(
        self,
        prefix: str,
        steps: list[dict],
        spec: str,
        *,
        key: str = KEY,
        say: bool = True,
        first: int = 0,
    ) -> str:
        """Hand a job in, with retries at other instances, and return its id."""
        job = secrets.token_hex(8)
        body = {"spec": spec, "steps": steps}
        for n in range(5):
            instance = self.instances[(first + n) % len(self.instances)]
            status, _ = call(instance.front, "POST", prefix + job, _json(body), key=key)
            if say:
                self.record.say(f"client: POST {prefix}{job} at {instance.name}: {status}")
            if status is not None and 200 <= status < 300:
                return job
            if status is not None and status < 500 and status != 429:
                break
            time.sleep(0.3)
        raise CannotRunError(f"no instance accepted the job {job}")

    def get(self, path: str, *, at: int = 0, key: str = KEY) -> tuple[int | None, dict]:
        """Make a GET call at one instance."""
        status, raw = call(self.instances[at].front, "GET", path, key=key)
        try:
            return status, json.loads(raw or b"{}")
        except ValueError:
            return status, {}

    def live(self) -> None:
        """Move workers on and write their entries, until the world closes."""
        next_ping_s: dict[str, float] = {}
        while not self.closing:
            for worker in list(self.workers):
                worker.tick()
                due_s = max(worker.silent_until_s, next_ping_s.get(worker.name, 0.0))
                if worker.seq == 0:
                    due_s = worker.silent_until_s
                if time.monotonic() >= due_s:
                    next_ping_s[worker.name] = time.monotonic() + HEARTBEAT_S
                    self.store.put("keyed.servers", worker.name, worker.entry())
            time.sleep(0.01)

    def close(self) -> None:
        """End all processes that this world started."""
        self.closing = self.store.closing = True
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGKILL)
                instance.process.wait()
        for server in [self.store.server, *(worker.server for worker in self.workers)]:
            server.shutdown()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.scratch}")
        else:
            shutil.rmtree(self.scratch, ignore_errors=True)

    def runs_of(self, job: str) -> list[Run]:
        """Return the runs of a job's work units."""
        return [run for run in self.runs if run.job == job]

    def longest_idle(self, job: str, since_s: float, until_s: float) -> tuple[float, float]:
        """Return the longest span within a period in which a job had nothing running."""
        spans = sorted(
            (run.began_s, until_s if run.ended_s is None else run.ended_s)
            for run in self.runs_of(job)
        )
        best, at_s = (since_s, since_s), since_s
        for began_s, ended_s in [*spans, (until_s, until_s)]:
            if min(began_s, until_s) - at_s > best[1] - best[0]:
                best = (at_s, min(began_s, until_s))
            at_s = max(at_s, ended_s)
        return best


class CannotRunError(Exception):
    """Raised if the case can't run, so that nothing is shown either way."""


@contextlib.contextmanager
def open_world(folder: Path) -> Iterator[World]:
    """Run a world until the context closes."""
    world = World(folder)
    threading.Thread(target=world.live, daemon=True).start()
    try:
        yield world
    finally:
        world.close()


def run_case(folder: Path, case: Callable[[World, bool], str]) -> int:
    """Run a case, and return its exit code.

    Args:
        folder: Folder of the case.
        case: Plays the case with or without the disruption, and returns what broke
            the rule, empty if it held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with open_world(folder) as world:
        world.record.say(f"disruption: {'on' if trouble else 'off'}")
        try:
            broken = case(world, trouble)
        except CannotRunError as exc:
            world.record.say(f"the case could not run: {exc}")
            print(f"could not run: {exc}")
            return NOT_RUN
        world.record.say(f"rule broken: {broken}" if broken else "the rule held")
        print(f"rule broken: {broken}" if broken else "the rule held")
        return BROKEN if broken else HELD


def overlap(world: World, job: str) -> str:
    """Return the first two runs of a work unit that ran at the same time, empty for none."""
    now_s = world.record.now()
    runs = world.runs_of(job)
    for i, one in enumerate(runs):
        for other in runs[i + 1 :]:
            began_s = max(one.began_s, other.began_s)
            ended_s = min(one.ended_s or now_s, other.ended_s or now_s)
            if one.task == other.task and ended_s > began_s:
                return (
                    f"{one.task} ran on {one.worker} (run {one.number}) and on {other.worker}"
                    f" (run {other.number}) at the same time, from {began_s:.3f} s to"
                    f" {ended_s:.3f} s"
                )
    return ""


def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    *,
    key: str = KEY,
    leave_s: float = 3.5,
) -> tuple[int | None, bytes]:
    """Make one call of a client; the status is None if it left without an answer."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=leave_s)
    headers = {"Host": HOST, "X-Api-Key": key, "X-Deadline-Remaining": "3000"}
    if body is not None:
        headers["Content-Type"] = "application/json"
    try:
        conn.request(method, path, body=body, headers=headers)
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None, b""
    finally:
        conn.close()


def free_ports(count: int) -> list[int]:
    """Return free ports of a block that differs between processes.

    They lie below the ports that the system gives to outgoing connections.
    """
    block = os.getpid()
    while True:
        first = FIRST_PORT + block % BLOCK_COUNT * BLOCK_SIZE
        ports = [port for port in range(first, first + BLOCK_SIZE) if _is_free(port)]
        if len(ports) >= count:
            return ports[:count]
        block += 1


def _is_free(port: int) -> bool:
    """Return whether nothing listens on a port."""
    with socket.socket() as one:
        try:
            one.bind((IP, port))
        except OSError:
            return False
    return True


def _json(body: dict) -> bytes:
    return json.dumps(body, separators=(",", ":")).encode()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    channels: set[socket.socket]

    def reset_channels(self) -> None:
        """Close all open channels, as the crash of a process does."""
        for channel in list(self.channels):
            with contextlib.suppress(OSError):
                channel.shutdown(socket.SHUT_RDWR)


def _open_server(handle: Callable) -> _Server:
    """Serve a function that returns status and body, or None to close the channel."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def _reply(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length) if length else b""
            answer = handle(self.command, self.path, self.headers, body)
            if answer is None:
                self.close_connection = True
                return
            status, raw = answer
            head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(raw)}\r\n\r\n"
            with contextlib.suppress(OSError):
                self.wfile.write(head.encode() + raw)

        do_GET = do_POST = _reply  # noqa: N815

        def log_message(self, *args: object) -> None:
            """Write nothing."""

        def handle(self) -> None:
            """Serve one channel; a caller may reset it."""
            self.server.channels.add(self.connection)
            with contextlib.suppress(OSError):
                super().handle()
            self.server.channels.discard(self.connection)

    server = _Server((IP, 0), Handler)
    server.channels = set()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
