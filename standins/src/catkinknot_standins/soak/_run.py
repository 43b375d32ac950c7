"""Play one seed: start everything, let faults strike, heal, and check."""

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
from ._plan import Event, Kind, draw
from ._proxy import Proxy, ProxyFault

__all__ = ["Result", "play"]

UP_S = 30.0
"""How long the instances may take to be up."""

SETTLE_S = 60.0
"""How long all jobs may take to end once everything is well again."""

POLL_S = 0.25
TICK_S = 0.03
CALLER_THREADS = 3
CALLER_PAUSE_S = 0.4


@dataclass
class Result:
    """Say how a seed went.

    Attributes:
        seed: The seed.
        events: The faults that struck.
        jobs: Jobs that were handed in.
        accepted: Those of them that were accepted.
        starts: Tasks that servers started.
        settled_s: How long all jobs took to end at the end, None if they did not.
        faults: Promises that were broken.
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
            f"{len(self.faults)} broken"
        )


def play(seed: int, folder: Path, *, seconds: float, instances: int, servers: int) -> Result:
    """Play one seed; what it leaves in the folder is removed if nothing broke.

    Args:
        seed: What faults and jobs are drawn from.
        folder: Where settings and logs go.
        seconds: For how long faults strike.
        instances: How many instances there are.
        servers: How many servers there are.
    """
    folder.mkdir(parents=True, exist_ok=True)
    result = Result(seed, draw(seed, seconds))
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
    """Hold one run."""

    def __init__(
        self, stack: ExitStack, result: Result, folder: Path, instances: int, servers: int
    ) -> None:
        """Start the outside and the instances."""
        self._result = result
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.outside = TestEnvironment(stack, servers)
        self.instances: list[Instance] = []
        for n in range(instances):
            seed = self.instances[0].relay if self.instances else ""
            way = self.outside.open_store_route()
            opened = open_instance(f"soak-{n}", folder, way, seed)
            self.instances.append(stack.enter_context(opened))
        self.callers = Callers(self.instances, result.seed)
        self._seen: dict[tuple[str, int], int] = {}
        stack.callback(self._stopped.set)
        for instance in self.instances:
            instance.start()

    def wait_up(self) -> None:
        """Wait until every instance answers callers."""
        self._wait(lambda: all(self._queues_of(one) for one in self.instances), UP_S, "start")
        for number in range(CALLER_THREADS):
            self._spawn(self.callers.submit_some, number, self._stopped, CALLER_PAUSE_S)
        self._spawn(self._watch)
        self._spawn(self._tick)

    def inject_faults(self, seconds: float) -> None:
        """Let the faults strike at their times."""
        began_s = time.monotonic()
        for event in self._result.events:
            time.sleep(max(0.0, began_s + event.at_s - time.monotonic()))
            self._strike(event)
        time.sleep(max(0.0, began_s + seconds - time.monotonic()))

    def clear_faults(self) -> None:
        """Hand nothing more in, and make everything well again."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        self._stopped.clear()
        self._spawn(self._tick)
        for proxy in self._proxies():
            proxy.harm = ProxyFault.NONE
        for view in self.outside.views:
            view.faults.refuse = False
            view.faults.lose = view.faults.delay = 0
        with self.outside.store_lock:
            self.outside.store.apply_delayed_appends()
        for server in self.outside.servers:
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
                self._queues_of(one) == self.outside.queues for one in self.instances
            )

        if self._wait(settled, SETTLE_S, "settle"):
            self._result.settled_s = time.monotonic() - began_s

    def check(self) -> None:
        """Check the whole history."""
        self._stopped.set()
        works = self.callers.work
        lifetimes = [lifetime for server in self.outside.servers for lifetime in server.lifetimes]
        for lifetime in lifetimes:
            lifetime.tick()
        result = self._result
        result.jobs = len(works)
        result.accepted = sum(work.accepted_s is not None for work in works)
        result.starts = sum(len(lifetime.starts) for lifetime in lifetimes)
        for work in works:
            if work.accepted_s and work.shown == "cancelled" and not work.cancel_asked:
                result.faults.append(f"LOST: {work.id} is cancelled, nobody asked for that")
        result.faults += self.callers.faults + check_history(works, lifetimes)

    def _spawn(self, target, *args: object) -> None:
        """Run something beside the run."""
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _wait(self, done, limit_s: float, what: str) -> bool:
        """Wait for something; note a fault if it does not come."""
        end_s = time.monotonic() + limit_s
        while time.monotonic() < end_s:
            if done():
                return True
            time.sleep(POLL_S)
        works = self.callers.work
        open_jobs = [(w.id, w.steps) for w in works if w.accepted_s and w.shown not in _ENDED]
        self._result.faults.append(f"LOST: no {what} in {limit_s:.0f} s, open: {open_jobs[:3]}")
        return False

    def _tick(self) -> None:
        """Let the servers see ends and lapses as they come."""
        while not self._stopped.wait(TICK_S):
            for server in self.outside.servers:
                with server.lock:
                    server.lifetime.tick()

    def _watch(self) -> None:
        """Look at jobs and queues while faults strike."""
        while not self._stopped.wait(POLL_S):
            self.callers.poll_jobs(self._check_completed)
            for instance in self.instances:
                self._check_queues(instance)

    def _check_completed(self, work) -> None:
        """Note what is wrong with a job that is shown as completed."""
        lifetimes = [lifetime for server in self.outside.servers for lifetime in server.lifetimes]
        self._result.faults += check_completed(work, lifetimes)

    def _check_queues(self, instance: Instance) -> None:
        """Note when one lifetime of an instance goes back to an older configuration."""
        lifetime = (instance.name, instance.lifetimes)
        known = self._queues_of(instance)
        if lifetime != (instance.name, instance.lifetimes) or known is None:
            return
        if known < self._seen.get(lifetime, 0):
            self._result.faults.append(f"CONFIG: {instance.name} went back to {known} queues")
        self._seen[lifetime] = max(known, self._seen.get(lifetime, 0))

    def _queues_of(self, instance: Instance) -> int | None:
        """Return how many queues an instance knows, None if it does not say."""
        known = 0
        for n in range(self.outside.queues):
            status, _ = self.callers.call("GET", f"/q{n}/", instance=instance)
            if status not in (200, 404):
                return None
            known += status == 200
        return known

    def _proxies(self) -> list[Proxy]:
        """Return all ways that can be harmed."""
        ways = [way for one in self.instances for way in (one.callers, one.store)]
        return ways + [server.proxy for server in self.outside.servers]

    def _leader(self, pick: int) -> Instance:
        """Return the instance that leads, or any."""
        name = self.outside.leader()
        found = [one for one in self.instances if one.name == name]
        return found[0] if found else self.instances[pick % len(self.instances)]

    def _strike(self, event: Event) -> None:
        """Let one fault strike."""
        number = event.pick % len(self.instances)
        instance = self.instances[number]
        view = self.outside.views[number]
        server = self.outside.servers[event.pick % len(self.outside.servers)]
        match event.kind:
            case Kind.KILL:
                instance.kill()
            case Kind.KILL_LEADER:
                self._leader(event.pick).kill()
            case Kind.KILL_ALL:
                for one in self.instances:
                    one.kill()
            case Kind.STOP:
                instance.stop()
            case Kind.PAUSE:
                instance.pause(event.for_s)
            case Kind.PAUSE_LEADER:
                self._leader(event.pick).pause(event.for_s)
            case Kind.RELOAD:
                instance.send(signal.SIGHUP)
            case Kind.STORE_REFUSES:
                _for_a_while(event, lambda on: setattr(view.faults, "refuse", on))
            case Kind.STORE_AWAY:
                for one in self.outside.views:
                    _for_a_while(event, lambda on, v=one: setattr(v.faults, "refuse", on))
            case Kind.STORE_LOSES:
                view.faults.lose += 3
            case Kind.STORE_DELAYS:
                view.faults.delay += 2
                _for_a_while(event, lambda on: on or self._settle_store())
            case Kind.STORE_FORGETS:
                with self.outside.store_lock:
                    self.outside.store.compact_topics()
            case Kind.CALLERS_RESET:
                instance.callers.reset_all()
            case Kind.NEW_CONFIG:
                self.outside.queues += 1
                self.outside.publish()
            case _:
                self._strike_ways(event, instance, server)

    def _strike_ways(self, event: Event, instance: Instance, server: Server) -> None:
        """Let a fault strike a server or a way."""
        match event.kind:
            case Kind.STORE_RESET:
                instance.store.reset_all()
            case Kind.SERVER_RESET:
                server.proxy.reset_all()
            case Kind.SERVER_REBORN:
                self.outside.restart(server)
            case Kind.SERVER_DRAINS:
                self.outside.drain(server)
            case Kind.SERVER_LATE:
                _for_a_while(event, lambda on: _set_late(server, on))
            case _:
                harm = _HARMS[event.kind]
                way = instance.store if event.kind in _STORE_WAYS else server.proxy
                _for_a_while(
                    event, lambda on: setattr(way, "harm", harm if on else ProxyFault.NONE)
                )

    def _settle_store(self) -> None:
        """Do the appends that were held up."""
        with self.outside.store_lock:
            self.outside.store.apply_delayed_appends()


_ENDED = ("completed", "cancelled")

_HARMS = {
    Kind.STORE_SILENT: ProxyFault.SILENCE,
    Kind.STORE_ONE_WAY: ProxyFault.NO_ANSWERS,
    Kind.STORE_SLOW: ProxyFault.DELAY,
    Kind.SERVER_SILENT: ProxyFault.SILENCE,
    Kind.SERVER_ONE_WAY: ProxyFault.NO_ANSWERS,
    Kind.SERVER_SLOW: ProxyFault.DELAY,
}

_STORE_WAYS = (Kind.STORE_SILENT, Kind.STORE_ONE_WAY, Kind.STORE_SLOW)


def _set_late(server: Server, late: bool) -> None:
    """Let a server hold orders up, or carry out what it held up."""
    lifetime = server.lifetime
    with server.lock:
        lifetime.faults.late = late
        if not late and lifetime.alive:
            lifetime.execute_delayed_orders()


def _for_a_while(event: Event, switch) -> None:
    """Switch something on now, and off when the fault is over."""
    switch(True)
    timer = threading.Timer(event.for_s, switch, (False,))
    timer.daemon = True
    timer.start()
