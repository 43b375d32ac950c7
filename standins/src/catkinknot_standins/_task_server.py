"""Stand in for backend servers that run tasks under leases, inside one process."""

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
)
from catkinknot.jobs import Resources, RunOutcome
from catkinknot.model import Clock

__all__ = ["ServerFaults", "TaskServer", "TaskServers"]

MAX_HOLD_MS = 10_000


@dataclass(slots=True)
class ServerFaults:
    """Say what goes wrong with one server.

    Attributes:
        drop_requests: Calls are lost on their way.
        drop_answers: Calls are carried out, and their answers lost.
        late: Orders get no answer and are carried out by `TaskServer.execute_delayed_orders`.
        fail_tasks: Every task fails.
        hang_tasks: Tasks that start now make no progress.
    """

    drop_requests: bool = False
    drop_answers: bool = False
    late: bool = False
    fail_tasks: bool = False
    hang_tasks: bool = False


@dataclass(slots=True)
class _Run:
    task: str
    run: int
    ends_s: float
    stopping: bool = False


@dataclass(slots=True)
class TaskServer:
    """Run tasks as one lifetime of a server.

    Attributes:
        listing: What it says of itself.
        clock: Where time comes from.
        work_s: How long a task runs.
        starts: Every start that was carried out: time, task and run.
        finished: Every end: time, task, run and how.
        acknowledged_at_s: When the end of each task that is done was taken note of, with
            no lapse of the lease between the two.
    """

    listing: Listing
    clock: Clock
    work_s: float = 2.0
    faults: ServerFaults = field(default_factory=ServerFaults)
    starts: list[tuple[float, str, int]] = field(default_factory=list)
    finished: list[tuple[float, str, int, RunOutcome]] = field(default_factory=list)
    acknowledged_at_s: dict[str, float] = field(default_factory=dict)
    alive: bool = True
    _token: int = 0
    _until_ms: int = 0
    _runs: dict[str, _Run] = field(default_factory=dict)
    _ends: list[EndRow] = field(default_factory=list)
    _number: int = 0
    _lapsed_at: int = 0
    _closed: dict[str, int] = field(default_factory=dict)
    _late: list[StartOrder | StopOrder] = field(default_factory=list)

    def now_ms(self) -> int:
        """Return its own clock."""
        return int(self.clock.now() * 1000)

    def running(self) -> dict[str, int]:
        """Return what runs: the run's number by task."""
        self.tick()
        return {run.task: run.run for run in self._runs.values()}

    def tick(self) -> None:
        """Let time pass: ends what is done, and everything when the lease is over."""
        now_s = self.clock.now()
        if self.now_ms() >= self._until_ms:
            self._lapsed_at = self._number
            for run in list(self._runs.values()):
                self._end(run, RunOutcome.LAPSED)
        for run in list(self._runs.values()):
            if now_s >= run.ends_s:
                self._end(run, RunOutcome.FAILED if self.faults.fail_tasks else RunOutcome.DONE)

    def crash(self) -> None:
        """Stop for good; nothing runs any more."""
        self.alive = False
        self._runs.clear()

    def execute_delayed_orders(self) -> None:
        """Carry out the orders that were held up."""
        late, self._late = self._late, []
        for order in late:
            self._carry_out(order)

    def order(self, order: StartOrder | StopOrder) -> OrderReply:
        """Take an order."""
        if not self.alive or self.faults.drop_requests:
            return OrderReply(OrderOutcome.NO_ANSWER)
        if self.faults.late:
            self._late.append(order)
            return OrderReply(OrderOutcome.NO_ANSWER)
        outcome = self._carry_out(order)
        if self.faults.drop_answers:
            return OrderReply(OrderOutcome.NO_ANSWER)
        return OrderReply(outcome, self.now_ms(), self.listing.started_at_ms)

    def hold(self, token: int, seen_end: int, until_ms: int) -> HoldAnswer:
        """Renew the lease and list what runs and what has ended."""
        if not self.alive or self.faults.drop_requests:
            return HoldAnswer(OrderReply(OrderOutcome.NO_ANSWER))
        self.tick()
        if token < self._token:
            return HoldAnswer(OrderReply(OrderOutcome.FENCED, self.now_ms()))
        self._token = token
        self._extend(until_ms)
        for row in self._ends:
            counts = row.how is RunOutcome.DONE and row.number > self._lapsed_at
            if row.number <= seen_end and counts:
                self.acknowledged_at_s.setdefault(row.task, self.clock.now())
        self._ends = [row for row in self._ends if row.number > seen_end]
        if self.faults.drop_answers:
            return HoldAnswer(OrderReply(OrderOutcome.NO_ANSWER))
        running = tuple(
            RunRow(run.task, run.run, "", self._percent(run)) for run in self._runs.values()
        )
        reply = OrderReply(OrderOutcome.DONE, self.now_ms(), self.listing.started_at_ms)
        return HoldAnswer(reply, running, tuple(self._ends))

    def _percent(self, run: _Run) -> int:
        """Return a run's progress."""
        left_s = min(run.ends_s - self.clock.now(), self.work_s)
        return int(100 * (1 - left_s / self.work_s))

    def _carry_out(self, order: StartOrder | StopOrder) -> OrderOutcome:
        """Do what an order says, if it may."""
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
        if order.run <= self._closed.get(order.task, 0) or known is not None:
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
        """Stop a run, and refuse it from now on."""
        self._closed[order.task] = max(order.run, self._closed.get(order.task, 0))
        run = self._runs.get(order.task)
        if run is not None and run.run <= order.run:
            self._end(run, RunOutcome.STOPPED)
        return OrderOutcome.DONE

    def _extend(self, until_ms: int) -> None:
        """Extend the lease, never beyond the longest and never shorter."""
        self._until_ms = max(self._until_ms, min(until_ms, self.now_ms() + MAX_HOLD_MS))

    def _end(self, run: _Run, how: RunOutcome) -> None:
        """End a run and list it."""
        del self._runs[run.task]
        self._closed[run.task] = max(run.run, self._closed.get(run.task, 0))
        self._number += 1
        self._ends.append(EndRow(self._number, run.task, run.run, how, ""))
        self.finished.append((self.clock.now(), run.task, run.run, how))


class TaskServers:
    """Reach many servers, and list them."""

    def __init__(self, clock: Clock) -> None:
        """Begin with no server.

        Args:
            clock: Where time comes from.
        """
        self._clock = clock
        self.by_id: dict[str, TaskServer] = {}
        self.past: list[TaskServer] = []
        self.unlisted: set[str] = set()
        self.forgotten: list[str] = []

    def add(self, name: str, capacity: Resources, *, rack: str = "r1", **extra) -> TaskServer:
        """Add a server, or another lifetime of one."""
        started_at_ms = int(self._clock.now() * 1000) + 1
        listing = Listing(
            lifetime=f"{name}@{started_at_ms}",
            id=name,
            started_at_ms=started_at_ms,
            address=f"{name}:1",
            service="render",
            zone="a",
            rack=rack,
            labels=frozenset({"kind", rack}),
            capacity=capacity,
            draining=False,
            clock_ms=int(self._clock.now() * 1000) or 1,
        )
        if name in self.by_id:
            self.by_id[name].crash()
            self.past.append(self.by_id[name])
        server = TaskServer(listing, self._clock, **extra)
        self.by_id[name] = server
        return server

    def all(self) -> list[TaskServer]:
        """Return every lifetime that ever was."""
        return [*self.past, *self.by_id.values()]

    def drain(self, name: str, remaining_ms: int = 0) -> None:
        """Have a server say that it leaves, and how long it stays at least."""
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
        """Start a task."""
        return self._reach(server, order)

    def stop(self, server: Listing, order: StopOrder) -> OrderReply:
        """Stop a run."""
        return self._reach(server, order)

    def hold(
        self, server: Listing, *, token: int, seen_end: int, until_ms: int, wait_s: float
    ) -> HoldAnswer:
        """Renew the lease; never waits."""
        found = self.by_id[server.id]
        if found.alive and found.listing.lifetime != server.lifetime:
            return HoldAnswer(OrderReply(OrderOutcome.OTHER_LIFETIME))
        return found.hold(token, seen_end, until_ms)

    def close_connections(self, server: Listing) -> None:
        """Note that connections to a server were closed."""
        self.forgotten.append(server.lifetime)

    def _reach(self, server: Listing, order: StartOrder | StopOrder) -> OrderReply:
        """Hand an order to the lifetime it is meant for."""
        found = self.by_id[server.id]
        if found.alive and found.listing.lifetime != server.lifetime:
            return OrderReply(OrderOutcome.OTHER_LIFETIME)
        return found.order(order)
