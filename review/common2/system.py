"""A small deployment: the store, workers, and the project's instances as processes."""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from proxy import Proxy
from store import Store
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
KEY = "4f2a9c81d07be635"
OTHER_KEY = "9b13e7c04d82fa56"
SERVICE = "render"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RESTART_DELAY_S = 0.5
LONGEST_S = 112
INSTANCES = 3

CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.2
VISIBLE_S = 3.0
FINISH_S = 14.0

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """Raised if the case could not be run."""


class Instance:
    """One instance of the project, started with the command of the deploy file."""

    def __init__(self, system: "System", number: int) -> None:
        """Write the settings file."""
        self.name = f"front-{number}"
        self._system = system
        self.ip = f"127.{os.getpid() % 250 + 1}.{os.getpid() // 250 % 250}.{number}"
        front, ready, control, inner = free_ports(self.ip, 4)
        self.front, self.control = front, f"{self.ip}:{control}"
        self._settings = system.folder / f"{self.name}.conf"
        self._fields = {
            "node": self.name,
            "role": "instance",
            "machine-class": "front",
            "serves": "front,control",
            "ip": self.ip,
            "zone": "vejle-hal",
            "region": "jylland",
            "zones.vejle-hal": "jylland",
            "listen.front": f"{self.ip}:{front}",
            "listen.ready": f"{self.ip}:{ready}",
            "listen.control": self.control,
            "internal-ports": f"{inner},{inner}",
            "bootstrap": "true",
            "limits.cpu-share": "0.537",
            "limits.cores": "2",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "discovery": "platform",
            "heartbeat-ms": "1500",
            "bounds.contact-ms": "3000",
            "bounds.ack-ms": "4000",
            "bounds.grace-s": "6",
            "bounds.max-hold-ms": "10000",
            "bounds.stop-ms": "200",
            "bounds.gang-timeout-ms": "3000",
            "bounds.cancel_ms": "3000",
            "bounds.visible_ms": "3000",
            "bounds.finish_s": "14",
            "bounds.status_s": "120",
            "orders": "call",
            "platform.address": system.store.server.address,
            "platform.form": "log",
            "platform.writes-per-s": "800",
            "platform.reads-per-s": "2000",
            "platform.parts": "8",
            "platform.append-ms": "4.0",
            "platform.record-bytes": "262144",
            "platform.call-bytes": "2097152",
            "platform.keep_s": "300",
            "platform.part-mb": "200",
            "platform.min-ttl-ms": "1000",
        }
        self._process: subprocess.Popen | None = None
        self._lock = threading.Lock()
        self._ended = False

    def start(self, seeds: list[str]) -> None:
        """Start the process, unless the case is over."""
        with self._lock:
            if not self._ended:
                self._start(seeds)

    def _start(self, seeds: list[str]) -> None:
        fields = self._fields | {"seeds": ",".join(seeds)}
        self._settings.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["instance"]["run"].split()
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = "target/deps"
        env["CATKINKNOT_BOOT"] = str(self._settings)
        with (self._system.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        self._system.say(f"{self.name} gets {signum.name}")
        self._process.send_signal(signum)

    def restart_after_kill(self) -> None:
        """Kill the process, and start it again after the platform's short delay."""
        self.send(signal.SIGKILL)
        self._process.wait()
        timer = threading.Timer(RESTART_DELAY_S, self.start, (self._system.seeds(),))
        timer.daemon = True
        timer.start()

    def end(self) -> None:
        """End the process for good."""
        with self._lock:
            self._ended = True
            if self._process is not None:
                self._process.kill()
                self._process.wait()


class System:
    """The deployment; use it as a context manager."""

    def __init__(self, folder: Path) -> None:
        """Create the store and the settings; `up` starts the processes."""
        self._began_s = time.monotonic()
        self._record = (folder / "record.txt").open("w")
        self._record_lock = threading.Lock()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(on_append=self._on_append)
        self.phases: dict[str, str] = {}
        self.run_records_s: dict[str, float] = {}
        self.on_run_record: Callable[[str, bytes], None] = lambda *_: None
        self.leader = ""
        self.workers: list[Worker] = []
        self.instances = [Instance(self, n) for n in range(1, INSTANCES + 1)]
        self.say(f"trouble: {TROUBLE}")

    def __enter__(self) -> "System":
        """Return the deployment."""
        return self

    def __exit__(self, *_: object) -> None:
        """End all processes."""
        for instance in self.instances:
            instance.end()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def now_s(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_s

    def say(self, text: str) -> None:
        """Write a line to the record."""
        with self._record_lock:
            self._record.write(f"{self.now_s():8.3f} {text}\n")
            self._record.flush()

    def seeds(self) -> list[str]:
        """Return the control addresses of the instances."""
        return [instance.control for instance in self.instances]

    def worker(self, ident: str, **options: object) -> Worker:
        """Create a worker; call its `join` to list it in the store."""
        settings = {"zone": "vejle-hal", "labels": ["a", "r1-1"], "service": SERVICE} | options
        found = Worker(self.store, ident, self.say, **settings)
        self.workers.append(found)
        return found

    def put_proxy_before(self, worker: Worker) -> Proxy:
        """Let a worker be reached through a proxy that can be cut."""
        link = Proxy(worker.address)
        worker.address = link.address
        return link

    def since_begin_s(self, at_s: float) -> float:
        """Convert a time of the steady clock to seconds since the case began."""
        return at_s - self._began_s

    def up(self) -> None:
        """Publish the configuration, start the instances, and wait until all serve."""
        self.store.put("keyed.op", "config", json.dumps(_config()).encode())
        for instance in self.instances:
            instance.start(self.seeds())
        end_s = time.monotonic() + 30.0
        while time.monotonic() < end_s:
            time.sleep(0.25)
            answers = [self.call("GET", "/proof/", at=i, quiet=True)[0] for i in self.instances]
            if self.leader and all(status == 200 for status in answers):
                time.sleep(2.5)
                self.say(f"all instances serve; {self.leader} leads")
                return
        raise NotRunError("the instances did not come up")

    def leading(self) -> Instance:
        """Return the instance that the newest leader record names."""
        return next(i for i in self.instances if i.name == self.leader)

    def following(self) -> list[Instance]:
        """Return the instances that do not lead."""
        return [i for i in self.instances if i.name != self.leader]

    def call(
        self,
        method: str,
        path: str,
        *,
        at: Instance,
        body: dict | None = None,
        key: str = KEY,
        timeout_s: float = 3.0,
        budget_s: float = 3.0,
        quiet: bool = False,
    ) -> tuple[int | None, dict]:
        """Make a client's call; the status is None if no answer came in time.

        Args:
            method: Method.
            path: Path.
            at: Instance that gets the call.
            body: Body, None for none.
            key: Key of the caller's tenant.
            timeout_s: When the client leaves.
            budget_s: Time budget that the call names.
            quiet: Whether the record leaves the call out.
        """
        conn = http.client.HTTPConnection(at.ip, at.front, timeout=timeout_s)
        remaining_ms = str(int(budget_s * 1000))
        headers = {"Host": HOST, "X-Api-Key": key, "X-Deadline-Remaining": remaining_ms}
        raw = None if body is None else json.dumps(body).encode()
        if raw is not None:
            headers["Content-Type"] = "application/json"
        try:
            conn.request(method, path, body=raw, headers=headers)
            response = conn.getresponse()
            status, text = response.status, response.read()
        except (OSError, http.client.HTTPException):
            status, text = None, b""
        finally:
            conn.close()
        answer = json.loads(text) if text[:1] == b"{" else {}
        if not quiet:
            shown = "no answer" if status is None else f"{status} {answer}"
            self.say(f"client: {method} {path} at {at.name}: {shown}")
        return status, answer

    def submit(self, path: str, spec: dict, steps: list[dict], *, key: str = KEY) -> bool:
        """Hand a job in as a client with retries does; return whether it was accepted."""
        body = {"spec": json.dumps(spec), "steps": steps}
        for attempt in range(5):
            instance = self.instances[attempt % len(self.instances)]
            status, _ = self.call("POST", path, at=instance, body=body, key=key)
            if status == 200:
                return True
            time.sleep(0.2)
        return False

    def state(self, path: str) -> str:
        """Return the state of a job, asked at each instance until one answers."""
        for instance in self.instances:
            status, answer = self.call("GET", path, at=instance, quiet=True)
            if status == 200:
                return str(answer["state"])
            if status == 410:
                return "410"
        return "no answer"

    def runs_of(self, job: str) -> dict[str, int]:
        """Return the work units of a job that run now."""
        found = {}
        for worker in self.workers:
            found |= {t: r for t, r in worker.running().items() if t.startswith(job)}
        return found

    def starts_of(self, job: str) -> list[tuple[float, str, int]]:
        """Return all starts of a job's work units, in order."""
        rows = [row for w in self.workers for row in w.starts if row[1].startswith(job)]
        return sorted((at - self._began_s, task, run) for at, task, run in rows)

    def _on_append(self, topic: str, key: str, value: bytes) -> None:
        """Follow what the instances store, to time the disruption."""
        if topic == "keyed.runs":
            self.run_records_s[key.partition(".")[0]] = time.monotonic()
            self.on_run_record(key, value)
        if topic != "keyed.jobs":
            return
        if key == "/lead" and value:
            self.leader = str(json.loads(value)["instance"])
        elif key.endswith("/s") and value:
            self.phases[key.removesuffix("/s")] = value.decode()


def free_ports(ip: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def run_case(case: Callable[["System"], str], folder: Path) -> None:
    """Run a case and exit as the review asks: 0 held, 1 broken, 2 could not run."""
    for signum in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _give_up)
    signal.alarm(LONGEST_S)
    code = NOT_RUN
    with System(folder) as system:
        try:
            broken = case(system)
            text = f"BROKEN: {broken}" if broken else "the rule held"
            code = BROKEN if broken else HELD
        except Exception as exc:
            text = f"not run: {type(exc).__name__}: {exc}"
        system.say(text)
        print(text)
    sys.exit(code)


def _give_up(signum: int, _: object) -> None:
    """End the case, so that its processes are ended as well."""
    raise NotRunError(f"ended by {signal.Signals(signum).name}")


def _config() -> dict:
    """Return a configuration like that of the small site."""
    rows = [("plate", 1, 4, 1000, 3.0), ("proof", 0, 3, 250, 1.5), ("colour", 2, 3, 3000, 3.0)]
    routes = [
        {
            "name": f"r-{name}",
            "host": HOST,
            "path-prefix": f"/{name}/",
            "route-type": "unsafe",
            "timeout-ms": 3000,
            "target-latency-ms": target_ms,
            "priority": priority,
            "service": SERVICE,
            "max-attempts": attempts,
            "stretch": stretch,
            "auth-exempt": False,
        }
        for name, priority, attempts, target_ms, stretch in rows
    ]
    service = {
        "name": SERVICE,
        "health-path": "/health",
        "max-connections": 64,
        "protocol": "h1",
        "tls": False,
        "admission-control": False,
        "spare": False,
    }
    return {
        "version": 7,
        "routes": routes,
        "services": [service],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": "kaje80", "api-keys": [KEY], "priority": 1, "guaranteed": {"gpu": 8}},
            {"name": "bude31", "api-keys": [OTHER_KEY], "priority": 1, "guaranteed": {"gpu": 8}},
        ],
    }
