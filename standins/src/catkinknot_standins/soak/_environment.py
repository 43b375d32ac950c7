"""Emulated systems that instances depend on: a store and backend servers."""

import json
import threading
from contextlib import ExitStack
from dataclasses import dataclass, field, replace

from catkinknot.coordination import Listing, Record
from catkinknot.jobs import Resources, RunOutcome
from catkinknot.model import SystemClock
from catkinknot_standins import (
    KeyedStore,
    ServerFaults,
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
RUN_TIME_S = 0.8
STOP_S = 0.2
HEARTBEAT_S = 0.5
DRAIN_S = 2.0
HTTP_THREAD_COUNT = 12


@dataclass
class DriftingServer(TaskServer):
    """Server whose clock has an offset and drifts.

    Attributes:
        ahead_ms: Offset of the server's clock in milliseconds.
        rate: Rate of the server's clock relative to real time.
    """

    ahead_ms: int = 0
    rate: float = 1.0

    def now_ms(self) -> int:
        """Return the server's own clock in milliseconds."""
        return int(self.clock.now() * 1000 * self.rate) + self.ahead_ms

    def crash(self) -> None:
        """End this lifetime, and record the current time as the end of each run."""
        self.tick()
        for run in list(self._runs.values()):
            self._end(run, RunOutcome.LOST)
        super().crash()

    def _end(self, run, how: RunOutcome) -> None:
        """Record an end with the time at which it occurred, which may be before it was noticed."""
        super()._end(run, how)
        ended_s = self.clock.now()
        if how is RunOutcome.DONE:
            ended_s = min(ended_s, run.ends_s)
        elif how is RunOutcome.LAPSED:
            ended_s = min(ended_s, (self._lease_until_ms - self.ahead_ms) / 1000 / self.rate)
        self.finished[-1] = (ended_s, run.task, run.run, how)


@dataclass
class Server:
    """Server with its lifetimes and the proxy to it."""

    name: str
    lifetimes: list[DriftingServer]
    proxy: Proxy
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def lifetime(self) -> DriftingServer:
        """The current lifetime."""
        return self.lifetimes[-1]

    def app(self, environ: dict, start_response):
        """Answer a WSGI request as the current lifetime."""
        lifetime = self.lifetime
        if not lifetime.alive:
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        return server_app(lifetime, self.lock)(environ, start_response)


class TestEnvironment:
    """Store and servers that run inside this process."""

    def __init__(self, stack: ExitStack, servers: int) -> None:
        """Start the store and the servers.

        Args:
            stack: Exit stack that stops them.
            servers: Number of servers.
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
        threading.Thread(target=self._publish_servers, daemon=True).start()
        self.publish()

    def open_store_route(self) -> Proxy:
        """Return a new proxy to the store with a `StoreView`, and so faults, of its own."""
        view = StoreView(self.store)
        self.views.append(view)
        app = store_app(self.store, view, self.store_lock)
        address = self._stack.enter_context(open_http(app, threads=HTTP_THREAD_COUNT))
        return self._stack.enter_context(open_proxy(int(address.rpartition(":")[2])))

    def publish(self) -> None:
        """Publish a configuration with all queues so far."""
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
        """Return the instance named by the newest leader record, empty if there is none."""
        with self.store_lock:
            record = self.store.topic("keyed.jobs").newest.get("/lead")
        return str(json.loads(record)["instance"]) if record else ""

    def restart(self, server: Server) -> None:
        """Make a server crash, and restart it under its name."""
        with server.lock:
            server.lifetime.crash()
            server.lifetimes.append(self._new_lifetime(server.name, len(server.lifetimes)))

    def drain(self, server: Server) -> None:
        """Make a server announce that it drains, and restart it after `DRAIN_S`.

        If the server has restarted before, for another fault, it is left alone.
        """
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
        """Start a server and the proxy to it."""
        name = f"i-{number:04}"
        server = Server(name, [self._new_lifetime(name, 0)], Proxy(0))
        address = self._stack.enter_context(open_http(server.app, threads=HTTP_THREAD_COUNT))
        server.proxy = self._stack.enter_context(open_proxy(int(address.rpartition(":")[2])))
        return server

    def _new_lifetime(self, name: str, number: int) -> DriftingServer:
        """Return a new lifetime of a server."""
        started_at_ms = int(self.clock.wall() * 1000)
        position = int(name[2:])
        rack = f"r{position // 3}"
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
        rate = (0.985, 1.0, 1.015)[(position + number) % 3]
        return DriftingServer(
            listing,
            self.clock,
            work_s=RUN_TIME_S,
            stop_s=STOP_S,
            faults=ServerFaults(anonymous=True),
            ahead_ms=position * 100_000,
            rate=rate,
        )

    def _publish_servers(self) -> None:
        """Write the record of each running server periodically."""
        while not self._stopped.wait(HEARTBEAT_S):
            for server in self.servers:
                if server.lifetime.alive:
                    self._write(
                        "keyed.servers", server_record(server.lifetime, server.proxy.address)
                    )

    def _write(self, topic: str, record: Record) -> None:
        """Append a record without the conditions that instances use."""
        with self.store_lock:
            self.store.do_append(topic, [record], None, None)
