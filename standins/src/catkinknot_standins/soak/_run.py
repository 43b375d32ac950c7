"""Run of one seed: start the system, inject faults, clear them, and check the history."""

import shutil
import signal
import threading
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from ._callers import Callers
from ._checks import check_completed, check_history
from ._environment import Server, TestEnvironment
from ._instances import Instance, open_instance
from ._plan import Event, Kind, draw_faults
from ._proxy import Proxy, ProxyFault

__all__ = ["Result", "run_seed"]

STARTUP_TIMEOUT_S = 30.0
"""Time within which all instances must answer callers."""

SETTLE_TIMEOUT_S = 60.0
"""Time within which all jobs must end once the faults are cleared."""

POLL_INTERVAL_S = 0.25
TICK_INTERVAL_S = 0.03
CALLER_COUNT = 3
CALLER_PAUSE_S = 0.4


@dataclass
class Result:
    """Result of the run of one seed.

    Attributes:
        seed: The seed.
        events: The injected faults.
        jobs: Number of submitted jobs.
        accepted: Number of accepted jobs.
        starts: Number of starts of tasks on servers.
        settled_s: Time that all jobs took to end after the faults were cleared, None if
            some did not end.
        faults: Violations of guarantees.
    """

    seed: int
    events: list[Event]
    jobs: int = 0
    accepted: int = 0
    starts: int = 0
    settled_s: float | None = None
    faults: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        """Return a line for the report."""
        settled = "never" if self.settled_s is None else f"{self.settled_s:.1f} s"
        return (
            f"seed {self.seed}: {len(self.events)} faults, {self.jobs} jobs "
            f"({self.accepted} accepted), {self.starts} starts, settled in {settled}, "
            f"{len(self.faults)} violations"
        )


def run_seed(seed: int, folder: Path, *, seconds: float, instances: int, servers: int) -> Result:
    """Run one seed; the folder is removed unless a guarantee was violated.

    Args:
        seed: Seed of the faults and jobs.
        folder: Directory of settings and logs.
        seconds: Duration of the fault phase.
        instances: Number of instances.
        servers: Number of servers.
    """
    folder.mkdir(parents=True, exist_ok=True)
    result = Result(seed, draw_faults(seed, seconds))
    with ExitStack() as stack:
        run = _Run(stack, result, folder, instances, servers)
        run.wait_up()
        run.inject_faults(seconds)
        run.clear_faults()
        run.wait_settled()
        run.check()
    if not result.faults:
        shutil.rmtree(folder)
    return result


class _Run:
    """State of one run."""

    def __init__(
        self, stack: ExitStack, result: Result, folder: Path, instances: int, servers: int
    ) -> None:
        """Start the test environment and the instances."""
        self._result = result
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.environment = TestEnvironment(stack, servers)
        self.instances: list[Instance] = []
        for n in range(instances):
            seed = self.instances[0].relay if self.instances else ""
            proxy = self.environment.open_store_route()
            context = open_instance(f"soak-{n}", folder, proxy, seed)
            self.instances.append(stack.enter_context(context))
        self.callers = Callers(self.instances, result.seed)
        self._max_queue_counts: dict[tuple[str, int], int] = {}
        stack.callback(self._stopped.set)
        for instance in self.instances:
            instance.start()

    def wait_up(self) -> None:
        """Wait until every instance answers callers."""
        self._wait(
            lambda: all(self._queue_count(instance) for instance in self.instances),
            STARTUP_TIMEOUT_S,
            "start",
        )
        for number in range(CALLER_COUNT):
            self._spawn(self.callers.submit_jobs, number, self._stopped, CALLER_PAUSE_S)
        self._spawn(self._watch)
        self._spawn(self._tick)

    def inject_faults(self, seconds: float) -> None:
        """Inject the faults at their times."""
        began_s = time.monotonic()
        for event in self._result.events:
            time.sleep(max(0.0, began_s + event.at_s - time.monotonic()))
            self._inject(event)
        time.sleep(max(0.0, began_s + seconds - time.monotonic()))

    def clear_faults(self) -> None:
        """Stop submitting jobs, and clear all faults."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        self._stopped.clear()
        self._spawn(self._tick)
        for proxy in self._proxies():
            proxy.fault = ProxyFault.NONE
        for view in self.environment.views:
            view.faults.refuse = False
            view.faults.lose = view.faults.delay = 0
        with self.environment.store_lock:
            self.environment.store.apply_delayed_appends()
        for server in self.environment.servers:
            with server.lock:
                server.lifetime.faults.late = False
                server.lifetime.execute_delayed_orders()
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.start()

    def wait_settled(self) -> None:
        """Wait until each accepted job has ended and each instance has the newest queues."""
        began_s = time.monotonic()

        def settled() -> bool:
            for instance in self.instances:
                instance.start()
            return self.callers.poll_jobs(self._check_completed) and all(
                self._queue_count(instance) == self.environment.queues
                for instance in self.instances
            )

        if self._wait(settled, SETTLE_TIMEOUT_S, "settle"):
            self._result.settled_s = time.monotonic() - began_s

    def check(self) -> None:
        """Check the history of the whole run."""
        self._stopped.set()
        jobs = self.callers.jobs
        lifetimes = [
            lifetime for server in self.environment.servers for lifetime in server.lifetimes
        ]
        for lifetime in lifetimes:
            lifetime.tick()
        result = self._result
        result.jobs = len(jobs)
        result.accepted = sum(job.accepted_s is not None for job in jobs)
        result.starts = sum(len(lifetime.starts) for lifetime in lifetimes)
        for job in jobs:
            if job.accepted_s and job.shown == "cancelled" and not job.cancel_asked:
                result.faults.append(f"LOST: {job.id} is cancelled, its caller did not cancel it")
        self.callers.check_unknown_cancels()
        result.faults += self.callers.faults + check_history(jobs, lifetimes)

    def _spawn(self, target, *args: object) -> None:
        """Run a function on a thread of its own."""
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _wait(self, done, limit_s: float, action: str) -> bool:
        """Wait until `done` returns true; record a violation if the limit passes before."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if done():
                return True
            time.sleep(POLL_INTERVAL_S)
        jobs = self.callers.jobs
        open_jobs = [(j.id, j.steps) for j in jobs if j.accepted_s and j.shown not in _ENDED]
        self._result.faults.append(f"LOST: no {action} in {limit_s:.0f} s, open: {open_jobs[:3]}")
        return False

    def _tick(self) -> None:
        """Make the servers notice ended runs and lapsed leases soon after they occur."""
        while not self._stopped.wait(TICK_INTERVAL_S):
            for server in self.environment.servers:
                with server.lock:
                    server.lifetime.tick()

    def _watch(self) -> None:
        """Check jobs and queues while faults are injected."""
        while not self._stopped.wait(POLL_INTERVAL_S):
            self.callers.poll_jobs(self._check_completed)
            for instance in self.instances:
                self._check_queues(instance)

    def _check_completed(self, job) -> None:
        """Record the violations of a job that is reported as completed."""
        lifetimes = [
            lifetime for server in self.environment.servers for lifetime in server.lifetimes
        ]
        self._result.faults += check_completed(job, lifetimes)

    def _check_queues(self, instance: Instance) -> None:
        """Record a violation if an instance reverts to an older configuration without a restart."""
        lifetime = (instance.name, instance.start_count)
        known = self._queue_count(instance)
        if lifetime != (instance.name, instance.start_count) or known is None:
            return
        if known < self._max_queue_counts.get(lifetime, 0):
            self._result.faults.append(f"CONFIG: {instance.name} reverted to {known} queues")
        self._max_queue_counts[lifetime] = max(known, self._max_queue_counts.get(lifetime, 0))

    def _queue_count(self, instance: Instance) -> int | None:
        """Return the number of queues that an instance knows, None if it does not answer."""
        known = 0
        for n in range(self.environment.queues):
            status, _ = self.callers.call("GET", f"/q{n}/", instance=instance)
            if status not in (200, 404):
                return None
            known += status == 200
        return known

    def _proxies(self) -> list[Proxy]:
        """Return all proxies."""
        proxies = [
            proxy for instance in self.instances for proxy in (instance.callers, instance.store)
        ]
        return proxies + [server.proxy for server in self.environment.servers]

    def _leader(self, pick: int) -> Instance:
        """Return the leader, or the picked instance where there is no leader."""
        name = self.environment.leader()
        found = [instance for instance in self.instances if instance.name == name]
        return found[0] if found else self.instances[pick % len(self.instances)]

    def _inject(self, event: Event) -> None:
        """Inject one fault."""
        number = event.pick % len(self.instances)
        instance = self.instances[number]
        view = self.environment.views[number]
        server = self.environment.servers[event.pick % len(self.environment.servers)]
        match event.kind:
            case Kind.KILL:
                instance.kill()
            case Kind.KILL_LEADER:
                self._leader(event.pick).kill()
            case Kind.KILL_ALL:
                for each_instance in self.instances:
                    each_instance.kill()
            case Kind.STOP:
                instance.stop()
            case Kind.PAUSE:
                instance.pause(event.for_s)
            case Kind.PAUSE_LEADER:
                self._leader(event.pick).pause(event.for_s)
            case Kind.RELOAD:
                instance.send(signal.SIGHUP)
            case Kind.STORE_REFUSES:
                _inject_for_duration(event, lambda on: setattr(view.faults, "refuse", on))
            case Kind.STORE_UNAVAILABLE:
                for each_view in self.environment.views:
                    _inject_for_duration(
                        event, lambda on, v=each_view: setattr(v.faults, "refuse", on)
                    )
            case Kind.STORE_DROPS_ANSWERS:
                view.faults.lose += 3
            case Kind.STORE_DELAYS:
                view.faults.delay += 2
                _inject_for_duration(event, lambda on: on or self._apply_delayed_appends())
            case Kind.STORE_COMPACTS:
                with self.environment.store_lock:
                    self.environment.store.compact_topics()
            case Kind.CALLERS_RESET:
                instance.callers.reset_all()
            case Kind.NEW_CONFIG:
                self.environment.queues += 1
                self.environment.publish()
            case _:
                self._inject_route_or_server_fault(event, instance, server)

    def _inject_route_or_server_fault(
        self, event: Event, instance: Instance, server: Server
    ) -> None:
        """Inject a fault of a server, or of the route to a server or to the store."""
        match event.kind:
            case Kind.STORE_RESET:
                instance.store.reset_all()
            case Kind.SERVER_RESET:
                server.proxy.reset_all()
            case Kind.SERVER_RESTARTS:
                self.environment.restart(server)
            case Kind.SERVER_DRAINS:
                self.environment.drain(server)
            case Kind.SERVER_LATE:
                _inject_for_duration(event, lambda on: _set_late(server, on))
            case _:
                fault = _PROXY_FAULTS[event.kind]
                proxy = instance.store if event.kind in _STORE_ROUTE_KINDS else server.proxy
                _inject_for_duration(
                    event, lambda on: setattr(proxy, "fault", fault if on else ProxyFault.NONE)
                )

    def _apply_delayed_appends(self) -> None:
        """Apply the appends that the store delayed."""
        with self.environment.store_lock:
            self.environment.store.apply_delayed_appends()


_ENDED = ("completed", "cancelled")

_PROXY_FAULTS = {
    Kind.STORE_UNRESPONSIVE: ProxyFault.SILENCE,
    Kind.STORE_ONE_WAY: ProxyFault.NO_ANSWERS,
    Kind.STORE_SLOW: ProxyFault.DELAY,
    Kind.SERVER_UNRESPONSIVE: ProxyFault.SILENCE,
    Kind.SERVER_ONE_WAY: ProxyFault.NO_ANSWERS,
    Kind.SERVER_SLOW: ProxyFault.DELAY,
}

_STORE_ROUTE_KINDS = (Kind.STORE_UNRESPONSIVE, Kind.STORE_ONE_WAY, Kind.STORE_SLOW)


def _set_late(server: Server, late: bool) -> None:
    """Make a server delay its orders, or execute the delayed orders."""
    lifetime = server.lifetime
    with server.lock:
        lifetime.faults.late = late
        if not late and lifetime.alive:
            lifetime.execute_delayed_orders()


def _inject_for_duration(event: Event, switch) -> None:
    """Call `switch` with True now, and with False when the fault is over."""
    switch(True)
    timer = threading.Timer(event.for_s, switch, (False,))
    timer.daemon = True
    timer.start()
