"""Instances that run as separate processes."""

import os
import signal
import subprocess
import sys
import threading
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from catkinknot_standins import IP, free_ports

from ._proxy import Proxy, open_proxy

__all__ = ["Instance", "end_all", "open_instance"]

SHUTDOWN_GRACE_S = 3.0
RESTART_DELAY_S = 0.5

_RUNNING_PROCESSES: set[subprocess.Popen] = set()
"""Processes that this module started and that have not been ended."""


def end_all() -> None:
    """Kill all processes that this module started."""
    for process in list(_RUNNING_PROCESSES):
        process.kill()


@dataclass
class Instance:
    """Instance and the proxies around it.

    Attributes:
        name: Name of the instance.
        settings: Path of its settings file.
        log: Path of the file that receives its output.
        callers: Proxy between callers and the instance.
        store: Proxy between the instance and the store.
        relay: Address on which the instance serves other instances.
        start_count: Number of times that the process was started.
        ended: Whether the process must not be started again.
    """

    name: str
    settings: Path
    log: Path
    callers: Proxy
    store: Proxy
    relay: str
    start_count: int = 0
    ended: bool = False
    _process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process unless it runs or has been ended."""
        if self.ended:
            return
        if self._process is not None and self._process.poll() is None:
            return
        self.start_count += 1
        env = os.environ | {"CATKINKNOT_BOOT": str(self.settings)}
        with self.log.open("ab") as out:
            command = [sys.executable, "-m", "catkinknot.node"]
            if self._process is not None:
                _RUNNING_PROCESSES.discard(self._process)
            self._process = subprocess.Popen(command, env=env, stdout=out, stderr=out)
            _RUNNING_PROCESSES.add(self._process)

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process, and restart it after `RESTART_DELAY_S`."""
        self.send(signal.SIGKILL)
        self._start_later(RESTART_DELAY_S)

    def stop(self) -> None:
        """Stop the process gracefully, kill it after `SHUTDOWN_GRACE_S`, and restart it."""
        self.send(signal.SIGTERM)
        timer = threading.Timer(SHUTDOWN_GRACE_S, self.kill)
        timer.daemon = True
        timer.start()

    def pause(self, for_s: float) -> None:
        """Pause the process for a number of seconds."""
        self.send(signal.SIGSTOP)
        timer = threading.Timer(for_s, self.send, (signal.SIGCONT,))
        timer.daemon = True
        timer.start()

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit status of the process, None if it still runs after a time."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def end(self) -> None:
        """Kill the process and prevent further starts."""
        if self._process is not None:
            self.ended = True
            self.send(signal.SIGKILL)
            self._process.wait()
            _RUNNING_PROCESSES.discard(self._process)

    def _start_later(self, wait_s: float) -> None:
        """Start the process after a delay."""
        timer = threading.Timer(wait_s, self.start)
        timer.daemon = True
        timer.start()


@contextmanager
def open_instance(
    name: str, folder: Path, store: Proxy, seed: str, *, grace_s: float = SHUTDOWN_GRACE_S
):
    """Prepare an instance without starting it, and end it when the context closes.

    Args:
        name: Name of the instance.
        folder: Directory of its settings and log.
        store: Proxy between the instance and the store.
        seed: Address on which another instance serves its peers, empty for none.
        grace_s: Time between the request to stop and the kill, in seconds.
    """
    front, ready, control, metrics = free_ports(4)
    settings = folder / f"{name}.conf"
    lines = {
        "node": name,
        "ip": IP,
        "zone": "a",
        "listen.front": f"{IP}:{front}",
        "listen.ready": f"{IP}:{ready}",
        "listen.control": f"{IP}:{control}",
        "internal-ports": f"{metrics},{metrics}",
        "seeds": seed,
        "platform.address": store.address,
        "bounds.grace-s": grace_s,
        "heartbeat-ms": 500,
    }
    settings.write_text("".join(f"{key}={value}\n" for key, value in lines.items()))
    with open_proxy(front) as callers:
        log = folder / f"{name}.log"
        instance = Instance(name, settings, log, callers, store, f"{IP}:{control}")
        try:
            yield instance
        finally:
            instance.end()
