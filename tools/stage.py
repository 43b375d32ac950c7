"""Start a whole deployment of plain processes on loopback, and stop it."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from catkinknot_standins import IP, free_ports

_START_S = 30.0
_STOP_S = 20.0


@dataclass(frozen=True)
class Node:
    """Name one entry instance.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        http: Its port for callers.
        peer: Its port for other instances.
    """

    name: str
    zone: str
    http: int
    peer: int

    @property
    def at(self) -> str:
        """Where callers reach it."""
        return f"{IP}:{self.http}"


@dataclass
class Deployment:
    """Hold the processes of a deployment.

    Attributes:
        folder: Where settings and logs are.
        log_port: The log service's port.
        list_port: The instance list's port.
        nodes: The entry instances by name.
        backends: The ports of the backend servers by name.
    """

    folder: Path
    log_port: int
    list_port: int
    nodes: dict[str, Node] = field(default_factory=dict)
    backends: dict[str, int] = field(default_factory=dict)
    _processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    _http: urllib3.PoolManager = field(default_factory=lambda: urllib3.PoolManager(retries=False))

    def start_platform(self, lag_s: float) -> None:
        """Start the log service and the instance list."""
        arguments = ["platform", str(self.log_port), str(self.list_port), f"--lag_s={lag_s}"]
        self._start("platform", [sys.executable, "-m", "catkinknot_standins", *arguments])
        self.wait_port(self.log_port)
        self.wait_port(self.list_port)

    def start_backends(self, zone: str, count: int) -> None:
        """Start the backend servers of a zone in one process and list them."""
        first = free_ports(count)
        arguments = ["backends", zone, f"--ports={','.join(map(str, first))}"]
        command = [sys.executable, "-m", "catkinknot_standins", *arguments]
        self._start(f"backends-{zone}", command)
        for number, port in enumerate(first):
            name = f"{zone}-s{number:03}"
            self.backends[name] = port
            self.list_instance(
                name=name, role="backend", zone=zone, ip=IP, port=port,
                rack=number // 6, accelerators=8,
            )  # fmt: skip

    def start_extra_backend(self, zone: str, port: int) -> None:
        """Start one backend server that is not listed."""
        arguments = ["backends", zone, f"--ports={port}"]
        command = [sys.executable, "-m", "catkinknot_standins", *arguments]
        self._start(f"backends-{zone}", command)
        self.wait_port(port)

    def start_node(self, name: str, zone: str, *, cut_from_log: bool = False) -> Node:
        """Start an entry instance and list it.

        Args:
            name: Its name.
            zone: Its availability zone.
            cut_from_log: Whether it looks for the log where nothing listens.

        Returns:
            The instance.
        """
        node = self.nodes.get(name) or Node(name, zone, *free_ports(2))
        self.nodes[name] = node
        settings = {
            "instance": name,
            "zone": zone,
            "http": {"ip": IP, "port": node.http},
            "peer": {"ip": IP, "port": node.peer},
            "log": [{"ip": IP, "port": free_ports(1)[0] if cut_from_log else self.log_port}],
            "instance_list": {"ip": IP, "port": self.list_port},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "catkinknot.app", "serve", "--settings", str(path)]
        self._start(name, command)
        self.list_instance(
            name=name, role="entry", zone=zone, ip=IP, port=node.http, peer_port=node.peer
        )
        return node

    def list_instance(self, **row) -> None:
        """Put an instance on the platform's list."""
        self.post(self.list_port, "/v1/instances", row)

    def unlist(self, name: str) -> None:
        """Take an instance off the platform's list."""
        self.post(self.list_port, f"/v1/remove?name={name}", {})

    def set_faults(self, port: int, **faults) -> None:
        """Switch faults of a stand-in on or off."""
        self.post(port, "/faults", faults)

    def post(self, port: int, path: str, value: dict) -> dict:
        """Send a JSON value to a process on loopback."""
        url = f"http://{IP}:{port}{path}"
        reply = self._http.request("POST", url, json=value, timeout=35)
        return json.loads(reply.data)

    def get(self, port: int, path: str) -> dict:
        """Read a JSON value from a process on loopback."""
        return json.loads(self._http.request("GET", f"http://{IP}:{port}{path}", timeout=35).data)

    def wait_port(self, port: int) -> None:
        """Wait until a process listens."""
        until = time.monotonic() + _START_S
        while time.monotonic() < until:
            try:
                socket.create_connection((IP, port), timeout=1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise TimeoutError(f"nothing listens on port {port}; see {self.folder}")

    def wait_ready(self, node: Node) -> None:
        """Wait until an entry instance is ready for callers."""
        self.wait_port(node.http)
        until = time.monotonic() + _START_S
        while time.monotonic() < until:
            if self._http.request("GET", f"http://{node.at}/readyz", timeout=5).status == 200:
                return
            time.sleep(0.1)
        raise TimeoutError(f"{node.name} is not ready; see {self.folder}")

    def wait_status(self, node: Node, test, timeout_s: float = _START_S) -> dict:
        """Wait until the status that an instance gives passes a test."""
        until = time.monotonic() + timeout_s
        while True:
            status = self.get(node.http, "/v1/status")
            if test(status):
                return status
            if time.monotonic() > until:
                raise TimeoutError(f"the status stays {status}")
            time.sleep(0.1)

    def pid(self, name: str) -> int:
        """Return the process of a name."""
        return self._processes[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the stage's own processes."""
        os.kill(self.pid(name), number)

    def kill(self, name: str) -> None:
        """Kill one of the stage's own processes."""
        self._processes[name].kill()
        self._processes.pop(name).wait()

    def stop(self, name: str) -> int:
        """Ask one of the stage's own processes to stop and wait for it."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(_STOP_S)

    def close(self) -> None:
        """End every process of the stage."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def _start(self, name: str, command: list[str]) -> None:
        """Start a process whose output goes to a file."""
        with (self.folder / f"{name}.log").open("ab") as out:
            self._processes[name] = subprocess.Popen(command, stdout=out, stderr=out)


@contextmanager
def open_deployment(*, lag_s: float = 1.0) -> Iterator[Deployment]:
    """Run a platform while the block runs, and end every process after it.

    Args:
        lag_s: How old the instance list is that readers see.

    Yields:
        The stage.
    """
    with tempfile.TemporaryDirectory(prefix="catkinknot-") as folder:
        stage = Deployment(Path(folder), *free_ports(2))
        try:
            stage.start_platform(lag_s)
            yield stage
        finally:
            stage.close()
