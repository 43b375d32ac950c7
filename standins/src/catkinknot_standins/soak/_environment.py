"""Hold the systems that instances are served by: a store and backend servers."""

import json
import threading
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

from catkinknot.coordination import Listing, Record
from catkinknot.jobs import Resources, RunOutcome
from catkinknot.model import SystemClock
from catkinknot_standins import (
    KeyedStore,
    StoreView,
    TaskServer,
    open_http,
    server_app,
    server_record,
    store_app,
)

from ._proxy import Proxy, open_proxy

__all__ = ["CAPACITY", "HOST", "KEY", "Server", "TestEnvironment"]

CAPACITY = Resources(64_000, 131_072, 8)
HOST = "soak.example"
KEY = "key-1"
SERVICE = "render"
WORK_S = 0.8
HEARTBEAT_S = 0.5
DRAIN_S = 2.0
THREADS = 12


@dataclass
class DriftingServer(TaskServer):
    """Run tasks by a clock that is wrong and runs at its own rate."""

    ahead_ms: int = 0
    rate: float = 1.0

    def now_ms(self) -> int:
        """Return its own clock."""
        return int(self.clock.now() * 1000 * self.rate) + self.ahead_ms

    def crash(self) -> None:
        """Stop for good, and note when each run ended by that."""
        self.tick()
        for run in list(self._runs.values()):
            self._end(run, RunOutcome.LOST)
        super().crash()

    def _end(self, run, how: RunOutcome) -> None:
        """Note an end with the time at which it came, not at which it was seen."""
        super()._end(run, how)
        ended_s = self.clock.now()
        if how is RunOutcome.DONE:
            ended_s = min(ended_s, run.ends_s)
        elif how is RunOutcome.LAPSED:
            ended_s = min(ended_s, (self._lease_until_ms - self.ahead_ms) / 1000 / self.rate)
        self.finished[-1] = (ended_s, run.task, run.run, how)


@dataclass
class Server:
    """Hold the lifetimes of one server and the way to it."""

    name: str
    lifetimes: list[DriftingServer]
    proxy: Proxy
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def lifetime(self) -> DriftingServer:
        """The present lifetime."""
        return self.lifetimes[-1]

    def app(self, environ: dict, start):
        """Answer as the present lifetime."""
        lifetime = self.lifetime
        if not lifetime.alive:
            start("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        return server_app(lifetime, self.lock)(environ, start)


class TestEnvironment:
    """Run the store and the servers inside this process."""

    def __init__(self, stack: ExitStack, servers: int) -> None:
        """Start them.

        Args:
            stack: Closes them.
            servers: How many servers there are.
        """
        self._stack = stack
        self.clock = SystemClock()
        self.store = KeyedStore()
        self.store_lock = threading.Lock()
        self.views: list[StoreView] = []
        self.queues = 3
        self.version = 0
        self.servers = [self._open_server(n) for n in range(servers)]
        self._stopped = threading.Event()
        stack.callback(self._stopped.set)
        threading.Thread(target=self._report, daemon=True).start()
        self.publish()

    def open_store_route(self) -> Proxy:
        """Return a new instance's own way to the store."""
        view = StoreView(self.store)
        self.views.append(view)
        app = store_app(self.store, view, self.store_lock)
        address = self._stack.enter_context(open_http(app, threads=THREADS))
        return self._stack.enter_context(open_proxy(int(address.rpartition(":")[2])))

    def publish(self) -> None:
        """Put a configuration in force that has every queue so far."""
        self.version += 1
        routes = [
            {
                "name": f"q{n}",
                "host": HOST,
                "path-prefix": f"/q{n}/",
                "service": SERVICE,
                "priority": min(n, 2),
                "max-attempts": 50,
                "stretch": 3.0,
                "timeout-ms": 3000,
            }
            for n in range(self.queues)
        ]
        body = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE}],
            "tenants": [{"name": "t", "api-keys": [KEY], "guaranteed": {"gpu": 8}}],
        }
        self._write("keyed.op", Record("config", json.dumps(body).encode()))

    def leader(self) -> str:
        """Return the instance that wrote the newest mark, empty if there is none."""
        with self.store_lock:
            mark = self.store.topic("keyed.jobs").newest.get("/lead")
        return str(json.loads(mark)["instance"]) if mark else ""

    def restart(self, server: Server) -> None:
        """Let a server crash and start again under its name."""
        with server.lock:
            server.lifetime.crash()
            server.lifetimes.append(self._new_life(server.name, len(server.lifetimes)))

    def drain(self, server: Server) -> None:
        """Let a server say that it leaves, leave, and come back."""
        with server.lock:
            lifetime = server.lifetime
            notice_ms = int(DRAIN_S * 1000)
            lifetime.listing = replace(lifetime.listing, draining=True, remaining_ms=notice_ms)

        def leave() -> None:
            if server.lifetime is lifetime:
                self.restart(server)

        timer = threading.Timer(DRAIN_S, leave)
        timer.daemon = True
        timer.start()

    def _open_server(self, number: int) -> Server:
        """Start one server and the way to it."""
        name = f"i-{number:04}"
        server = Server(name, [self._new_life(name, 0)], Proxy(0))
        address = self._stack.enter_context(open_http(server.app, threads=THREADS))
        server.proxy = self._stack.enter_context(open_proxy(int(address.rpartition(":")[2])))
        return server

    def _new_life(self, name: str, number: int) -> DriftingServer:
        """Return a server that has just started."""
        started_at_ms = int(self.clock.wall() * 1000)
        place = int(name[2:])
        rack = f"r{place // 3}"
        listing = Listing(
            lifetime=f"{name}@{started_at_ms}",
            id=name,
            started_at_ms=started_at_ms,
            address="",
            service=SERVICE,
            zone="a",
            rack=rack,
            labels=frozenset({"kind", rack}),
            capacity=CAPACITY,
            draining=False,
            clock_ms=0,
        )
        rate = (0.985, 1.0, 1.015)[(place + number) % 3]
        return DriftingServer(
            listing, self.clock, work_s=WORK_S, ahead_ms=place * 100_000, rate=rate
        )

    def _report(self) -> None:
        """Write each server's entry over and over."""
        while not self._stopped.wait(HEARTBEAT_S):
            for server in self.servers:
                if server.lifetime.alive:
                    self._write(
                        "keyed.servers", server_record(server.lifetime, server.proxy.address)
                    )

    def _write(self, topic: str, record: Record) -> None:
        """Write as somebody other than an instance."""
        with self.store_lock:
            self.store.do_append(topic, [record], None, None)
