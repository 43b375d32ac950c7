"""In-process emulator of backend servers that run tasks under leases."""

from dataclasses import dataclass, field, replace

from catkinknot.coordination import (
    EndRow,
    HoldAnswer,
    Listing,
    OrderOutcome,
    OrderReply,
    RunRow,
    StartOrder,
    StopOrder,
    name_lifetime,
)
from catkinknot.jobs import Resources, RunOutcome
from catkinknot.model import Clock

__all__ = ["ServerFaults", "TaskServer", "TaskServers"]

MAX_LEASE_MS = 10_000

MAX_LISTED_END_COUNT = 500
"""Most ends in one answer."""


@dataclass(slots=True)
class ServerFaults:
    """Faults of one server.

    Attributes:
        drop_requests: Requests are lost before they reach the server.
        drop_answers: Requests are executed but their answers are lost.
        late: Orders get no answer and are executed by `TaskServer.execute_delayed_orders`.
        fail_tasks: Every task fails.
        hang_tasks: Tasks started while this is set make no progress.
        anonymous: Answers to orders do not name the lifetime that gave them.
    """

    drop_requests: bool = False
    drop_answers: bool = False
    late: bool = False
    fail_tasks: bool = False
    hang_tasks: bool = False
    anonymous: bool = False


@dataclass(slots=True)
class _Run:
    task: str
    run: int
    ends_s: float
    stopping: bool = False


@dataclass(slots=True)
class TaskServer:
    """One lifetime of a server, which runs tasks in memory.

    Attributes:
        listing: Entry of the server in the list of servers.
        clock: Source of time.
        work_s: Run time of each task.
        clock_rate: Rate of the server's own clock, which may be slow.
        stop_s: Time that a stop takes.
        faults: Faults of the server.
        starts: Time, task and run of each executed start.
        delayed_starts: Task and run of each start order that the `late` fault delayed.
        finished: Time, task, run and outcome of each ended run.
        acknowledged_at_s: Time at which the end of each completed task was acknowledged,
            where the lease did not lapse between the end and the acknowledgement.
        alive: Whether the server has not crashed.
    """

    listing: Listing
    clock: Clock
    work_s: float = 2.0
    clock_rate: float = 1.0
    stop_s: float = 0.0
    faults: ServerFaults = field(default_factory=ServerFaults)
    starts: list[tuple[float, str, int]] = field(default_factory=list)
    delayed_starts: set[tuple[str, int]] = field(default_factory=set)
    finished: list[tuple[float, str, int, RunOutcome]] = field(default_factory=list)
    acknowledged_at_s: dict[str, float] = field(default_factory=dict)
    alive: bool = True
    _token: int = 0
    _lease_until_ms: int = 0
    _runs: dict[str, _Run] = field(default_factory=dict)
    _ends: list[EndRow] = field(default_factory=list)
    _last_end: int = 0
    _last_end_before_lapse: int = 0
    _last_closed_run: dict[str, int] = field(default_factory=dict)
    _delayed_orders: list[StartOrder | StopOrder] = field(default_factory=list)

    def now_ms(self) -> int:
        """Return the server's own clock in milliseconds."""
        started_ms = self.listing.started_at_ms
        return int(started_ms + (self.clock.now() * 1000 - started_ms) * self.clock_rate)

    def running(self) -> dict[str, int]:
        """Return the number of the current run of each running task."""
        self.tick()
        return {run.task: run.run for run in self._runs.values()}

    def tick(self) -> None:
        """End the runs that are complete by now, and all runs if the lease has lapsed.

        A lease lapses only where it ends a run; a server without runs keeps none.
        """
        now_s = self.clock.now()
        if self._runs and self.now_ms() >= self._lease_until_ms:
            self._last_end_before_lapse = self._last_end
            for run in list(self._runs.values()):
                self._end(run, RunOutcome.LAPSED)
        for run in list(self._runs.values()):
            if now_s >= run.ends_s and run.stopping:
                self._end(run, RunOutcome.STOPPED)
            elif now_s >= run.ends_s:
                self._end(run, RunOutcome.FAILED if self.faults.fail_tasks else RunOutcome.DONE)

    def crash(self) -> None:
        """End this lifetime of the server, and drop its runs."""
        self.alive = False
        self._runs.clear()

    def execute_delayed_orders(self) -> None:
        """Execute the orders that the `late` fault delayed."""
        delayed, self._delayed_orders = self._delayed_orders, []
        for order in delayed:
            self._execute(order)

    def order(self, order: StartOrder | StopOrder) -> OrderReply:
        """Execute an order, subject to the faults."""
        if not self.alive or self.faults.drop_requests:
            return OrderReply(OrderOutcome.NO_ANSWER)
        if self.faults.late:
            self._delayed_orders.append(order)
            if isinstance(order, StartOrder):
                self.delayed_starts.add((order.task, order.run))
            return OrderReply(OrderOutcome.NO_ANSWER)
        outcome = self._execute(order)
        if self.faults.drop_answers:
            return OrderReply(OrderOutcome.NO_ANSWER)
        started_at_ms = 0 if self.faults.anonymous else self.listing.started_at_ms
        return OrderReply(outcome, self.now_ms(), started_at_ms)

    def hold(self, token: int, seen_end: int, until_ms: int) -> HoldAnswer:
        """Renew the lease and return the running runs and the unacknowledged ends."""
        if not self.alive or self.faults.drop_requests:
            return HoldAnswer(OrderReply(OrderOutcome.NO_ANSWER))
        self.tick()
        if token < self._token:
            return HoldAnswer(OrderReply(OrderOutcome.FENCED, self.now_ms()))
        self._token = token
        self._extend(until_ms)
        for row in self._ends:
            completed = row.how is RunOutcome.DONE and row.number > self._last_end_before_lapse
            if row.number <= seen_end and completed:
                self.acknowledged_at_s.setdefault(row.task, self.clock.now())
        self._ends = [row for row in self._ends if row.number > seen_end]
        if self.faults.drop_answers:
            return HoldAnswer(OrderReply(OrderOutcome.NO_ANSWER))
        running = tuple(
            RunRow(run.task, run.run, "", self._percent(run)) for run in self._runs.values()
        )
        reply = OrderReply(OrderOutcome.DONE, self.now_ms(), self.listing.started_at_ms)
        return HoldAnswer(reply, running, tuple(self._ends[:MAX_LISTED_END_COUNT]))

    def _percent(self, run: _Run) -> int:
        """Return the progress of a run in percent."""
        left_s = min(run.ends_s - self.clock.now(), self.work_s)
        return int(100 * (1 - left_s / self.work_s))

    def _execute(self, order: StartOrder | StopOrder) -> OrderOutcome:
        """Execute an order unless its fencing token is outdated."""
        self.tick()
        if order.token < self._token:
            return OrderOutcome.FENCED
        self._token = order.token
        if isinstance(order, StopOrder):
            return self._stop(order)
        return self._start(order)

    def _start(self, order: StartOrder) -> OrderOutcome:
        """Start a run."""
        known = self._runs.get(order.task)
        if known is not None and known.run == order.run:
            return OrderOutcome.DONE
        if order.run <= self._last_closed_run.get(order.task, 0) or known is not None:
            return OrderOutcome.OLD_RUN
        if order.until_ms <= self.now_ms():
            return OrderOutcome.TOO_LATE
        self._extend(order.until_ms)
        now_s = self.clock.now()
        ends_s = float("inf") if self.faults.hang_tasks else now_s + self.work_s
        self._runs[order.task] = _Run(order.task, order.run, ends_s)
        self.starts.append((now_s, order.task, order.run))
        return OrderOutcome.DONE

    def _stop(self, order: StopOrder) -> OrderOutcome:
        """Stop a run, and refuse later starts of this run and of earlier ones."""
        self._last_closed_run[order.task] = max(order.run, self._last_closed_run.get(order.task, 0))
        run = self._runs.get(order.task)
        if run is not None and run.run <= order.run and not run.stopping:
            run.stopping = True
            run.ends_s = self.clock.now() + self.stop_s
            self.tick()
        return OrderOutcome.DONE

    def _extend(self, until_ms: int) -> None:
        """Extend the lease by at most `MAX_LEASE_MS`; never shorten it."""
        self._lease_until_ms = max(
            self._lease_until_ms, min(until_ms, self.now_ms() + MAX_LEASE_MS)
        )

    def _end(self, run: _Run, how: RunOutcome) -> None:
        """End a run and record its outcome."""
        del self._runs[run.task]
        self._last_closed_run[run.task] = max(run.run, self._last_closed_run.get(run.task, 0))
        self._last_end += 1
        self._ends.append(EndRow(self._last_end, run.task, run.run, how, ""))
        self.finished.append((self.clock.now(), run.task, run.run, how))


class TaskServers:
    """Emulated fleet: the list of servers and the calls to them.

    Attributes:
        by_id: Current lifetime of each server by identity.
        past_lifetimes: Earlier lifetimes of all servers.
        unlisted: Identities of the servers that `list` leaves out.
        forgotten: Lifetimes to which `close_connections` closed the connections.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a fleet without servers.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self.by_id: dict[str, TaskServer] = {}
        self.past_lifetimes: list[TaskServer] = []
        self.unlisted: set[str] = set()
        self.forgotten: list[str] = []

    def add(
        self,
        name: str,
        capacity: Resources,
        *,
        rack: str = "r1",
        zone: str = "a",
        **extra,
    ) -> TaskServer:
        """Add a server; if one has this name already, it crashes and a new lifetime begins."""
        started_at_ms = int(self._clock.now() * 1000) + 1
        listing = Listing(
            lifetime=name_lifetime(name, started_at_ms),
            id=name,
            started_at_ms=started_at_ms,
            address=f"{name}:1",
            service="render",
            zone=zone,
            rack=rack,
            labels=frozenset({"kind", rack}),
            capacity=capacity,
            draining=False,
            clock_ms=int(self._clock.now() * 1000) or 1,
        )
        if name in self.by_id:
            self.by_id[name].crash()
            self.past_lifetimes.append(self.by_id[name])
        server = TaskServer(listing, self._clock, **extra)
        self.by_id[name] = server
        return server

    def all(self) -> list[TaskServer]:
        """Return the past and current lifetimes of all servers."""
        return [*self.past_lifetimes, *self.by_id.values()]

    def drain(self, name: str, remaining_ms: int = 0) -> None:
        """Make a server announce that it drains and the least time for which it stays."""
        server = self.by_id[name]
        server.listing = replace(server.listing, draining=True, remaining_ms=remaining_ms)

    def list(self) -> dict[str, Listing]:
        """Return the listed servers by identity."""
        return {
            name: replace(server.listing, clock_ms=server.now_ms())
            for name, server in self.by_id.items()
            if server.alive and name not in self.unlisted
        }

    def start(self, server: Listing, order: StartOrder) -> OrderReply:
        """Start a task, unless the order has expired."""
        if self._clock.now() > order.send_by_s:
            return OrderReply(OrderOutcome.EXPIRED)
        return self._deliver(server, order)

    def stop(self, server: Listing, order: StopOrder) -> OrderReply:
        """Stop a run."""
        return self._deliver(server, order)

    def hold(
        self, server: Listing, *, token: int, seen_end: int, until_ms: int, wait_s: float
    ) -> HoldAnswer:
        """Renew the lease of a server without waiting for a run to end."""
        found = self.by_id[server.id]
        answer = found.hold(token, seen_end, until_ms)
        reply = _name_lifetime(answer.reply, server)
        return answer if reply is answer.reply else HoldAnswer(reply)

    def close_connections(self, server: Listing) -> None:
        """Record that the connections to a server were closed."""
        self.forgotten.append(server.lifetime)

    def _deliver(self, server: Listing, order: StartOrder | StopOrder) -> OrderReply:
        """Deliver an order to the current lifetime of a server, which executes it."""
        return _name_lifetime(self.by_id[server.id].order(order), server)


def _name_lifetime(reply: OrderReply, server: Listing) -> OrderReply:
    """Return a reply as the client decodes it, which compares lifetimes.

    All lifetimes of a server have one identity, by which calls are addressed,
    so each executes what was meant for an earlier one.
    """
    if reply.started_at_ms in (0, server.started_at_ms):
        return reply
    return replace(reply, outcome=OrderOutcome.OTHER_LIFETIME)
