"""Run instances as processes of their own."""

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

GRACE_S = 3.0
RESTART_S = 0.5

_RUNNING: set[subprocess.Popen] = set()
"""Every process that was started here and not ended yet."""


def end_all() -> None:
    """Kill every process that was started here."""
    for process in list(_RUNNING):
        process.kill()


@dataclass
class Instance:
    """Hold one instance and the ways to and from it.

    Attributes:
        name: Its name.
        settings: Its settings file.
        log: Where its standard output goes.
        callers: The way of callers to it.
        store: Its way to the store.
        relay: Where other instances reach it.
        lifetimes: How often it has been started.
        ended: Whether it must not be started any more.
    """

    name: str
    settings: Path
    log: Path
    callers: Proxy
    store: Proxy
    relay: str
    lifetimes: int = 0
    ended: bool = False
    _process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it unless it runs or has been ended."""
        if self.ended:
            return
        if self._process is not None and self._process.poll() is None:
            return
        self.lifetimes += 1
        env = os.environ | {"CATKINKNOT_BOOT": str(self.settings)}
        with self.log.open("ab") as out:
            command = [sys.executable, "-m", "catkinknot.node"]
            if self._process is not None:
                _RUNNING.discard(self._process)
            self._process = subprocess.Popen(command, env=env, stdout=out, stderr=out)
            _RUNNING.add(self._process)

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process that was started here, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """Kill it and have it start again a moment later."""
        self.send(signal.SIGKILL)
        self._later(RESTART_S)

    def stop(self) -> None:
        """Stop it gracefully, kill it after its grace, and start it again."""
        self.send(signal.SIGTERM)
        timer = threading.Timer(GRACE_S, self.kill)
        timer.daemon = True
        timer.start()

    def pause(self, for_s: float) -> None:
        """Let it stand still for a while."""
        self.send(signal.SIGSTOP)
        timer = threading.Timer(for_s, self.send, (signal.SIGCONT,))
        timer.daemon = True
        timer.start()

    def end(self) -> None:
        """End it for good."""
        if self._process is not None:
            self.ended = True
            self.send(signal.SIGKILL)
            self._process.wait()
            _RUNNING.discard(self._process)

    def _later(self, wait_s: float) -> None:
        """Start it again after a while."""
        timer = threading.Timer(wait_s, self.start)
        timer.daemon = True
        timer.start()


@contextmanager
def open_instance(name: str, folder: Path, store: Proxy, seed: str):
    """Prepare an instance, and end it when the context closes.

    Args:
        name: Its name.
        folder: Where its files go.
        store: Its way to the store.
        seed: The relay of another instance, empty for none.
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
        "bounds.grace-s": GRACE_S,
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
