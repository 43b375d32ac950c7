"""Run a whole deployment as processes that listen on loopback."""

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

_START_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class Node:
    """Entry instance of a deployment.

    Attributes:
        name: The name of the instance.
        zone: The availability zone of the instance.
        http: The port for callers.
        peer: The port for other instances.
    """

    name: str
    zone: str
    http: int
    peer: int

    @property
    def at(self) -> str:
        """The address for callers."""
        return f"{IP}:{self.http}"


@dataclass
class Deployment:
    """Processes of a deployment.

    Attributes:
        folder: The folder with the settings and logs of the processes.
        log_port: The port of the log service.
        list_port: The port of the instance list.
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
        ports = free_ports(count)
        arguments = ["backends", zone, f"--ports={','.join(map(str, ports))}"]
        command = [sys.executable, "-m", "catkinknot_standins", *arguments]
        self._start(f"backends-{zone}", command)
        for number, port in enumerate(ports):
            name = f"{zone}-s{number:03}"
            self.backends[name] = port
            self.list_instance(
                name=name, role="backend", zone=zone, ip=IP, port=port,
                rack=number // 6, accelerators=8,
            )  # fmt: skip

    def start_extra_backend(self, zone: str, port: int) -> None:
        """Start one backend server that is not on the platform's list."""
        arguments = ["backends", zone, f"--ports={port}"]
        command = [sys.executable, "-m", "catkinknot_standins", *arguments]
        self._start(f"backends-{zone}", command)
        self.wait_port(port)

    def start_node(self, name: str, zone: str, *, cut_from_log: bool = False) -> Node:
        """Start an entry instance and list it.

        Args:
            name: The name of the instance.
            zone: The availability zone of the instance.
            cut_from_log: Whether its settings name a port for the log on which nothing
                listens.

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
        """Add an instance to the platform's list."""
        self.post(self.list_port, "/v1/instances", row)

    def unlist(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        self.post(self.list_port, f"/v1/remove?name={name}", {})

    def set_faults(self, port: int, **faults) -> None:
        """Switch faults of an emulator on or off."""
        self.post(port, "/faults", faults)

    def post(self, port: int, path: str, value: dict) -> dict:
        """Post a JSON value to a process and return the JSON value of the answer."""
        url = f"http://{IP}:{port}{path}"
        reply = self._http.request("POST", url, json=value, timeout=35)
        return json.loads(reply.data)

    def get(self, port: int, path: str) -> dict:
        """Return a JSON value read from a process."""
        return json.loads(self._http.request("GET", f"http://{IP}:{port}{path}", timeout=35).data)

    def wait_port(self, port: int) -> None:
        """Wait until a process listens on a port."""
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                socket.create_connection((IP, port), timeout=1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise TimeoutError(f"nothing listens on port {port}; see {self.folder}")

    def wait_ready(self, node: Node) -> None:
        """Wait until an entry instance reports that it is ready for callers."""
        self.wait_port(node.http)
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self._http.request("GET", f"http://{node.at}/readyz", timeout=5).status == 200:
                return
            time.sleep(0.1)
        raise TimeoutError(f"{node.name} is not ready; see {self.folder}")

    def wait_status(self, node: Node, condition, timeout_s: float = _START_TIMEOUT_S) -> dict:
        """Wait until the status from an instance meets a condition, and return the status."""
        deadline_s = time.monotonic() + timeout_s
        while True:
            status = self.get(node.http, "/v1/status")
            if condition(status):
                return status
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"time-out while waiting for a status; the last one is {status}")
            time.sleep(0.1)

    def pid(self, name: str) -> int:
        """Return the identifier of a process."""
        return self._processes[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the deployment."""
        os.kill(self.pid(name), number)

    def kill(self, name: str) -> None:
        """Kill a process of the deployment and wait for its end."""
        self._processes[name].kill()
        self._processes.pop(name).wait()

    def stop(self, name: str) -> int:
        """Ask a process of the deployment to stop, and return its exit status."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(_STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill all processes of the deployment."""
        for process in self._processes.values():
            process.kill()
        for process in self._processes.values():
            process.wait()

    def _start(self, name: str, command: list[str]) -> None:
        """Start a process with its output appended to a file."""
        with (self.folder / f"{name}.log").open("ab") as out:
            self._processes[name] = subprocess.Popen(command, stdout=out, stderr=out)


@contextmanager
def open_deployment(*, lag_s: float = 1.0) -> Iterator[Deployment]:
    """Run an emulated platform while the block runs, and kill all processes afterwards.

    Args:
        lag_s: The age in seconds of the instance list that readers get.

    Yields:
        The deployment, without instances and backend servers.
    """
    with tempfile.TemporaryDirectory(prefix="catkinknot-") as folder:
        deployment = Deployment(Path(folder), *free_ports(2))
        try:
            deployment.start_platform(lag_s)
            yield deployment
        finally:
            deployment.close()
